"""Whom a follower drops: only who was not named for long by a replica that is followed."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.unlisted_instances import UnlistedInstances
from tests.membership.test_instances import said

FORGET_AFTER_S = 10.0
LONG_S = 1_000.0
NAMES = ("i-0", "i-1", "i-2")


@pytest.fixture
def table():
    found = InstanceTable(forget_after_s=FORGET_AFTER_S)
    for number, name in enumerate(NAMES):
        found.merge(said(name, address=f"10.0.0.{number}:80", heard_s=0.0))
    return found


@pytest.fixture
def unnamed(table):
    return UnlistedInstances(table=table)


def known(table: InstanceTable) -> list[str]:
    return sorted(found.instance for found in table.instances())


class TestWholeView:
    def test_keeps_whom_it_names_however_old_the_news_is(self, table, unnamed):
        unnamed.take(NAMES, (), whole=True, now_s=0.0)
        assert not unnamed.forget(LONG_S)
        assert known(table) == list(NAMES)

    def test_drops_whom_it_does_not_name_after_a_while(self, table, unnamed):
        unnamed.take(NAMES[:1], (), whole=True, now_s=0.0)
        assert not unnamed.forget(FORGET_AFTER_S)
        assert unnamed.forget(FORGET_AFTER_S + 0.1) == ["i-1", "i-2"]
        assert known(table) == ["i-0"]

    def test_of_a_replica_that_learns_again_drops_nobody(self, table, unnamed):
        unnamed.take((), (), whole=True, now_s=0.0)
        unnamed.take(NAMES, (), whole=False, now_s=2.0)
        assert not unnamed.forget(LONG_S)


class TestDelta:
    def test_that_names_nobody_drops_nobody(self, table, unnamed):
        unnamed.take(NAMES, (), whole=True, now_s=0.0)
        unnamed.take((), (), whole=False, now_s=LONG_S)
        assert not unnamed.forget(2 * LONG_S)

    def test_takes_back_whom_the_replica_hears_no_more(self, table, unnamed):
        unnamed.take(NAMES, (), whole=True, now_s=0.0)
        unnamed.take((), ("i-1",), whole=False, now_s=5.0)
        assert not unnamed.forget(5.0 + FORGET_AFTER_S)
        assert unnamed.forget(5.1 + FORGET_AFTER_S) == ["i-1"]

    def test_of_one_that_was_dropped_brings_it_back(self, table, unnamed):
        unnamed.take((), ("i-1",), whole=False, now_s=0.0)
        unnamed.forget(LONG_S)
        assert table.take(said("i-1", sequence=2, address="10.0.0.1:80", heard_s=LONG_S))


class TestNobodyFollowed:
    def test_drops_nobody(self, table, unnamed):
        unnamed.take((), ("i-1",), whole=False, now_s=0.0)
        unnamed.pause()
        assert not unnamed.forget(LONG_S)

    def test_begins_anew_with_the_next_replica(self, table, unnamed):
        unnamed.take((), ("i-1",), whole=False, now_s=0.0)
        unnamed.pause()
        unnamed.take(("i-0", "i-2"), (), whole=True, now_s=LONG_S)
        assert not unnamed.forget(LONG_S + FORGET_AFTER_S)
        assert unnamed.forget(LONG_S + FORGET_AFTER_S + 0.1) == ["i-1"]


class TestAnyOrder:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["whole", "delta", "silent"]), st.sets(st.sampled_from(NAMES))
            )
        )
    )
    def test_only_who_was_taken_back_or_left_out_is_dropped(self, updates):
        table = InstanceTable(forget_after_s=FORGET_AFTER_S)
        for number, name in enumerate(NAMES):
            table.merge(said(name, address=f"10.0.0.{number}:80", heard_s=0.0))
        unnamed = UnlistedInstances(table=table)
        heard = set(NAMES)  # by the replica, as an observer of the updates knows it
        for kind, names in updates:
            if kind == "silent":
                unnamed.take((), names, whole=False, now_s=0.0)
                heard -= names
            else:
                unnamed.take(names, (), whole=kind == "whole", now_s=0.0)
                heard = names if kind == "whole" else heard | names
        unnamed.forget(LONG_S)
        assert set(known(table)) == heard
