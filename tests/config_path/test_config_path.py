"""The way of a configuration, from an operator's call to the routes that an entry serves.

Whole control replicas and entries run in one emulated system with a clock of its own. Operators
change, race, resend, send what is old, other or invalid, and lose answers; replicas and entries are
killed, lose power or a disk, are cut off one way or both; then all is calm again. Seen must never
be: an entry that goes back, content that nobody sent under its number or two contents under one,
an invalid table in force or acknowledged, a valid one refused, a read older than what was
acknowledged before it, something acknowledged and lost, a table not in force where all is calm.

`python -m tests.config_path --examples 10000` plays more; `--mutants` shows what the model finds.
"""

from __future__ import annotations

import pytest
from absl import logging as absl_logging
from hypothesis import HealthCheck, given, settings

from tests.config_path.mutants import CLOCK_MUTANTS
from tests.config_path.scenario import Step, drawn, play, runs

EXAMPLES = 60
SUSPENDED_RUNS = range(24)  # run 9 showed a process that never ended
MOST_TO_FIND = 12

REGRESSIONS: list[tuple[int, list[Step]]] = [
    (1, [("restart", "10.0.0.1", True), ("change", 1, False), ("wait", 1.5)]),
    (2, [("storm", 6), ("restart all", True), ("race",), ("wipe", "10.0.0.2")]),
    (4, [("behind", True), ("after acknowledgement", "wipe"), ("split leader",)]),
    (5, [("behind", False), ("split leader",), ("after acknowledgement", "cut"), ("heal",)]),
    (3, [("cut", "10.0.0.1", "", False), ("storm", 5), ("read", "10.0.0.1"), ("heal",)]),
]
"""Runs that reach far; one that ever shows a fault is added and stays as it is."""


@pytest.fixture(autouse=True)
def quiet():
    """Leave out the lines of processes that are killed hundreds of times."""
    before = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.FATAL)
    yield
    absl_logging.set_verbosity(before)


class TestConfigPath:
    @settings(
        max_examples=EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(runs)
    def test_keeps_its_promises(self, run):
        assert play(*run) == []

    def test_knows_the_voters_after_a_lost_connection(self):
        """Seen in a drawn run: a replica that applied a change of voters holds the old set."""
        assert play(*drawn(3_728)) == []

    @pytest.mark.parametrize("number", SUSPENDED_RUNS)
    def test_keeps_its_promises_while_machines_are_suspended(self, number):
        assert play(*drawn(number, suspends=True), suspends=True) == []

    @pytest.mark.parametrize("name", sorted(CLOCK_MUTANTS))
    def test_finds_a_clock_that_stands_still(self, name):
        found = []
        for number in range(MOST_TO_FIND):
            with CLOCK_MUTANTS[name]():
                found = play(*drawn(number, suspends=True), suspends=True)
            if found:
                break
        assert found

    @pytest.mark.parametrize(("seed", "taken"), REGRESSIONS)
    def test_keeps_them_in_runs_that_reach_far(self, seed, taken):
        assert play(seed, taken) == []
