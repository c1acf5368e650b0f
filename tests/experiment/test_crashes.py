"""Requests that end their engines at the size of a large deployment, in virtual time."""

from __future__ import annotations

import pytest

from leadhollow.experiment.crashes import PATTERNS, CrashMemory, run_pattern

SEEDS = 3


class TestMemoryOfTheFleet:
    @pytest.mark.parametrize("pattern", sorted(PATTERNS))
    def test_holds_nobody_who_ended_no_engine(self, pattern):
        assert run_pattern(pattern, CrashMemory.SUSPECTS, seeds=SEEDS)["others_held"] == 0

    @pytest.mark.parametrize("pattern", ["one", "five", "one, all else"])
    def test_sends_no_crasher_after_the_third_end(self, pattern):
        held = run_pattern(pattern, CrashMemory.SUSPECTS, seeds=SEEDS)
        assert held["late_sends"] == 0
        assert held["worst_lost"] <= 6
        assert run_pattern(pattern, CrashMemory.NONE, seeds=1)["worst_lost"] > 50

    def test_loses_fewer_engines_than_a_count(self):
        with_suspects = run_pattern("five", CrashMemory.SUSPECTS, seeds=SEEDS)["engines_lost"]
        assert with_suspects < run_pattern("five", CrashMemory.COUNT, seeds=SEEDS)["engines_lost"]

    def test_refuses_no_popular_request_as_a_count_does(self):
        pattern = "none, all else"
        assert run_pattern(pattern, CrashMemory.SUSPECTS, seeds=SEEDS)["others_refused"] == 0
        assert run_pattern(pattern, CrashMemory.COUNT, seeds=SEEDS)["others_refused"] > 100
