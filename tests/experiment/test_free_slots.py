"""Tests that freed slots are used at once while recent refusals still raise the pressure."""

from __future__ import annotations

import statistics

from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.runner import run_once

SEEDS = (1, 2, 3, 4, 5, 6)


def on_time(policy: QueuePolicy) -> float:
    return statistics.fmean(run_once(patterns()["blink"], policy, seed).on_time for seed in SEEDS)


class TestFreeSlots:
    def test_more_requests_are_on_time_if_free_slots_override_the_pressure(self):
        assert on_time(QueuePolicy()) > on_time(QueuePolicy(uses_room=False))
