"""Tests of a route table's path from the operator's request to the routes that an entry serves.

Control replicas and entries run in one emulated system with a virtual clock. Operators change
tables, race, resend them, send old, different or invalid ones, and lose responses. Replicas and
entries are killed, lose power or a disk, or are partitioned in one or both directions. Finally all
faults end. These are violations: an entry goes back to an older table; a number has content that
nobody sent, or two contents; an invalid table is acknowledged or in force; a valid one is refused;
a read returns an older table than was acknowledged before; an acknowledged table is lost; a table
is not in force after the faults have ended; an entry that starts after all replicas were down
serves an older table than was acknowledged before.

`python -m tests.config_path --examples 10000` runs more; `--mutants` shows which planted faults are
found.
"""

from __future__ import annotations

import pytest
from absl import logging as absl_logging
from hypothesis import HealthCheck, given, settings

from tests.config_path.early_floor import early_floor
from tests.config_path.mutants import CLOCK_MUTANTS, FLOOR_MUTANTS, MUTANTS
from tests.config_path.scenario import Step, draw_run, play, runs
from tests.config_path.small_requests import small_requests

EXAMPLES = 60
SUSPENDED_RUNS = range(24)  # run 9 found a process that never ended
SMALL_REQUEST_RUNS = range(16)
EARLY_FLOOR_RUNS = range(16)
MOST_TO_FIND = 12

REGRESSIONS: list[tuple[int, list[Step]]] = [
    (1, [("restart", "10.0.0.1", True), ("change", 1, False), ("wait", 1.5)]),
    (2, [("storm", 6), ("restart all", True), ("race",), ("wipe", "10.0.0.2")]),
    (4, [("behind", True), ("after acknowledgement", "wipe"), ("split leader",)]),
    (5, [("behind", False), ("split leader",), ("after acknowledgement", "cut"), ("heal",)]),
    (6, [("restart behind", "10.0.0.1", False), ("restart behind", "10.0.0.2", True)]),
    (7, [("restart behind", "10.0.0.3", True), ("restart behind", "10.0.0.3", False)]),
    (3, [("cut", "10.0.0.1", "", False), ("storm", 5), ("read", "10.0.0.1"), ("heal",)]),
]
"""Runs with rare combinations. Runs that found a fault are added here."""


@pytest.fixture(autouse=True)
def quiet():
    """Suppress the logs of processes that are killed hundreds of times."""
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
        """Guards against: a replica that applied a change of voters holds the old set."""
        assert play(*draw_run(3_728)) == []

    @pytest.mark.parametrize("number", SUSPENDED_RUNS)
    def test_keeps_its_promises_while_machines_are_suspended(self, number):
        assert play(*draw_run(number, suspends=True), suspends=True) == []

    # Guards against a replica that never catches up because its log does not fit into a request.
    @pytest.mark.parametrize("number", SMALL_REQUEST_RUNS)
    def test_keeps_its_promises_while_tables_go_in_parts(self, number):
        with small_requests():
            assert play(*draw_run(number)) == []

    # Guards against: removed routes that stay in force where their removal was forgotten
    @pytest.mark.parametrize("number", EARLY_FLOOR_RUNS)
    def test_keeps_its_promises_while_removed_routes_are_forgotten(self, number):
        with early_floor():
            assert play(*draw_run(number)) == []

    @pytest.mark.parametrize("name", sorted(FLOOR_MUTANTS))
    def test_finds_a_route_whose_removal_was_forgotten(self, name):
        found = []
        for number in range(MOST_TO_FIND):
            with FLOOR_MUTANTS[name](), early_floor():
                found = play(*draw_run(number))
            if found:
                break
        assert found

    @pytest.mark.parametrize("name", sorted(CLOCK_MUTANTS))
    def test_finds_a_clock_that_stands_still(self, name):
        found = []
        for number in range(MOST_TO_FIND):
            with CLOCK_MUTANTS[name]():
                found = play(*draw_run(number, suspends=True), suspends=True)
            if found:
                break
        assert found

    @pytest.mark.parametrize("name", ["unconfirmed table served", "starting replica confirmed"])
    def test_finds_a_table_of_a_replica_that_is_behind(self, name):
        with MUTANTS[name]():
            assert play(6, [("restart behind", "10.0.0.1", False)])

    @pytest.mark.parametrize(("seed", "run_steps"), REGRESSIONS)
    def test_keeps_them_in_runs_that_reach_far(self, seed, run_steps):
        assert play(seed, run_steps) == []
