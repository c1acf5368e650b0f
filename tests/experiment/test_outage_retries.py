"""Load pattern: all engines out for 1.5 s, and a wave of callers that come back after it."""

from __future__ import annotations

import statistics

from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.runner import run_once

SEEDS = (1, 2)
ON_TIME_BEFORE = 0.865
"""Part of the requests that was on time, of the same callers, while those that come back went first
for 2.5 s after an outage."""


class TestShortOutage:
    def test_those_that_come_back_make_no_others_late(self):
        outcomes = [run_once(patterns()["blink"], QueuePolicy(), seed) for seed in SEEDS]
        assert statistics.fmean(found.on_time for found in outcomes) > ON_TIME_BEFORE + 0.007
