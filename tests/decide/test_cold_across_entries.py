"""Tests that all entries together send a cold server no more than it takes, and little less."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadhollow.decide.share_allocator import LEASE_S
from tests.decide.cold_fleet import Fleet, make_instance
from tests.decide.cold_patterns import COLD_S, PATTERNS, run

ENTRIES = 6
entries = st.integers(0, ENTRIES - 1)
events = st.lists(
    st.one_of(
        st.tuples(st.just("cold"), st.sampled_from([0.5, 3.0])),  # says that it is cold
        st.tuples(st.just("restored"), st.just(0.0)),
        st.tuples(st.just("demand"), st.sampled_from([0.0, 5.0, 200.0])),
        st.tuples(st.just("leader"), st.sampled_from([0.0, 1.5])),  # time without a leader
        st.tuples(st.just("run"), st.sampled_from([0.1, 0.5, 1.3])),
        st.tuples(st.just("cut"), entries),
        st.tuples(st.just("start"), entries),
    ),
    max_size=30,
)


class TestPatterns:
    # Guards against: entries that are each right by their own view exceed the bound together.
    @pytest.mark.parametrize("name", sorted(PATTERNS))
    def test_no_server_gets_more_than_it_may_in_any_second(self, name):
        fleet, _ = run(name, seed=1, entries=36, demand_per_s=10.0)
        assert 0 < fleet.most_in_a_second() <= fleet.allowed

    # Guards against: shares that are held by entries without requests while others wait.
    @pytest.mark.parametrize("name", ["one server", "one domain", "all servers"])
    def test_most_of_the_rate_is_used_where_requests_wait(self, name):
        fleet, servers = run(name, seed=2, entries=36, demand_per_s=10.0)
        assert fleet.used(from_s=1.0, to_s=COLD_S, servers=servers) >= 0.9


class TestAnyOrder:
    # Guards against: an order of leases, word, cuts and starts in which saved tokens add up.
    @settings(max_examples=40, deadline=None)
    @given(st.sampled_from([1.0, 4.0, 18.0]), events)
    def test_of_events_keeps_the_bound(self, rate_per_s, found):
        fleet = Fleet(seed=1, entries=ENTRIES, pace_per_s=rate_per_s, demand_per_s=20.0)
        fleet.announce(make_instance(0, cold_until_s=10.0))
        fleet.run(0.1)
        for kind, value in found:
            views = [fleet.leader] + [entry.view for entry in fleet.entries]
            if kind == "cold":
                fleet.announce(make_instance(0, cold_until_s=fleet.now_s + value))
            elif kind == "restored":
                for view in views:
                    view.domains.set_evacuated({"a"})
                    view.domains.set_evacuated(())
            elif kind == "demand":
                fleet.demand_per_s = value
            elif kind == "leader":
                fleet.elect(from_s=fleet.now_s + value + LEASE_S)
            elif kind == "run":
                fleet.run(value)
            elif kind == "cut":
                fleet.entries[value].cut = not fleet.entries[value].cut
            else:
                fleet.entries[value].start()
                fleet.entries[value].view.table.merge(
                    make_instance(0, cold_until_s=fleet.now_s + 3.0)
                )
        fleet.run(0.5)
        assert fleet.most_in_a_second() <= fleet.allowed
