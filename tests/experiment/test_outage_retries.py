"""Tests that the wave of caller retries after an outage of 1.5 s delays no other requests."""

from __future__ import annotations

import statistics

from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.runner import run_once

SEEDS = (1, 2)
RETRIES_FIRST_ON_TIME = 0.865
"""Share of requests on time if, with the same callers, retries go first for 2.5 s after an
outage."""


class TestRetriesAfterOutage:
    def test_retries_do_not_make_other_requests_late(self):
        outcomes = [run_once(patterns()["blink"], QueuePolicy(), seed) for seed in SEEDS]
        assert statistics.fmean(found.on_time for found in outcomes) > RETRIES_FIRST_ON_TIME + 0.007
