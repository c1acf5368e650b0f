"""Tests that a back-off lasts until its latest end and is followed by one probe."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from leadhollow.codes import Code
from leadhollow.decide.server import Server
from leadhollow.decide.server_backoff import MAX_PEER_BACKOFF_S, SPREAD_S, ServerBackoff
from leadhollow.decide.server_load import OwnCall
from leadhollow.membership.instances import Instance, InstanceState


class Bench:
    """A server in back-off, in virtual time."""

    def __init__(self) -> None:
        self.now_s = 10.0
        self.backoff = ServerBackoff(clock=lambda: self.now_s, source=random.Random(1))
        instance = Instance(
            instance="i-1",
            service="s",
            address="10.0.0.1:80",
            failure_domain="d",
            sequence=1,
            state=InstanceState.READY,
            slots=4,
            served=(),
            heard_s=0.0,
        )
        self.server = Server(instance=instance)
        self.server.backoff = self.backoff

    def call(self) -> OwnCall:
        return OwnCall(prompt_tokens=0, output_tokens=0, placed_s=self.now_s, predicted_ms=0.0)


step_lists = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.sampled_from([0.05, 1.0, 3.0, 600.0])),
        st.tuples(st.just("pass"), st.sampled_from([0.01, 0.5, 2.0, 30.0])),
        st.tuples(st.just("place"), st.just(0.0)),
        st.tuples(st.just("end"), st.just(0.0)),
    ),
    max_size=40,
)


class TestServerBackoff:
    # Guards against: a request is sent during a back-off, however it was placed.
    @given(step_lists)
    def test_prevents_all_sends_before_its_latest_end(self, steps):
        bench = Bench()
        latest_s = 0.0
        placed: list[OwnCall] = []
        for kind, value in steps:
            match kind:
                case "ask":
                    bench.backoff.extend(value)
                    latest_s = max(latest_s, bench.now_s + value)
                case "pass":
                    bench.now_s += value
                case "place":
                    placed.append(bench.call())
                    if bench.server.reason_against(None) is None:
                        bench.server.add_call(placed[-1])
                case "end" if placed:
                    bench.server.remove_call(placed.pop(), bench.now_s)
            for call in placed:
                if bench.server.claim_send(call) is None:
                    assert bench.now_s >= latest_s

    def test_is_not_shortened_by_a_delayed_response(self):
        bench = Bench()
        assert bench.backoff.extend(3.0)
        bench.now_s += 0.1
        assert not bench.backoff.extend(1.0)
        bench.now_s += 2.8
        assert not bench.backoff.admits()

    def test_is_extended_by_a_later_response(self):
        bench = Bench()
        bench.backoff.extend(1.0)
        bench.now_s += 0.9
        assert bench.backoff.extend(1.0)
        bench.now_s += 0.9
        assert not bench.backoff.admits()

    def test_is_followed_by_one_probe_before_other_requests(self):
        bench = Bench()
        bench.backoff.extend(1.0)
        bench.now_s += 1.0 + SPREAD_S
        first, second = bench.call(), bench.call()
        bench.server.add_call(first)
        assert bench.server.reason_against(None) is Code.SERVER_RESTS
        assert bench.server.claim_send(second) is Code.SERVER_RESTS
        assert bench.server.claim_send(first) is None
        bench.server.remove_call(first, bench.now_s)
        assert bench.server.reason_against(None) is None

    def test_ends_at_a_different_time_at_each_entry(self):
        ends_s = set()
        for seed in range(39):
            backoff = ServerBackoff(clock=lambda: 0.0, source=random.Random(seed))
            backoff.extend(3.0)
            ends_s.add(round(backoff.resumes_s, 2))
            assert 3.0 <= backoff.resumes_s <= 3.0 + SPREAD_S
        assert len(ends_s) > 20

    # Guards against: a delayed response ends a back-off that the server has asked for since.
    def test_is_ended_only_by_the_response_to_the_probe(self):
        bench = Bench()
        earlier, first = bench.call(), bench.call()
        bench.backoff.extend(1.0)
        assert not bench.backoff.ended_by(earlier)
        bench.now_s += 1.0 + SPREAD_S
        bench.server.add_call(first)
        assert not bench.backoff.ended_by(earlier)
        assert bench.backoff.ended_by(first)

    def test_deprioritises_the_server_for_a_limited_time_if_another_entry_was_asked(self):
        bench = Bench()
        bench.backoff.record_peer_backoff(600.0)
        assert bench.backoff.admits()
        bench.now_s += MAX_PEER_BACKOFF_S - 0.1
        assert bench.backoff.deprioritised
        bench.now_s += 0.2
        assert not bench.backoff.deprioritised
