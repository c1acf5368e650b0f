"""Announcements in any order: late ones, repeated ones, and those of incarnations that left."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.membership.instance_table import TAKE_BACK_S, InstanceTable
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion

READY, DRAINING, GONE = InstanceState.READY, InstanceState.DRAINING, InstanceState.GONE


def said(
    instance: str = "i-1",
    *,
    sequence: int = 1,
    state: InstanceState = READY,
    address: str = "10.0.0.1:80",
    heard_s: float = 100.0,
    version: int = 1,
    born_ms: int = 0,
) -> Instance:
    served = ServedVersion(model="m", version=version, first_layer=0, end_layer=16)
    return Instance(
        instance=instance,
        service="s",
        address=address,
        failure_domain="d",
        sequence=sequence,
        state=state,
        slots=16,
        served=(served,),
        heard_s=heard_s,
        born_ms=born_ms,
    )


@pytest.fixture
def table():
    return InstanceTable(forget_after_s=10.0)


class TestOrder:
    def test_a_late_call_changes_nothing(self, table):
        table.take(said(sequence=2, version=2))
        assert not table.take(said(sequence=1, version=1))
        assert table.get("i-1").served[0].version == 2

    def test_the_same_again_is_no_news(self, table):
        assert table.take(said(sequence=1))
        assert not table.take(said(sequence=2))
        assert table.get("i-1").sequence == 2

    def test_a_sign_of_life_counts_also_when_it_is_no_news(self, table):
        table.take(said(sequence=3, heard_s=100.0))
        table.take(said(sequence=1, heard_s=105.0))
        assert table.get("i-1").heard_s == 105.0

    def test_who_leaves_does_not_come_back(self, table):
        table.take(said(sequence=2, state=DRAINING))
        assert not table.take(said(sequence=3, state=READY))
        assert table.get("i-1").state is DRAINING

    @given(st.permutations(range(5)))
    def test_any_order_ends_the_same(self, order):
        calls = [
            said(sequence=1),
            said(sequence=2, version=2),
            said(sequence=3, version=3),
            said(sequence=4, version=3, state=DRAINING),
            said(sequence=4, version=3, state=DRAINING),
        ]
        table = InstanceTable(forget_after_s=10.0)
        for place in order:
            table.merge(calls[place])
        found = table.get("i-1")
        assert (found.state, found.served[0].version, found.sequence) == (DRAINING, 3, 4)


class TestLeaving:
    async def test_is_final(self, table):
        table.take(said(sequence=1))
        assert table.leave("i-1").address == "10.0.0.1:80"
        assert not table.take(said(sequence=9))
        assert table.instances() == []

    async def test_may_come_before_any_announcement(self, table):
        assert table.leave("i-1") is not None
        assert not table.take(said(sequence=1))

    async def test_twice_is_no_news(self, table):
        table.take(said())
        assert table.leave("i-1") is not None
        assert table.leave("i-1") is None

    async def test_told_by_another_replica_counts(self, table):
        table.take(said())
        assert table.take(said(state=GONE))
        assert table.get("i-1") is None


class TestAddresses:
    def test_used_again_belong_to_the_newer_incarnation(self, table):
        table.take(said("i-1", heard_s=100.0))
        table.take(said("i-2", heard_s=110.0))
        assert table.at_address("10.0.0.1:80").instance == "i-2"
        assert table.get("i-1") is None

    def test_are_not_taken_back_by_an_older_one(self, table):
        table.take(said("i-2", heard_s=110.0))
        assert not table.take(said("i-1", heard_s=100.0))
        assert table.at_address("10.0.0.1:80").instance == "i-2"

    def test_stay_with_the_newer_one_where_a_delayed_call_of_the_older_one_arrives(self, table):
        table.take(said("i-1", sequence=40, heard_s=100.0))
        table.take(said("i-2", sequence=1, heard_s=103.0))
        assert not table.take(said("i-1", sequence=41, heard_s=103.5))
        assert not table.take(said("i-1", sequence=42, heard_s=103.0 + TAKE_BACK_S - 0.1))
        assert table.at_address("10.0.0.1:80").instance == "i-2"

    def test_go_back_where_it_was_the_delayed_call_that_took_them(self, table):
        table.take(said("i-2", sequence=1, heard_s=103.0))
        table.take(said("i-1", sequence=41, heard_s=103.5))  # unknown here until now
        late_s = 103.5 + TAKE_BACK_S
        assert table.take(said("i-2", sequence=4, heard_s=late_s))
        assert table.at_address("10.0.0.1:80").instance == "i-2"
        assert not table.take(said("i-1", sequence=42, heard_s=late_s + 0.1))


class TestLives:
    """A server that starts again under its name, its calls counted anew."""

    FIRST, SECOND = 1_000, 2_000

    def test_of_a_server_that_crashed_begins_with_what_it_says_now(self, table):
        table.take(said(sequence=40, version=3, born_ms=self.FIRST))
        assert table.take(said(sequence=1, version=1, born_ms=self.SECOND))
        assert table.get("i-1").served[0].version == 1
        assert table.get("i-1").sequence == 1

    async def test_of_a_server_that_had_left_is_taken(self, table):
        table.take(said(sequence=40, born_ms=self.FIRST))
        table.leave("i-1")
        assert not table.take(said(sequence=41, born_ms=self.FIRST))
        assert table.take(said(sequence=1, born_ms=self.SECOND))
        assert table.get("i-1") is not None

    def test_of_a_server_that_was_leaving_takes_requests_again(self, table):
        table.take(said(sequence=40, state=DRAINING, born_ms=self.FIRST))
        assert table.take(said(sequence=1, born_ms=self.SECOND))
        assert table.get("i-1").state is READY

    def test_at_another_address_leaves_the_old_one(self, table):
        table.take(said(sequence=40, born_ms=self.FIRST))
        table.take(said(sequence=1, address="10.0.0.2:80", born_ms=self.SECOND))
        assert table.at_address("10.0.0.1:80") is None
        assert table.at_address("10.0.0.2:80").born_ms == self.SECOND

    @pytest.mark.parametrize("state", [READY, DRAINING, GONE])
    @pytest.mark.parametrize("born_ms", [0, FIRST])
    def test_late_calls_of_a_former_one_change_nothing(self, table, state, born_ms):
        table.take(said(sequence=1, heard_s=100.0, born_ms=self.SECOND))
        late = said(sequence=41, version=3, heard_s=109.0, state=state, born_ms=born_ms)
        assert not table.take(late)
        known = table.get("i-1")
        assert (known.state, known.served[0].version, known.heard_s) == (READY, 1, 100.0)

    async def test_the_late_farewell_of_a_former_one_changes_nothing(self, table):
        table.take(said(sequence=1, born_ms=self.SECOND))
        assert table.leave("i-1", born_ms=self.FIRST) is None
        assert table.get("i-1") is not None

    async def test_a_farewell_without_a_birth_is_that_of_the_newest(self, table):
        table.take(said(sequence=1, born_ms=self.SECOND))
        assert table.leave("i-1").born_ms == self.SECOND
        assert not table.take(said(sequence=2, born_ms=self.SECOND))

    def test_travel_with_the_record(self):
        record = said(born_ms=self.SECOND).to_record(103.0)
        assert Instance.from_record(record, 50.0).born_ms == self.SECOND

    @given(st.permutations(range(6)))
    def test_any_order_ends_with_the_newest(self, order):
        calls = [
            said(sequence=1, born_ms=self.FIRST),
            said(sequence=40, version=3, born_ms=self.FIRST),
            said(sequence=41, state=DRAINING, born_ms=self.FIRST),
            said(sequence=41, state=GONE, born_ms=self.FIRST),
            said(sequence=1, version=1, born_ms=self.SECOND),
            said(sequence=2, version=2, born_ms=self.SECOND),
        ]
        table = InstanceTable(forget_after_s=10.0)
        for place in order:
            table.merge(calls[place])
        known = table.get("i-1")
        assert (known.born_ms, known.sequence, known.served[0].version) == (self.SECOND, 2, 2)


class TestSilence:
    def test_drops_an_incarnation_that_may_come_back(self, table):
        table.take(said(heard_s=100.0))
        assert [
            found.instance
            for found in table.forget_silent(silence_s=lambda heard_s: 111.0 - heard_s)
        ] == ["i-1"]
        assert table.instances() == []
        assert table.take(said(sequence=2, heard_s=112.0))


class TestMessages:
    def test_carry_ages_in_place_of_times(self):
        record = said(heard_s=100.0).to_record(103.0)
        assert record.heard_age_ms == 3_000
        elsewhere = Instance.from_record(record, 50.0)
        assert elsewhere.heard_s == 47.0
        assert elsewhere.says_the_same(said())

    def test_listeners_hear_each_piece_of_news_once(self, table):
        heard = []
        table.on_change(lambda instance: heard.append(instance.state))
        for sequence, state in itertools.product((1, 2), (READY, READY)):
            table.take(said(sequence=sequence, state=state))
        table.take(said(sequence=3, state=DRAINING))
        assert heard == [READY, DRAINING]
