"""Tests that overload affects failure domains alike if callers and engines are spread unevenly."""

from __future__ import annotations

import statistics

import msgspec

from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.runner import run_once

PATTERN = msgspec.structs.replace(patterns()["double"], length_s=20.0)
SEEDS = (1, 2)


def worst_domain_share(policy: QueuePolicy) -> float:
    """Return the worth share of the worst failure domain, relative to the mean of all domains."""
    ratios = []
    for seed in SEEDS:
        shares = run_once(PATTERN, policy, seed).by_domain.values()
        ratios.append(min(shares) / statistics.fmean(shares))
    return statistics.fmean(ratios)


class TestDomainFairness:
    def test_overload_affects_all_failure_domains_alike(self):
        assert worst_domain_share(QueuePolicy()) > 0.88

    def test_overload_is_uneven_if_entries_count_only_their_own_refusals(self):
        assert worst_domain_share(QueuePolicy(shares_pressure=False, balances=False)) < 0.8
