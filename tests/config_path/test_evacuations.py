"""Tests of the way of an evacuation from the operator's order to the entries.

The system and its faults are those of `test_config_path.py`. These are violations: the leader or,
after the faults, an entry is in a state that follows neither from the last acknowledged order nor
from an order sent since; an order is refused; no order is acknowledged after the faults.

`python -m tests.config_path --evacuations --examples 1000` runs more.
"""

from __future__ import annotations

import pytest

from tests.config_path.evacuations import EVACUATION_STEPS, HELD_BACK_STEPS, play_evacuations
from tests.config_path.mutants import EVACUATION_MUTANTS, HELD_BACK_MUTANTS
from tests.config_path.scenario import draw_run
from tests.config_path.test_config_path import quiet  # noqa: F401

RUNS = range(16)
SUSPENDED_RUNS = range(8)
MOST_TO_FIND = 40


class TestEvacuations:
    # Guards against: an acknowledged order is lost, or one that was withdrawn comes back.
    @pytest.mark.parametrize("number", RUNS)
    def test_are_neither_lost_nor_revived(self, number):
        assert play_evacuations(*draw_run(number, further=EVACUATION_STEPS)) == []

    @pytest.mark.parametrize("number", SUSPENDED_RUNS)
    def test_are_neither_lost_nor_revived_while_machines_are_suspended(self, number):
        run = draw_run(number, suspends=True, further=HELD_BACK_STEPS)
        assert play_evacuations(*run, suspends=True) == []

    # Guards against: a model that would not notice lost or revived orders.
    @pytest.mark.parametrize("name", sorted(EVACUATION_MUTANTS))
    def test_model_finds_planted_faults(self, name):
        found = []
        for number in range(MOST_TO_FIND):
            with EVACUATION_MUTANTS[name]():
                suspends = name in HELD_BACK_MUTANTS
                steps = HELD_BACK_STEPS if suspends else EVACUATION_STEPS
                run = draw_run(number, suspends=suspends, further=steps)
                found = play_evacuations(*run, suspends=suspends)
            if found:
                break
        assert found
