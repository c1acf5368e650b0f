"""Repeats that one entry permits within its share of what all entries may send."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.codes import Code
from leadhollow.decide.retry_budget import RepeatCause, RetryBudget, cause_of_repeat
from leadhollow.failure import Failure
from leadhollow.settings.node import Bounds


class Clock:
    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


WINDOW_S = 10.0
SLACK = 100.0
STEP_S = 0.1


def new_budget(clock: Clock, *, entries: int = 4) -> RetryBudget:
    bounds = Bounds(retry_ratio=0.2, retry_slack=SLACK, retry_window_s=WINDOW_S)
    return RetryBudget(bounds=bounds, entries=lambda: entries, clock=clock)


def old_budget(clock: Clock, *, entries: int = 4) -> RetryBudget:
    """Return the budget of a process that has run for longer than a window."""
    budget = new_budget(clock, entries=entries)
    clock.now_s += 2 * WINDOW_S
    return budget


def take_all(budget: RetryBudget, service: str = "s") -> int:
    taken = 0
    while budget.try_acquire(service, RepeatCause.FAILED):
        taken += 1
    return taken


def take_for(clock: Clock, budget: RetryBudget, time_s: float) -> int:
    """Take all permissions that become available in a time."""
    taken = take_all(budget)
    for _ in range(round(time_s / STEP_S)):
        clock.now_s += STEP_S
        taken += take_all(budget)
    return taken


class TestRetryBudget:
    def test_of_all_entries_together_uses_most_of_the_slack_and_not_more(self):
        taken = 0
        for _ in range(4):
            clock = Clock()
            taken += take_for(clock, old_budget(clock, entries=4), WINDOW_S - STEP_S)
        assert 0.7 * SLACK <= taken <= SLACK

    # Guards against: streams that a lost failure domain breaks off at once find no permission.
    def test_saves_permissions_for_many_failures_at_once(self):
        assert take_all(old_budget(Clock(), entries=1)) >= 0.3 * SLACK

    def test_grows_with_requests(self):
        budget = old_budget(Clock(), entries=1)
        before = budget.remaining("s")
        take_all(budget)
        for _ in range(100):
            budget.record_request("s")
        assert budget.remaining("s") >= 0.1 * 100
        assert budget.remaining("s") <= 0.2 * 100
        assert before + budget.remaining("s") <= SLACK + 0.2 * 100

    def test_permits_a_repeat_to_an_entry_with_few_requests(self):
        budget = old_budget(Clock(), entries=1_000)
        for _ in range(8):
            budget.record_request("s")
        assert take_all(budget) == 1

    def test_is_kept_for_each_service(self):
        budget = old_budget(Clock())
        assert take_all(budget, "a")
        assert take_all(budget, "b")

    def test_is_refilled_as_the_window_slides(self):
        clock = Clock()
        budget = old_budget(clock, entries=1)
        windows = [take_for(clock, budget, WINDOW_S) for _ in range(4)]
        assert all(0.75 * SLACK <= taken <= 0.85 * SLACK for taken in windows)

    def test_returns_the_permission_of_a_repeat_that_was_not_sent(self):
        budget = old_budget(Clock())
        before = budget.remaining("s")
        assert budget.try_acquire("s", RepeatCause.FAILED)
        budget.refund("s")
        assert budget.remaining("s") == pytest.approx(before)

    @given(st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=200))
    def test_is_never_exceeded_within_a_window(self, steps):
        clock = Clock()
        budget = old_budget(clock, entries=1)
        requests, repeats = [], []
        for pause_s, repeat in steps:
            clock.now_s += pause_s
            if repeat and budget.try_acquire("s", RepeatCause.FAILED):
                repeats.append(clock.now_s)
            elif not repeat:
                budget.record_request("s")
                requests.append(clock.now_s)
            recent_repeats = [moment for moment in repeats if moment > clock.now_s - 10]
            recent_requests = [moment for moment in requests if moment > clock.now_s - 10]
            assert len(recent_repeats) <= 100 + 0.2 * len(recent_requests)


class TestMemory:
    # Guards against: an entry whose requests are never repeated remembers all of them.
    def test_holds_the_requests_of_one_window(self):
        clock = Clock()
        budget = old_budget(clock)
        for _ in range(10_000):
            clock.now_s += 0.1
            budget.record_request("s")
        assert len(budget._services["s"].requests_s) <= WINDOW_S / 0.1 + 1


class TestRestart:
    # Guards against: each start of a process hands out its share of a window once more.
    @pytest.mark.parametrize("lives", [2, 10, 100])
    def test_hands_out_nothing_that_the_process_before_may_have_sent(self, lives):
        clock = Clock()
        budget = old_budget(clock, entries=1)
        taken = 0
        for _ in range(lives):
            taken += take_for(clock, budget, max(STEP_S, (WINDOW_S - 1.0) / lives))
            budget = new_budget(clock, entries=1)
            taken += take_all(budget)
        assert taken <= SLACK

    def test_permits_repeats_again_soon(self):
        clock = Clock()
        budget = new_budget(clock, entries=9)
        for _ in range(15):
            clock.now_s += 1 / 15
            budget.record_request("s")
        assert budget.try_acquire("s", RepeatCause.FAILED)


class TestFirstStart:
    # Guards against: streams that are broken off soon after the first start are not resumed.
    def test_has_the_permissions_of_a_process_that_was_idle(self):
        bounds = Bounds(retry_ratio=0.2, retry_slack=SLACK, retry_window_s=WINDOW_S)
        clock = Clock()
        budget = RetryBudget(bounds=bounds, entries=lambda: 1, clock=clock, first_start=True)
        assert take_all(budget) == take_all(old_budget(Clock(), entries=1))


class TestLog:
    def test_says_what_a_repeat_was_decided_by(self, monkeypatch):
        lines: list[tuple[str, dict[str, object]]] = []
        monkeypatch.setattr(
            "leadhollow.decide.retry_budget.log_decision",
            lambda decision, **fields: lines.append((decision, fields)),
        )
        clock = Clock()
        part = new_budget(clock, entries=40)
        clock.now_s += 20.0
        assert part.try_acquire("s", RepeatCause.HEDGED, request="r-1")
        assert not [part.try_acquire("s", RepeatCause.REFUSED) for _ in range(9)][-1]
        assert lines[0][0] == "repeat permitted"
        assert lines[0][1] == {
            "request": "r-1",
            "service": "s",
            "cause": "hedged",
            "remaining": 1.0,
            "entries": 40,
            "started_s": 20.0,
        }
        assert lines[-1][0] == "repeat not permitted"
        assert lines[-1][1]["cause"] == "refused"


class TestCause:
    @pytest.mark.parametrize(
        ("code", "cause"),
        [
            (Code.BACKEND_REFUSED, RepeatCause.REFUSED),
            (Code.BACKEND_LOST, RepeatCause.FAILED),
            (Code.ENGINE_FAILED, RepeatCause.FAILED),
            (Code.PEER_ABSENT, RepeatCause.FAILED),
        ],
    )
    def test_follows_from_the_last_failure(self, code, cause):
        assert cause_of_repeat(Failure(code=code)) is cause
