"""Load pattern: callers, entries and engines spread unevenly, with more callers than places."""

from __future__ import annotations

import statistics

import msgspec

from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.runner import run_once

PATTERN = msgspec.structs.replace(patterns()["double"], length_s=20.0)
SEEDS = (1, 2)


def worst_domain(policy: QueuePolicy) -> float:
    """Give what the callers of the worst failure domain get, as a part of the mean."""
    found = []
    for seed in SEEDS:
        shares = run_once(PATTERN, policy, seed).by_domain.values()
        found.append(min(shares) / statistics.fmean(shares))
    return statistics.fmean(found)


class TestDomains:
    def test_an_overload_falls_on_all_failure_domains_alike(self):
        assert worst_domain(QueuePolicy()) > 0.88

    def test_it_does_not_where_each_entry_goes_by_its_own_refusals(self):
        assert worst_domain(QueuePolicy(shares_pressure=False, balances=False)) < 0.8
