"""Unit tests of health, event splitting and the engine latency model."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.decide.engine_latency import (
    FIXED_OVERHEAD_MS,
    UNREAD_SHARE,
    WAITING_SHARE,
    EngineLatencyModel,
    EngineLoad,
)
from leadhollow.decide.health import FAILURES_TO_EJECT, MIN_EJECTION_S, Health
from leadhollow.forward.events import EventSplitter
from leadhollow.routing.model import EngineSpec

PROBE = object()  # request that probes a server


class TestHealth:
    def test_a_single_failure_does_not_eject(self):
        health = Health()
        assert not health.record_failure(1.0)
        assert health.usable(1.0)

    def test_failures_in_a_row_eject_for_a_while(self):
        health = Health()
        for _ in range(FAILURES_TO_EJECT):
            health.record_failure(1.0)
        assert not health.usable(1.0)
        assert health.usable(1.0 + MIN_EJECTION_S)

    def test_a_success_resets_the_failure_count(self):
        health = Health()
        for _ in range(FAILURES_TO_EJECT - 1):
            health.record_failure(1.0)
        health.record_success()
        health.record_failure(1.0)
        assert health.usable(1.0)

    def test_ejected_server_returns_with_one_request_at_a_time(self):
        health = Health()
        health.record_failure(1.0, weight=FAILURES_TO_EJECT)
        later = 1.0 + MIN_EJECTION_S
        assert health.usable(later)
        health.claim_probe(PROBE, later)
        assert not health.usable(later)
        health.record_success()
        assert health.usable(later)

    def test_each_failed_return_doubles_the_ejection(self):
        health = Health()
        health.record_failure(0.0, weight=FAILURES_TO_EJECT)
        now_s = MIN_EJECTION_S
        health.claim_probe(PROBE, now_s)
        health.record_failure(now_s)
        assert not health.usable(now_s + MIN_EJECTION_S)
        assert health.usable(now_s + 2 * MIN_EJECTION_S)

    def test_a_neutral_result_allows_another_probe(self):
        health = Health()
        health.record_failure(0.0, weight=FAILURES_TO_EJECT)
        health.claim_probe(PROBE, 1.0)
        health.release_probe(PROBE)
        assert health.usable(1.0)

    def test_a_server_that_began_to_respond_gets_more_than_one_request(self):
        health = Health()
        for _ in range(FAILURES_TO_EJECT):
            health.record_failure(1.0)
        back_s = 1.0 + MIN_EJECTION_S
        health.claim_probe(PROBE, back_s)
        assert not health.usable(back_s)
        health.record_first_event()
        assert health.usable(back_s)

    def test_a_server_that_began_to_respond_and_fails_is_ejected_at_once(self):
        health = Health()
        for _ in range(FAILURES_TO_EJECT):
            health.record_failure(1.0)
        back_s = 1.0 + MIN_EJECTION_S
        health.claim_probe(PROBE, back_s)
        health.record_first_event()
        health.record_failure(back_s)
        assert not health.usable(back_s + MIN_EJECTION_S)


class TestReachability:
    def test_an_unreachable_server_gets_no_request_while_connections_fail(self):
        health = Health()
        health.record_unreachable(1.0)
        for tenth in range(10, 100):
            health.record_still_unreachable(tenth / 10)
            assert not health.usable(tenth / 10 + 0.1)

    def test_one_request_probes_it_as_soon_as_a_connection_opens(self):
        health = Health()
        for _ in range(4):
            health.record_unreachable(1.0)
        health.record_reachable(1.5)
        assert health.usable(1.5)
        health.claim_probe(PROBE, 1.5)
        assert not health.usable(1.5)
        health.record_success()
        assert health.usable(1.5)
        assert not health.unreachable

    def test_a_server_that_fails_requests_is_not_unreachable(self):
        health = Health()
        for _ in range(FAILURES_TO_EJECT):
            health.record_failure(1.0)
        assert not health.unreachable


EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nx-versions: 2\nid: 3\ndata: c\n\n"


class TestEvents:
    @given(st.lists(st.integers(1, 9), max_size=60))
    def test_do_not_depend_on_how_the_bytes_are_split(self, cuts):
        splitter = EventSplitter()
        rest = EVENTS
        found = []
        for size in [*cuts, len(EVENTS)]:
            found += splitter.feed(rest[:size])
            rest = rest[size:]
        assert b"".join(event.data for event in found) == EVENTS
        assert [event.event_id for event in found] == [1, 2, 3]
        assert splitter.remainder == b""

    def test_that_are_incomplete_stay_buffered(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a\n") == []
        assert splitter.remainder == b"id: 1\ndata: a\n"

    def test_may_end_with_crlf(self):
        (event,) = EventSplitter().feed(b"id: 7\r\ndata: a\r\n\r\n")
        assert event.event_id == 7

    # Guards against: an event whose text speaks of HTTP counts as damaged.
    @pytest.mark.parametrize(
        "event", [b"data: HTTP/1.1 200 OK\ndata: a\n\n", b"id: 1\ndata: HTTP/1.1 200 OK\n\n"]
    )
    def test_may_speak_of_status_lines(self, event):
        (found,) = EventSplitter().feed(event)
        assert found.is_proper(frozenset())

    def test_without_an_id_have_none(self):
        (event,) = EventSplitter().feed(b"data: a\n\n")
        assert event.event_id is None


SPEC = EngineSpec(
    slots=16,
    stride_steps=5,
    step_ms=9.27,
    sequence_ms=0.0232,
    context_ms_per_k=0.0322,
    read_tokens_per_s=20_700.0,
    pair_ms_per_million=1.18,
    usual_prompt_tokens=979.0,
    usual_answer_tokens=92.0,
)


def first_event_ms(
    *, requests: float = 0, unread: float = 0, prompt: int = 1_000, pace: float = 1.0
):
    model = EngineLatencyModel(spec=SPEC)
    demand = EngineLoad(
        requests=requests,
        unread_tokens=unread,
        context_tokens=model.usual_context_tokens(min(requests, 16)),
        pace=pace,
    )
    return model.first_event_ms(demand, prompt)


class TestEngineModel:
    def test_an_idle_engine_takes_one_prefill_and_one_pass(self):
        assert first_event_ms() == pytest.approx(
            FIXED_OVERHEAD_MS + 1000 / 20.7 + 5 * 9.27, rel=0.05
        )

    @pytest.mark.parametrize(
        ("less", "more"),
        [
            ({}, {"requests": 8}),
            ({"requests": 8}, {"requests": 16}),
            ({"requests": 15}, {"requests": 18}),
            ({}, {"unread": 2_000}),
            ({"prompt": 500}, {"prompt": 3_000}),
            ({"requests": 4}, {"requests": 4, "pace": 2.0}),
        ],
    )
    def test_more_load_takes_longer(self, less, more):
        assert first_event_ms(**less) < first_event_ms(**more)

    def test_a_full_batch_makes_the_next_request_wait_for_a_slot(self):
        usual = EngineLatencyModel(spec=SPEC).request_ms(979, 92)
        longer_ms = first_event_ms(requests=16) - first_event_ms(requests=15)
        assert longer_ms == pytest.approx(WAITING_SHARE * usual, rel=0.1)

    def test_part_of_the_pending_prompts_counts_as_read(self):
        longer_ms = first_event_ms(unread=2_070) - first_event_ms()
        assert longer_ms == pytest.approx(UNREAD_SHARE * 100, rel=0.05)
