"""Limits that servers name: whichever order news of them arrive in, all entries agree."""

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
    named_s=times,
    lifted_s=st.one_of(st.just(float("-inf")), times),
)


def table_of(heard: list[ServerLimit]) -> LimitTable:
    table = LimitTable()
    for record in heard:
        table.merge(record)
    return table


class TestMerging:
    @given(st.lists(records, max_size=5))
    def test_gives_the_same_in_any_order_and_any_number_of_times(self, heard):
        expected = table_of(heard)
        for order in itertools.islice(itertools.permutations(heard), 24):
            found = table_of([*order, *heard])
            assert found.limits() == expected.limits()
            assert found.checksum() == expected.checksum()

    @given(st.lists(records, max_size=6), st.lists(records, max_size=6))
    def test_of_two_tables_makes_them_alike(self, one, other):
        first, second = table_of(one), table_of(other)
        for record in first.records():
            second.merge(record)
        for record in second.records():
            first.merge(record)
        assert first.limits() == second.limits()

    def test_tells_whether_another_limit_is_in_force(self):
        table = LimitTable()
        assert table.record_limit("a", per_s=2.0, received_s=1.0)
        assert not table.record_limit("a", per_s=2.0, received_s=2.0)
        assert table.record_limit("a", per_s=1.0, received_s=3.0)
        assert not table.record_limit("a", per_s=5.0, received_s=2.5)
        assert table.limit("a") == 1.0


class TestLift:
    def test_counts_where_the_request_was_sent_after_the_limit_was_named(self):
        table = LimitTable()
        table.record_limit("a", per_s=1.0, received_s=5.0)
        assert not table.lift("a", sent_s=4.9)  # its answer may have been made before
        assert table.limit("a") == 1.0
        assert table.lift("a", sent_s=5.1)
        assert table.limit("a") is None

    def test_gives_way_to_a_limit_that_is_named_again(self):
        table = LimitTable()
        table.record_limit("a", per_s=1.0, received_s=5.0)
        table.lift("a", sent_s=6.0)
        assert table.record_limit("a", per_s=3.0, received_s=7.0)
        assert table.limit("a") == 3.0

    def test_of_a_server_without_a_limit_leaves_nothing_behind(self):
        table = LimitTable()
        assert not table.lift("a", sent_s=1.0)
        assert not table


class TestLives:
    def test_are_told_apart(self):
        table = LimitTable()
        table.record_limit("i-1@1", per_s=1.0, received_s=1.0)
        assert table.limit("i-1@2") is None

    def test_are_bounded(self):
        table = LimitTable()
        for number in range(2 * MAX_LIMITS):
            table.record_limit(f"i-{number}@0", per_s=1.0, received_s=1.0)
        assert len(table.records()) == len(table.limits()) == MAX_LIMITS
