"""Tests of placement planning and of weighted max-min division."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadhollow.placement.fair_share import Claimant, weighted_max_min
from leadhollow.placement.plan import Engine, Target, allocate_engines, assign_versions, plan_steps
from leadhollow.state.records import VersionRecord


def target(root: str, weight: float = 1.0, min_engines: int = 0) -> Target:
    record = VersionRecord(model="m", version=root, root=root, size_bytes=1, origin_url="u")
    return Target(version=record, weight=weight, min_engines=min_engines)


def engines(count: int, serving: str = "", complete: tuple[str, ...] = ()) -> list[Engine]:
    return [
        Engine(name=f"e{number}", serving_root=serving, complete_roots=frozenset(complete))
        for number in range(count)
    ]


def plan(targets: list[Target], members: list[Engine]) -> dict[str, str]:
    counts = allocate_engines(targets, engines=len(members), domain_index=0, domains=1)
    return {name: record.root for name, record in assign_versions(targets, counts, members).items()}


class TestAllocateEngines:
    @given(weights=st.lists(st.floats(0.1, 100), min_size=1, max_size=6), count=st.integers(0, 40))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_allocates_every_engine(self, weights, count):
        targets = [target(f"r{number}", weight) for number, weight in enumerate(weights)]
        counts = allocate_engines(targets, engines=count, domain_index=0, domains=1)
        assert sum(counts) == count
        if count >= len(targets):
            assert min(counts) >= 1

    def test_follows_weights(self):
        counts = allocate_engines(
            [target("a", 3), target("b", 1)], engines=8, domain_index=0, domains=1
        )
        assert counts == [6, 2]

    def test_respects_minimum_engines(self):
        targets = [target("a", 100), target("b", 1, min_engines=3)]
        assert allocate_engines(targets, engines=8, domain_index=0, domains=1) == [5, 3]

    def test_domains_together_cover_more_versions_than_one_domain_has_engines(self):
        targets = [target(f"r{number}") for number in range(5)]
        covered = set()
        for index in range(3):
            counts = allocate_engines(targets, engines=2, domain_index=index, domains=3)
            covered |= {position for position, count in enumerate(counts) if count}
        assert covered == {0, 1, 2, 3, 4}


class TestAssignVersions:
    def test_does_not_depend_on_the_order_of_engines(self):
        targets = [target("a", 2), target("b", 1)]
        assert plan(targets, engines(6)) == plan(targets, list(reversed(engines(6))))

    def test_an_engine_keeps_the_version_it_serves(self):
        members = engines(4, serving="a")
        members[2].serving_root = "b"
        assigned = plan([target("a", 3), target("b", 1)], members)
        assert assigned["e2"] == "b"

    def test_losing_an_engine_moves_at_most_one_other(self):
        targets = [target("a", 2), target("b", 1)]
        members = engines(9)
        for member, root in zip(members, plan(targets, members).values(), strict=True):
            member.serving_root = root
        before = {member.name: member.serving_root for member in members}
        after = plan(targets, members[1:])
        moved = [name for name in after if after[name] != before[name]]
        assert len(moved) <= 1


class TestSwitchingWaves:
    def steps(self, members: list[Engine]) -> dict[str, bool]:
        record = target("new").version
        planned = plan_steps({member.name: record for member in members}, members)
        return {step.engine: step.activate for step in planned}

    def test_no_engine_switches_before_it_has_the_weights(self):
        assert not any(self.steps(engines(6, serving="old")).values())

    def test_a_third_of_the_engines_switches_at_a_time(self):
        switching = self.steps(engines(6, serving="old", complete=("new",)))
        assert sum(switching.values()) == 2

    def test_engines_out_of_service_count_towards_the_wave(self):
        members = engines(6, serving="old", complete=("new",))
        members[0].serving_root = ""
        members[1].serving_root = ""
        switching = self.steps(members)
        assert [name for name, activate in switching.items() if activate] == ["e0", "e1"]

    def test_engines_that_serve_nothing_load_immediately(self):
        assert all(self.steps(engines(6)).values())

    @pytest.mark.parametrize("count", [1, 2, 3, 4, 9, 50])
    def test_a_rollout_reaches_all_engines(self, count):
        members = engines(count, serving="old", complete=("new",))
        for _ in range(count + 1):
            for member in members:
                if self.steps(members)[member.name]:
                    member.serving_root = "new"
        assert {member.serving_root for member in members} == {"new"}


class TestWeightedMaxMin:
    @given(
        claims=st.lists(st.tuples(st.floats(0.1, 10), st.floats(0, 100)), min_size=1, max_size=8),
        capacity=st.floats(0, 200),
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_is_fair_and_allocates_all_usable_capacity(self, claims, capacity):
        claimants = {
            str(number): Claimant(weight=weight, demand=demand)
            for number, (weight, demand) in enumerate(claims)
        }
        shares = weighted_max_min(claimants, capacity)
        total_demand = sum(claimant.demand for claimant in claimants.values())
        assert sum(shares.values()) == pytest.approx(min(capacity, total_demand), abs=1e-6)
        unsatisfied = [
            shares[name] / claimant.weight
            for name, claimant in claimants.items()
            if shares[name] < claimant.demand - 1e-6
        ]
        if unsatisfied:
            assert max(unsatisfied) == pytest.approx(min(unsatisfied), rel=1e-6, abs=1e-6)
            level = max(unsatisfied)
            for name, claimant in claimants.items():
                assert shares[name] <= claimant.weight * level + 1e-6
