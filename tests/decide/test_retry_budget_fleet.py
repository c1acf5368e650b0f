"""Repeats of whole fleets stay within the limit through restarts, cuts and the loss of control."""

from __future__ import annotations

import pytest

from leadhollow.decide.retry_budget import RetryBudget
from tests.decide.repeat_fleet import SIZES, Fleet, play

SEEDS = 12


class ForgetfulBudget(RetryBudget):
    """Takes every start for the first one, as if nothing was sent before it."""

    def __init__(self, **settings) -> None:
        super().__init__(**settings, first_start=True)


def restarting_fleet(entries: int, budget: type[RetryBudget]) -> Fleet:
    """Play entries that know the number of the others and restart one after the other."""
    fleet = Fleet(
        seed=1,
        entries=entries,
        slack=dict(SIZES)[entries],
        rate_per_s=1.0,
        faults=False,
        make_budget=lambda **settings: budget(**(settings | {"entries": lambda: entries})),
    )
    fleet.run_restarting(every_s=1.0)
    return fleet


class TestFleet:
    # Guards against: entries that restart while servers refuse send more repeats than all may.
    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_stays_within_the_limit(self, seed):
        assert play(seed).worst_excess() <= 0

    @pytest.mark.parametrize("seed", range(len(SIZES)))
    def test_uses_most_of_the_limit_while_nothing_restarts(self, seed):
        assert play(seed, faults=False).used() >= 0.7


@pytest.mark.parametrize("entries", [entries for entries, _ in SIZES])
class TestPlantedFault:
    # A check of the judge: it sees processes that take what their predecessors took before.
    def test_is_found(self, entries):
        assert restarting_fleet(entries, ForgetfulBudget).worst_excess() > 0

    def test_is_absent_in_the_budget(self, entries):
        fleet = restarting_fleet(entries, RetryBudget)
        assert fleet.repeats_s
        assert fleet.worst_excess() <= 0
