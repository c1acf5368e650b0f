"""Admission and refusal of attempts by the gate."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.backend.change_signal import ChangeSignal
from leadhollow.backend.gate import Gate, GateState, Progress
from leadhollow.codes import Code
from leadhollow.kernel import clocks
from leadhollow.wire.generated.ttypes import Dispatch


def new_gate(slots: int = 2) -> Gate:
    made = Gate(slots=slots, signal=ChangeSignal())
    made.set_serving_root("root")
    return made


@pytest.fixture
async def gate() -> Gate:
    """Return a gate whose engine has responded."""
    made = new_gate()
    first = ("first", 1)
    assert made.backoff.claim(first)
    made.backoff.record_response(first, 200, [])
    return made


def dispatch(gate: Gate, request_id: str = "r", attempt: int = 1, **changed) -> Dispatch:
    given = {
        "request_id": request_id,
        "attempt": attempt,
        "incarnation": gate.incarnation,
        "root": "root",
        "model_call": True,
    }
    return Dispatch(**{**given, **changed})


class TestAdmit:
    def test_admitted_attempt_is_counted(self, gate):
        assert gate.admit(dispatch(gate)) is None
        assert gate.in_flight == 1

    @pytest.mark.parametrize(
        ("changed", "code"),
        [
            ({"incarnation": 1}, Code.INCARNATION_OLD),
            ({"root": "another"}, Code.BACKEND_REFUSED),
        ],
    )
    def test_attempt_for_another_incarnation_or_root_is_refused(self, gate, changed, code):
        assert gate.admit(dispatch(gate, **changed)).code is code
        assert gate.in_flight == 0

    def test_attempt_is_refused_if_no_slot_is_free(self, gate):
        gate.admit(dispatch(gate, "a"))
        gate.admit(dispatch(gate, "b"))
        assert gate.admit(dispatch(gate, "c")).code is Code.SLOTS_FULL

    def test_attempt_runs_at_most_once(self, gate):
        gate.admit(dispatch(gate))
        assert gate.admit(dispatch(gate)).code is Code.DUPLICATE_ATTEMPT
        gate.release(dispatch(gate))
        assert gate.admit(dispatch(gate)).code is Code.DUPLICATE_ATTEMPT

    @pytest.mark.parametrize("state", [GateState.DRAINING, GateState.SWITCHING])
    def test_closed_gate_refuses_attempts(self, gate, state):
        gate.close(state)
        assert gate.admit(dispatch(gate)).code is Code.DRAINING

    def test_refused_attempt_is_not_admitted_later(self, gate):
        gate.close(GateState.DRAINING)
        gate.admit(dispatch(gate))
        gate.open()
        assert gate.admit(dispatch(gate)).code is Code.TOMBSTONED

    def test_service_call_needs_no_root(self, gate):
        assert gate.admit(dispatch(gate, root="", model_call=False)) is None


class TestTombstones:
    def test_late_attempt_with_a_tombstone_is_refused(self, gate):
        assert gate.place_tombstone("r", 1) is None
        assert gate.admit(dispatch(gate)).code is Code.TOMBSTONED

    def test_no_tombstone_is_placed_for_an_attempt_that_has_run(self, gate):
        gate.admit(dispatch(gate))
        assert gate.place_tombstone("r", 1) is Progress.RUNNING
        gate.release(dispatch(gate))
        assert gate.place_tombstone("r", 1) is Progress.FINISHED

    def test_tombstone_affects_only_its_attempt(self, gate):
        gate.place_tombstone("r", 1)
        assert gate.admit(dispatch(gate, attempt=2)) is None


class TestDrain:
    async def test_drain_waits_for_running_attempts(self, gate):
        gate.admit(dispatch(gate))
        gate.close(GateState.DRAINING)
        waiting = asyncio.ensure_future(gate.wait_idle())
        await asyncio.sleep(0)
        assert not waiting.done()
        gate.release(dispatch(gate))
        await asyncio.wait_for(waiting, 5)

    def test_switch_does_not_end_a_drain(self, gate):
        gate.close(GateState.DRAINING)
        gate.close(GateState.SWITCHING)
        assert gate.state is GateState.DRAINING


class TestLimit:
    def test_engine_limit_applies_to_all_entries(self, gate, monkeypatch):
        now_s = [100.0]
        monkeypatch.setattr(clocks, "elapsed_s", lambda: now_s[0])
        gate.limit.record_response(["2"], sent_s=now_s[0])
        admitted = 0
        for number in range(400):
            now_s[0] += 0.01
            entered = dispatch(gate, f"r{number}")
            refusal = gate.admit(entered)
            if refusal is None:
                admitted += 1
                gate.release(entered)
            else:
                assert refusal.code is Code.SLOTS_FULL
        assert 7 <= admitted <= 2 * 4 + 2

    def test_limit_ends_when_a_later_response_names_none(self, gate, monkeypatch):
        now_s = [100.0]
        monkeypatch.setattr(clocks, "elapsed_s", lambda: now_s[0])
        gate.limit.record_response(["0.1"], sent_s=100.0)
        gate.limit.record_response([], sent_s=99.0)  # sent before the limit was named
        assert gate.admit(dispatch(gate, "a")).code is Code.SLOTS_FULL
        gate.limit.record_response([], sent_s=101.0)
        assert gate.admit(dispatch(gate, "b")) is None

    @pytest.mark.parametrize("values", [[""], ["-1"], ["nan"], ["1,3"], ["1", "2"]])
    def test_malformed_limit_is_ignored(self, gate, monkeypatch, values):
        monkeypatch.setattr(clocks, "elapsed_s", lambda: 100.0)
        gate.limit.record_response(values, sent_s=99.0)
        assert gate.limit.per_s is None
        gate.limit.record_response(["2"], sent_s=99.0)
        gate.limit.record_response(values, sent_s=101.0)
        assert gate.limit.per_s == 2.0


class TestBackoff:
    # Guards against: other entries keep sending to an engine that has requested a back-off.
    async def test_backoff_applies_to_all_entries_and_ends_with_one_probe(self, gate):
        gate.backoff.record_response(("r", 1), 503, ["0.1"])
        assert gate.admit(dispatch(gate, "a")).code is Code.SLOTS_FULL
        await asyncio.sleep(0.25)
        assert gate.admit(dispatch(gate, "b")) is None
        assert gate.admit(dispatch(gate, "c")).code is Code.SLOTS_FULL
        gate.backoff.record_response(("earlier", 1), 200, [])
        assert gate.admit(dispatch(gate, "c2")).code is Code.SLOTS_FULL
        gate.backoff.record_response(("b", 1), 200, [])
        assert gate.admit(dispatch(gate, "d")) is None

    async def test_another_attempt_becomes_the_probe_if_the_probe_breaks(self, gate):
        gate.backoff.record_response(("r", 1), 503, ["0.05"])
        await asyncio.sleep(0.15)
        assert gate.admit(dispatch(gate, "a")) is None
        gate.release(dispatch(gate, "a"))
        assert gate.admit(dispatch(gate, "b")) is None

    @pytest.mark.parametrize(
        ("status", "values"),
        [(503, []), (503, ["0"]), (503, ["soon"]), (503, ["1", "2"]), (200, ["9"])],
    )
    async def test_only_503_with_a_positive_number_of_seconds_starts_a_backoff(
        self, gate, status, values
    ):
        gate.backoff.record_response(("r", 1), status, values)
        assert gate.admit(dispatch(gate)) is None


class TestStart:
    # Guards against: a gate that restarts lets through as many requests as its engine has slots,
    # before the first response has named the engine's limit.
    async def test_lets_no_more_through_than_the_limit_that_was_in_force(self):
        per_s, lives, slots = 0.5, 10, 16
        passed = 0
        for _ in range(lives):
            gate = new_gate(slots)
            passed += sum(gate.admit(dispatch(gate, f"{n}")) is None for n in range(slots))
            gate.limit.record_response([str(per_s)], sent_s=clocks.elapsed_s())
            gate.backoff.record_response(("0", 1), 200, [])
            passed += sum(gate.admit(dispatch(gate, f"later {n}")) is None for n in range(slots))
        assert passed <= 1.5 * per_s * lives + 5

    async def test_lets_all_through_once_the_engine_has_responded(self):
        gate = new_gate()
        assert gate.admit(dispatch(gate, "a")) is None
        assert gate.admit(dispatch(gate, "b")).code is Code.SLOTS_FULL
        gate.backoff.record_response(("a", 1), 200, [])
        assert gate.admit(dispatch(gate, "c")) is None

    async def test_lets_another_through_if_the_first_ends_without_a_response(self):
        gate = new_gate()
        gate.admit(dispatch(gate, "a"))
        gate.release(dispatch(gate, "a"))
        assert gate.admit(dispatch(gate, "b")) is None
