"""The bound on what callers can get: never below what a run got, and lower under more load."""

from __future__ import annotations

import msgspec
import pytest

from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.callers import draw_callers
from leadhollow.experiment.outcome import summarise
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.runner import compare
from leadhollow.experiment.scenario import Change, Scenario
from leadhollow.experiment.simulation import Simulation
from leadhollow.experiment.worth_limit import worth_bound

LENGTH_S = 6.0


def short(name: str, **changes: object) -> Scenario:
    return msgspec.structs.replace(patterns()[name], length_s=LENGTH_S, **changes)


def bound_of(scenario: Scenario, seed: int = 1) -> float:
    return worth_bound(scenario, draw_callers(scenario, seed))


class TestBound:
    @pytest.mark.parametrize("name", sorted(patterns()))
    @pytest.mark.parametrize("seed", [1, 2])
    def test_is_above_what_any_run_gets(self, name, seed):
        scenario = short(name)
        world = Simulation(scenario=scenario, policy=QueuePolicy(), seed=seed)
        world.run()
        assert summarise(world.callers).worth <= bound_of(scenario, seed) + 1e-9

    def test_is_all_where_engines_have_time_for_everybody(self):
        assert bound_of(short("usual")) == pytest.approx(1.0)

    def test_falls_with_the_load(self):
        loads = [
            bound_of(short("usual", changes=(Change(at_s=0.0, load=load),))) for load in (1, 6, 12)
        ]
        assert loads[0] > loads[1] > loads[2] > 0.0

    def test_is_nothing_where_no_engine_serves(self):
        scenario = short("usual", changes=(Change(at_s=0.0, engines_out=1.0),))
        assert bound_of(scenario) == pytest.approx(0.0, abs=1e-6)

    def test_counts_an_outage_against_answers_on_time(self):
        out = (Change(at_s=2.0, engines_out=1.0), Change(at_s=5.0, engines_out=0.0))
        assert bound_of(short("usual", changes=out)) < 0.9

    def test_of_no_callers_is_all(self):
        assert worth_bound(short("usual"), []) == 1.0

    def test_stands_beside_a_comparison(self):
        scenario = short("double")
        compared = compare(scenario, QueuePolicy(), QueuePolicy(), seeds=2, jobs=1)
        assert compared.policy["worth"] <= compared.bound <= 1.0
