"""Limits that entries share evenly hold although replicas report different numbers of entries."""

from __future__ import annotations

import pytest

from leadhollow.decide.retry_budget import RetryBudget
from leadhollow.membership.entry_count import (
    ASSUMED_ENTRIES,
    COUNT_SETTLES_S,
    RETENTION_S,
    EntryCount,
)
from leadhollow.settings.node import Bounds

ENTRIES = 39


class Clock:
    now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


class Budgets:
    """Retry budgets of entries that have run for some time."""

    def __init__(self, clock: Clock, counts: list[EntryCount]) -> None:
        self._budgets = [
            RetryBudget(bounds=Bounds(), entries=count.cautious_maximum, clock=clock)
            for count in counts
        ]
        clock.now_s += 2 * Bounds().retry_window_s

    def total(self) -> float:
        return sum(budget.remaining("s") for budget in self._budgets)


def make_counts(clock: Clock, number: int) -> list[EntryCount]:
    counts = [EntryCount(clock=clock) for _ in range(number)]
    for count in counts:
        count.record(number, confirmed=True)
    return counts


class TestPartition:
    # Guards against: each side of a network partition uses the whole slack of the retry budget.
    @pytest.mark.parametrize("parts", [2, 3])
    def test_does_not_increase_the_total_retry_budget(self, parts):
        clock = Clock()
        counts = make_counts(clock, ENTRIES)
        budgets = Budgets(clock, counts)
        before = budgets.total()
        clock.now_s += 2.0
        for count in counts:
            count.record(ENTRIES // parts, confirmed=True)
        assert budgets.total() <= before + 1e-6

    def test_restarted_replica_does_not_increase_the_total_retry_budget(self):
        clock = Clock()
        counts = make_counts(clock, ENTRIES)
        budgets = Budgets(clock, counts)
        before = budgets.total()
        for subscribers in range(1, ENTRIES):
            clock.now_s += 0.01
            for count in counts:
                count.record(subscribers, confirmed=True)
        assert budgets.total() <= before + 1e-6


class TestExpiry:
    def test_higher_counts_expire(self):
        clock = Clock()
        count = EntryCount(clock=clock)
        count.record(10, confirmed=True)
        for _ in range(20):
            clock.now_s += RETENTION_S / 10
            count.record(4, confirmed=True)
        assert count.maximum() == 4

    def test_without_reports_counts_only_this_entry(self):
        assert EntryCount(clock=Clock()).maximum() == 1


class TestCautiousMaximum:
    # Guards against: an entry that knows few of the others takes their shares for its own.
    def test_assumes_many_entries_until_a_majority_has_confirmed_the_count_for_a_while(self):
        clock = Clock()
        count = EntryCount(clock=clock)
        assert count.cautious_maximum() == ASSUMED_ENTRIES
        count.record(3, confirmed=False)
        clock.now_s += 10 * COUNT_SETTLES_S
        assert count.cautious_maximum() == ASSUMED_ENTRIES
        count.record(3, confirmed=True)
        assert count.cautious_maximum() == ASSUMED_ENTRIES
        clock.now_s += COUNT_SETTLES_S
        assert count.cautious_maximum() == 3

    def test_is_never_below_the_count(self):
        count = EntryCount(clock=Clock())
        count.record(10 * ASSUMED_ENTRIES, confirmed=True)
        assert count.cautious_maximum() == 10 * ASSUMED_ENTRIES
