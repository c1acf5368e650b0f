"""A short soak: real programs, two faults; more seeds are played by hand with ``tests.soak``."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.departures import soak_departures
from tests.soak.odd_play import soak_odd
from tests.soak.repeats import soak_repeats
from tests.soak.run import soak
from tests.soak.stream_play import soak_streams

SEEDS = (6, 17)
"""Control replicas killed and wiped; edits in quick succession, an engine and a stager that die."""

EVACUATION_SEED = 3
CROWD_SEED = 1

STREAM_SEEDS = (1, 46)
"""Entries held up, engines that crash and paths that break, readers of logs that stand still; the
second one with signals to control replicas, entries and stagers."""

STREAMS_S = 3.0
REPEATS_S = 9.0
ODD_S = 4.0


class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_holds_every_promise(self, seed, tmp_path):
        verdict = asyncio.run(soak(seed=seed, folder=tmp_path, faults=2))
        assert verdict.violations == []
        assert verdict.served > 0

    # Guards against: an entry ends, or lies, beside callers that do not behave.
    def test_holds_every_promise_beside_crowds(self, tmp_path):
        verdict = asyncio.run(soak(seed=CROWD_SEED, folder=tmp_path, faults=2, crowds=True))
        assert verdict.violations == []
        assert verdict.served > 0

    def test_sends_nothing_to_evacuated_domains(self, tmp_path):
        verdict = asyncio.run(soak(seed=EVACUATION_SEED, folder=tmp_path, faults=2, evacuates=True))
        assert verdict.violations == []
        assert verdict.served > 0


class TestSoakOfStreams:
    @pytest.mark.parametrize("seed", STREAM_SEEDS)
    def test_holds_every_promise(self, seed, tmp_path):
        verdict = asyncio.run(soak_streams(seed=seed, folder=tmp_path, seconds=STREAMS_S))
        assert verdict.violations == []
        assert verdict.served > 0


class TestSoakOfOddAnswers:
    # Guards against: a caller of a real entry gets an answer that is not its own.
    def test_passes_on_own_answers_only(self, tmp_path):
        verdict = asyncio.run(soak_odd(seed=1, folder=tmp_path, seconds=ODD_S))
        assert verdict.violations == []
        assert verdict.served > 0


class TestSoakOfRepeats:
    # Guards against: real entries that are killed in series send more repeats than all may.
    def test_stays_within_the_limit(self, tmp_path):
        verdict = asyncio.run(soak_repeats(seed=1, folder=tmp_path, seconds=REPEATS_S))
        assert verdict.violations == []
        assert verdict.columns["repeats"] > 0


class TestSoakOfDepartures:
    # Guards against: a departure is lost with the replica that is killed as it acknowledges it.
    def test_sends_nothing_to_servers_that_left(self, tmp_path):
        verdict = asyncio.run(soak_departures(seed=1, folder=tmp_path))
        assert verdict.violations == []
        assert verdict.served > 0
