"""Load pattern: more requests than places, with prompts of very different sizes."""

from __future__ import annotations

import statistics

from leadhollow.decide import engine_choice
from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.outcome import worth_share
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.simulation import Simulation

SEEDS = (1, 2)
LARGEST_TENTH = 0.9


def worth_of_the_largest() -> float:
    """Give what the largest tenth of the long requests gets, as a part of what all of them get."""
    found = []
    for seed in SEEDS:
        world = Simulation(scenario=patterns()["overload"], policy=QueuePolicy(), seed=seed)
        world.run()
        callers = [caller for caller in world.callers if caller.kind.name == "long"]
        callers.sort(key=lambda caller: caller.prompt_tokens)
        largest = callers[int(LARGEST_TENTH * len(callers)) :]
        found.append(worth_share(largest) / worth_share(callers))
    return statistics.fmean(found)


class TestSizes:
    def test_the_largest_get_as_much_of_their_worth_as_the_others(self):
        assert worth_of_the_largest() > 0.93

    def test_they_do_not_where_small_ones_take_what_is_free_for_a_moment(self, monkeypatch):
        def by_own_size(model, prompt_tokens):
            spare_ms = model.prefill_ms(model.spec.usual_prompt_tokens) - model.prefill_ms(
                prompt_tokens
            )
            return min(0.0, spare_ms)

        monkeypatch.setattr(engine_choice, "_size_allowance_ms", by_own_size)
        assert worth_of_the_largest() < 0.9
