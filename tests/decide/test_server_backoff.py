"""A rest holds to its latest end whatever the order of answers, and ends with one request."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from leadhollow.codes import Code
from leadhollow.decide.server import Server
from leadhollow.decide.server_backoff import LONGEST_TOLD_S, SPREAD_S, ServerBackoff
from leadhollow.decide.server_load import OwnCall
from leadhollow.membership.instances import Instance, InstanceState


class Bench:
    """A server that rests, in virtual time."""

    def __init__(self) -> None:
        self.now_s = 10.0
        self.rest = ServerBackoff(clock=lambda: self.now_s, source=random.Random(1))
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
        self.server.backoff = self.rest

    def call(self) -> OwnCall:
        return OwnCall(prompt_tokens=0, output_tokens=0, placed_s=self.now_s, predicted_ms=0.0)


events = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.sampled_from([0.05, 1.0, 3.0, 600.0])),
        st.tuples(st.just("pass"), st.sampled_from([0.01, 0.5, 2.0, 30.0])),
        st.tuples(st.just("place"), st.just(0.0)),
        st.tuples(st.just("end"), st.just(0.0)),
    ),
    max_size=40,
)


class TestRest:
    # Guards against: a send within any rest that was asked for, on whatever way it was placed.
    @given(events)
    def test_lets_nothing_be_sent_before_its_latest_end(self, played):
        bench = Bench()
        latest_s = 0.0
        placed: list[OwnCall] = []
        for kind, value in played:
            match kind:
                case "ask":
                    bench.rest.extend(value)
                    latest_s = max(latest_s, bench.now_s + value)
                case "pass":
                    bench.now_s += value
                case "place":
                    placed.append(bench.call())
                    if bench.server.admits():
                        bench.server.add_call(placed[-1])
                case "end" if placed:
                    bench.server.remove_call(placed.pop(), bench.now_s)
            for call in placed:
                if bench.server.claim_send(call) is None:
                    assert bench.now_s >= latest_s

    def test_is_not_cut_short_by_an_answer_that_comes_late(self):
        bench = Bench()
        assert bench.rest.extend(3.0)
        bench.now_s += 0.1
        assert not bench.rest.extend(1.0)
        bench.now_s += 2.8
        assert not bench.rest.admits()

    def test_is_extended_by_a_later_one(self):
        bench = Bench()
        bench.rest.extend(1.0)
        bench.now_s += 0.9
        assert bench.rest.extend(1.0)
        bench.now_s += 0.9
        assert not bench.rest.admits()

    def test_ends_with_one_request_and_others_after_it(self):
        bench = Bench()
        bench.rest.extend(1.0)
        bench.now_s += 1.0 + SPREAD_S
        first, second = bench.call(), bench.call()
        bench.server.add_call(first)
        assert not bench.server.admits()
        assert bench.server.claim_send(second) is Code.SERVER_RESTS
        assert bench.server.claim_send(first) is None
        bench.server.remove_call(first, bench.now_s)
        assert bench.server.admits()

    def test_ends_at_another_moment_at_each_entry(self):
        ends_s = set()
        for seed in range(39):
            rest = ServerBackoff(clock=lambda: 0.0, source=random.Random(seed))
            rest.extend(3.0)
            ends_s.add(round(rest.resumes_s, 2))
            assert 3.0 <= rest.resumes_s <= 3.0 + SPREAD_S
        assert len(ends_s) > 20

    # Guards against: an answer that comes late brings a server back that has asked for rest since.
    def test_is_ended_by_the_request_that_found_out_only(self):
        bench = Bench()
        earlier, first = bench.call(), bench.call()
        bench.rest.extend(1.0)
        assert not bench.rest.ended_by(earlier)
        bench.now_s += 1.0 + SPREAD_S
        bench.server.add_call(first)
        assert not bench.rest.ended_by(earlier)
        assert bench.rest.ended_by(first)

    def test_of_another_entry_counts_for_a_while(self):
        bench = Bench()
        bench.rest.record_peer_backoff(600.0)
        assert bench.rest.admits()
        bench.now_s += LONGEST_TOLD_S - 0.1
        assert bench.rest.deprioritised
        bench.now_s += 0.2
        assert not bench.rest.deprioritised
