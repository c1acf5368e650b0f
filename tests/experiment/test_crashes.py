"""Tests of requests that crash their engines, simulated at the size of a large deployment."""

from __future__ import annotations

import pytest

from leadhollow.experiment.crash_patterns import PATTERNS, CrashMemory
from leadhollow.experiment.crashes import run_pattern

SEEDS = 3


class TestCrashMemory:
    @pytest.mark.parametrize("pattern", sorted(PATTERNS))
    def test_quarantines_no_request_that_ended_no_engine(self, pattern):
        assert run_pattern(pattern, CrashMemory.SUSPECTS, seeds=SEEDS)["others_held"] == 0

    # Requests that share only a part ended engines without bound.
    @pytest.mark.parametrize("pattern", ["part", "part, ten a second", "part, companion"])
    def test_sends_no_crashing_part_after_the_fifth_end(self, pattern):
        figures = run_pattern(pattern, CrashMemory.SUSPECTS, seeds=SEEDS)
        assert figures["late_sends"] == 0
        assert figures["worst_lost"] <= 6
        assert figures["others_refused"] == 0
        assert run_pattern(pattern, CrashMemory.NONE, seeds=1)["worst_lost"] > 20

    @pytest.mark.parametrize("pattern", ["one", "five", "one, all else"])
    def test_sends_no_crashing_request_after_the_third_end(self, pattern):
        figures = run_pattern(pattern, CrashMemory.SUSPECTS, seeds=SEEDS)
        assert figures["late_sends"] == 0
        assert figures["worst_lost"] <= 6
        assert run_pattern(pattern, CrashMemory.NONE, seeds=1)["worst_lost"] > 50

    def test_loses_fewer_engines_than_a_plain_count_of_ends(self):
        with_suspects = run_pattern("five", CrashMemory.SUSPECTS, seeds=SEEDS)["engines_lost"]
        assert with_suspects < run_pattern("five", CrashMemory.COUNT, seeds=SEEDS)["engines_lost"]

    def test_refuses_no_popular_request_unlike_a_plain_count(self):
        pattern = "none, all else"
        assert run_pattern(pattern, CrashMemory.SUSPECTS, seeds=SEEDS)["others_refused"] == 0
        assert run_pattern(pattern, CrashMemory.COUNT, seeds=SEEDS)["others_refused"] > 100
