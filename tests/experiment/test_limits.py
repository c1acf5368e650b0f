"""Tests of methods of applying server rate limits, simulated at the size of whole deployments."""

from __future__ import annotations

import pytest

from leadhollow.experiment.limit_patterns import PATTERNS, LimitMethod
from leadhollow.experiment.limits import run_pattern

SEEDS = 2
LIGHT = sorted(set(PATTERNS) - {"all"})


class TestLeasedShares:
    @pytest.mark.parametrize("pattern", sorted(PATTERNS))
    def test_never_exceed_the_rule(self, pattern):
        assert run_pattern(pattern, LimitMethod.LEASED, seeds=SEEDS)["over_rule"] == 0

    @pytest.mark.parametrize("pattern", ["one", "one, few entries", "one, many entries", "ten"])
    def test_use_at_least_80_percent_of_a_limit(self, pattern):
        assert run_pattern(pattern, LimitMethod.LEASED, seeds=SEEDS)["used"] >= 0.8

    @pytest.mark.parametrize("pattern", LIGHT)
    def test_refuse_no_request_that_another_server_can_take(self, pattern):
        assert run_pattern(pattern, LimitMethod.LEASED, seeds=SEEDS)["refused"] == 0


class TestOtherMethods:
    def test_exceed_the_rule_if_each_entry_applies_the_whole_limit(self):
        assert run_pattern("one", LimitMethod.ALONE, seeds=1)["over_rule"] > 0

    def test_leave_a_low_limit_unused_if_it_is_split_evenly(self):
        assert run_pattern("one, many entries", LimitMethod.EVEN, seeds=1)["used"] < 0.1

    def test_exceed_the_rule_if_no_entry_applies_the_limit(self):
        assert run_pattern("one", LimitMethod.NONE, seeds=1)["over_rule"] > 0
