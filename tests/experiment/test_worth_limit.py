"""Tests that the worth bound is never below the result of a run and falls under more load."""

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


def short_scenario(name: str, **changes: object) -> Scenario:
    return msgspec.structs.replace(patterns()[name], length_s=LENGTH_S, **changes)


def bound(scenario: Scenario, seed: int = 1) -> float:
    return worth_bound(scenario, draw_callers(scenario, seed))


class TestWorthBound:
    @pytest.mark.parametrize("name", sorted(patterns()))
    @pytest.mark.parametrize("seed", [1, 2])
    def test_is_not_below_the_worth_of_any_run(self, name, seed):
        scenario = short_scenario(name)
        simulation = Simulation(scenario=scenario, policy=QueuePolicy(), seed=seed)
        simulation.run()
        assert summarise(simulation.callers).worth <= bound(scenario, seed) + 1e-9

    def test_is_one_if_engines_have_capacity_for_all_requests(self):
        assert bound(short_scenario("usual")) == pytest.approx(1.0)

    def test_falls_as_the_load_rises(self):
        loads = [
            bound(short_scenario("usual", changes=(Change(at_s=0.0, load=load),)))
            for load in (1, 6, 12)
        ]
        assert loads[0] > loads[1] > loads[2] > 0.0

    def test_is_zero_if_no_engine_serves(self):
        scenario = short_scenario("usual", changes=(Change(at_s=0.0, engines_out=1.0),))
        assert bound(scenario) == pytest.approx(0.0, abs=1e-6)

    def test_is_reduced_by_an_outage(self):
        out = (Change(at_s=2.0, engines_out=1.0), Change(at_s=5.0, engines_out=0.0))
        assert bound(short_scenario("usual", changes=out)) < 0.9

    def test_is_one_without_callers(self):
        assert worth_bound(short_scenario("usual"), []) == 1.0

    def test_comparison_reports_a_bound_not_below_the_worth(self):
        scenario = short_scenario("double")
        compared = compare(scenario, QueuePolicy(), QueuePolicy(), seeds=2, jobs=1)
        assert compared.policy["worth"] <= compared.bound <= 1.0
