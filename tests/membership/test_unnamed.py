"""A subscriber drops only instances that the followed replica has not listed for long."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.unlisted_instances import UnlistedInstances
from tests.membership.test_instances import make_instance

FORGET_AFTER_S = 10.0
LONG_S = 1_000.0
NAMES = ("i-0", "i-1", "i-2")


@pytest.fixture
def table():
    found = InstanceTable(forget_after_s=FORGET_AFTER_S)
    for number, name in enumerate(NAMES):
        found.merge(make_instance(name, address=f"10.0.0.{number}:80", heard_s=0.0))
    return found


@pytest.fixture
def unlisted(table):
    return UnlistedInstances(table=table)


def known_ids(table: InstanceTable) -> list[str]:
    return sorted(found.instance for found in table.instances())


class TestFullUpdate:
    def test_keeps_listed_instances_however_old_their_records_are(self, table, unlisted):
        unlisted.apply(NAMES, (), whole=True, now_s=0.0)
        assert not unlisted.drop_expired(LONG_S)
        assert known_ids(table) == list(NAMES)

    def test_drops_unlisted_instances_after_a_while(self, table, unlisted):
        unlisted.apply(NAMES[:1], (), whole=True, now_s=0.0)
        assert not unlisted.drop_expired(FORGET_AFTER_S)
        assert unlisted.drop_expired(FORGET_AFTER_S + 0.1) == ["i-1", "i-2"]
        assert known_ids(table) == ["i-0"]

    def test_keeps_instances_that_a_restarted_replica_lists_later(self, table, unlisted):
        unlisted.apply((), (), whole=True, now_s=0.0)
        unlisted.apply(NAMES, (), whole=False, now_s=2.0)
        assert not unlisted.drop_expired(LONG_S)


class TestDelta:
    def test_without_instances_drops_none(self, table, unlisted):
        unlisted.apply(NAMES, (), whole=True, now_s=0.0)
        unlisted.apply((), (), whole=False, now_s=LONG_S)
        assert not unlisted.drop_expired(2 * LONG_S)

    def test_drops_instances_reported_as_silent_after_a_while(self, table, unlisted):
        unlisted.apply(NAMES, (), whole=True, now_s=0.0)
        unlisted.apply((), ("i-1",), whole=False, now_s=5.0)
        assert not unlisted.drop_expired(5.0 + FORGET_AFTER_S)
        assert unlisted.drop_expired(5.1 + FORGET_AFTER_S) == ["i-1"]

    def test_dropped_instance_may_register_again(self, table, unlisted):
        unlisted.apply((), ("i-1",), whole=False, now_s=0.0)
        unlisted.drop_expired(LONG_S)
        assert table.merge(make_instance("i-1", sequence=2, address="10.0.0.1:80", heard_s=LONG_S))


class TestNoReplicaFollowed:
    def test_drops_none(self, table, unlisted):
        unlisted.apply((), ("i-1",), whole=False, now_s=0.0)
        unlisted.reset()
        assert not unlisted.drop_expired(LONG_S)

    def test_restarts_the_time_with_the_next_replica(self, table, unlisted):
        unlisted.apply((), ("i-1",), whole=False, now_s=0.0)
        unlisted.reset()
        unlisted.apply(("i-0", "i-2"), (), whole=True, now_s=LONG_S)
        assert not unlisted.drop_expired(LONG_S + FORGET_AFTER_S)
        assert unlisted.drop_expired(LONG_S + FORGET_AFTER_S + 0.1) == ["i-1"]


class TestAnyOrder:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["whole", "delta", "silent"]), st.sets(st.sampled_from(NAMES))
            )
        )
    )
    def test_only_silent_or_unlisted_instances_are_dropped(self, updates):
        table = InstanceTable(forget_after_s=FORGET_AFTER_S)
        for number, name in enumerate(NAMES):
            table.merge(make_instance(name, address=f"10.0.0.{number}:80", heard_s=0.0))
        unlisted = UnlistedInstances(table=table)
        alive = set(NAMES)  # according to the updates of the replica
        for kind, names in updates:
            if kind == "silent":
                unlisted.apply((), names, whole=False, now_s=0.0)
                alive -= names
            else:
                unlisted.apply(names, (), whole=kind == "whole", now_s=0.0)
                alive = names if kind == "whole" else alive | names
        unlisted.drop_expired(LONG_S)
        assert set(known_ids(table)) == alive
