"""Tests that less urgent requests give way when room at the engines is short."""

from __future__ import annotations

import statistics

import msgspec

from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.outcome import Outcome
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.runner import run_once
from leadhollow.experiment.scenario import Scenario

SEEDS = (1, 2)


def outcomes(pattern: Scenario) -> list[Outcome]:
    return [run_once(pattern, QueuePolicy(), seed) for seed in SEEDS]


def on_time(found: list[Outcome]) -> dict[str, float]:
    """Return the mean share on time of each kind."""
    return {
        kind: statistics.fmean(each.on_time_by_kind[kind] for each in found)
        for kind in ("urgent", "ordinary", "lenient")
    }


def all_equal(pattern: Scenario) -> Scenario:
    """Return the pattern with kinds that are equally urgent."""
    kinds = tuple(msgspec.structs.replace(kind, urgency=0) for kind in pattern.kinds)
    return msgspec.structs.replace(pattern, kinds=kinds)


def with_urgent_group(pattern: Scenario, share: float) -> Scenario:
    """Return a pattern in which a share of the requests of each kind is urgent."""
    kinds = [
        msgspec.structs.replace(
            kind, name=f"{name} {kind.name}", per_s=kind.per_s * part, urgency=urgency
        )
        for kind in pattern.kinds
        for urgency, (name, part) in enumerate((("urgent", share), ("other", 1 - share)))
    ]
    return msgspec.structs.replace(pattern, kinds=tuple(kinds), length_s=15.0)


class TestUrgentGroup:
    def test_a_small_urgent_group_goes_first_and_costs_the_others_no_more_than_it_takes(self):
        pattern = with_urgent_group(patterns()["overload"], 0.14)
        found, equal = outcomes(pattern), outcomes(all_equal(pattern))
        urgent = [
            share
            for each in found
            for name, share in each.on_time_by_kind.items()
            if name.startswith("urgent")
        ]
        assert statistics.fmean(urgent) > 0.9
        total = statistics.fmean(each.on_time for each in found)
        assert total > statistics.fmean(each.on_time for each in equal) - 0.04


class TestUrgency:
    def test_less_urgent_requests_give_way_under_overload(self):
        shares = on_time(outcomes(patterns()["urgency-overload"]))
        assert shares["urgent"] > 0.93
        assert shares["urgent"] > shares["ordinary"] > shares["lenient"]

    def test_order_by_urgency_costs_no_requests_in_total(self):
        pattern = patterns()["urgency-overload"]
        shares, equal = on_time(outcomes(pattern)), on_time(outcomes(all_equal(pattern)))
        assert equal["urgent"] < 0.7
        assert sum(shares.values()) > sum(equal.values())

    def test_all_are_served_alike_while_there_is_room(self):
        shares = on_time(outcomes(patterns()["urgency"]))
        assert max(shares.values()) - min(shares.values()) < 0.02

    def test_the_least_urgent_get_a_quarter_of_the_mean_at_twice_the_load(self):
        found = outcomes(patterns()["urgency-double"])
        shares = [each.by_kind.values() for each in found]
        assert min(min(each) / statistics.fmean(each) for each in shares) > 0.25
        assert on_time(found)["urgent"] > 0.93
