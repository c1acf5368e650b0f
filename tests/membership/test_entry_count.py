"""Bounds that entries share evenly hold while they are told of different numbers of entries."""

from __future__ import annotations

import pytest

from leadhollow.decide.retry_budget import RetryBudget
from leadhollow.membership.entry_count import REMEMBERED_S, EntryCount
from leadhollow.settings.node import Bounds

ENTRIES = 39


class Clock:
    now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


def sum_of_budgets(clock: Clock, counts: list[EntryCount]) -> float:
    budgets = [RetryBudget(bounds=Bounds(), entries=one.maximum, clock=clock) for one in counts]
    return sum(budget.remaining("s") for budget in budgets)


def told(clock: Clock, number: int) -> list[EntryCount]:
    counts = [EntryCount(clock=clock) for _ in range(number)]
    for one in counts:
        one.record(number)
    return counts


class TestEntriesThatAreCutApart:
    # Guards against: each side of a cut shares out the whole slack of the retry budget.
    @pytest.mark.parametrize("parts", [2, 3])
    def test_do_not_share_out_the_slack_twice(self, parts):
        clock = Clock()
        counts = told(clock, ENTRIES)
        before = sum_of_budgets(clock, counts)
        clock.now_s += 2.0
        for one in counts:
            one.record(ENTRIES // parts)
        assert sum_of_budgets(clock, counts) <= before + 1e-6

    def test_do_not_when_their_replica_has_just_started(self):
        clock = Clock()
        counts = told(clock, ENTRIES)
        before = sum_of_budgets(clock, counts)
        for followers in range(1, ENTRIES):
            clock.now_s += 0.01
            for one in counts:
                one.record(followers)
        assert sum_of_budgets(clock, counts) <= before + 1e-6


class TestEntriesThatEnded:
    def test_are_forgotten_after_a_while(self):
        clock = Clock()
        count = EntryCount(clock=clock)
        count.record(10)
        for _ in range(20):
            clock.now_s += REMEMBERED_S / 10
            count.record(4)
        assert count.maximum() == 4

    def test_leave_the_entry_itself(self):
        assert EntryCount(clock=Clock()).maximum() == 1
