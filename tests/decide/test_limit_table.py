"""Tests that all entries agree on the limits of servers, in whatever order updates arrive."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from leadhollow.decide.limit_table import MAX_LIMITS, LimitTable, ServerLimit

LIVES = ("i-1@0", "i-1@5", "i-2@0")
times = st.integers(0, 6).map(float)
records = st.builds(
    ServerLimit,
    life=st.sampled_from(LIVES),
    per_s=st.sampled_from([0.0, 0.5, 1.3, 50.0]),
    advertised_s=times,
    lifted_s=st.one_of(st.just(float("-inf")), times),
)


def table_of(updates: list[ServerLimit]) -> LimitTable:
    table = LimitTable()
    for record in updates:
        table.merge(record)
    return table


class TestMerge:
    @given(st.lists(records, max_size=5))
    def test_is_commutative_and_idempotent(self, updates):
        expected = table_of(updates)
        for order in itertools.islice(itertools.permutations(updates), 24):
            found = table_of([*order, *updates])
            assert found.limits() == expected.limits()
            assert found.checksum() == expected.checksum()

    @given(st.lists(records, max_size=6), st.lists(records, max_size=6))
    def test_makes_two_tables_equal(self, one, other):
        first, second = table_of(one), table_of(other)
        for record in first.records():
            second.merge(record)
        for record in second.records():
            first.merge(record)
        assert first.limits() == second.limits()

    def test_reports_whether_the_limit_in_force_changed(self):
        table = LimitTable()
        assert table.record_limit("a", per_s=2.0, received_s=1.0)
        assert not table.record_limit("a", per_s=2.0, received_s=2.0)
        assert table.record_limit("a", per_s=1.0, received_s=3.0)
        assert not table.record_limit("a", per_s=5.0, received_s=2.5)
        assert table.limit("a") == 1.0


class TestLift:
    def test_ends_a_limit_only_for_a_request_sent_after_the_limit_was_stated(self):
        table = LimitTable()
        table.record_limit("a", per_s=1.0, received_s=5.0)
        assert not table.lift("a", sent_s=4.9)  # its response may be older than the limit
        assert table.limit("a") == 1.0
        assert table.lift("a", sent_s=5.1)
        assert table.limit("a") is None

    def test_is_overridden_by_a_limit_that_is_stated_again(self):
        table = LimitTable()
        table.record_limit("a", per_s=1.0, received_s=5.0)
        table.lift("a", sent_s=6.0)
        assert table.record_limit("a", per_s=3.0, received_s=7.0)
        assert table.limit("a") == 3.0

    def test_stores_nothing_for_a_server_without_a_limit(self):
        table = LimitTable()
        assert not table.lift("a", sent_s=1.0)
        assert not table


class TestLives:
    def test_have_separate_limits(self):
        table = LimitTable()
        table.record_limit("i-1@1", per_s=1.0, received_s=1.0)
        assert table.limit("i-1@2") is None

    def test_are_bounded_in_number(self):
        table = LimitTable()
        for number in range(2 * MAX_LIMITS):
            table.record_limit(f"i-{number}@0", per_s=1.0, received_s=1.0)
        assert len(table.records()) == len(table.limits()) == MAX_LIMITS
