"""Tests that large prompts get a fair share of worth under overload."""

from __future__ import annotations

import statistics

from leadhollow.decide import engine_choice
from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.outcome import worth_share
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.simulation import Simulation

SEEDS = (1, 2)
LARGEST_QUANTILE = 0.9


def largest_worth_share() -> float:
    """Return the worth share of the largest tenth of the long requests, relative to all of them."""
    ratios = []
    for seed in SEEDS:
        simulation = Simulation(scenario=patterns()["overload"], policy=QueuePolicy(), seed=seed)
        simulation.run()
        callers = [caller for caller in simulation.callers if caller.kind.name == "long"]
        callers.sort(key=lambda caller: caller.prompt_tokens)
        largest = callers[int(LARGEST_QUANTILE * len(callers)) :]
        ratios.append(worth_share(largest) / worth_share(callers))
    return statistics.fmean(ratios)


class TestSizeFairness:
    def test_the_largest_get_about_the_same_worth_share_as_the_others(self):
        assert largest_worth_share() > 0.93

    def test_the_largest_get_less_if_small_ones_are_admitted_by_their_own_size(self, monkeypatch):
        def by_own_size(model, prompt_tokens):
            spare_ms = model.prefill_ms(model.spec.usual_prompt_tokens) - model.prefill_ms(
                prompt_tokens
            )
            return min(0.0, spare_ms)

        monkeypatch.setattr(engine_choice, "_size_allowance_ms", by_own_size)
        assert largest_worth_share() < 0.9
