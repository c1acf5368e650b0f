"""Records in any order: late ones, repeated ones, and those of deregistered instances."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.membership.instance_table import RECLAIM_AFTER_S, InstanceTable
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion

READY, DRAINING, GONE = InstanceState.READY, InstanceState.DRAINING, InstanceState.GONE


def make_instance(
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
    def test_an_outdated_record_is_ignored(self, table):
        table.merge(make_instance(sequence=2, version=2))
        assert not table.merge(make_instance(sequence=1, version=1))
        assert table.get("i-1").served[0].version == 2

    def test_a_repeated_record_only_updates_the_sequence_number(self, table):
        assert table.merge(make_instance(sequence=1))
        assert not table.merge(make_instance(sequence=2))
        assert table.get("i-1").sequence == 2

    def test_an_outdated_record_still_counts_as_a_sign_of_life(self, table):
        table.merge(make_instance(sequence=3, heard_s=100.0))
        table.merge(make_instance(sequence=1, heard_s=105.0))
        assert table.get("i-1").heard_s == 105.0

    def test_a_draining_instance_stays_draining(self, table):
        table.merge(make_instance(sequence=2, state=DRAINING))
        assert not table.merge(make_instance(sequence=3, state=READY))
        assert table.get("i-1").state is DRAINING

    @given(st.permutations(range(5)))
    def test_any_order_gives_the_same_result(self, order):
        records = [
            make_instance(sequence=1),
            make_instance(sequence=2, version=2),
            make_instance(sequence=3, version=3),
            make_instance(sequence=4, version=3, state=DRAINING),
            make_instance(sequence=4, version=3, state=DRAINING),
        ]
        table = InstanceTable(forget_after_s=10.0)
        for index in order:
            table.merge(records[index])
        found = table.get("i-1")
        assert (found.state, found.served[0].version, found.sequence) == (DRAINING, 3, 4)


class TestDeregistration:
    async def test_is_final(self, table):
        table.merge(make_instance(sequence=1))
        assert table.deregister("i-1").address == "10.0.0.1:80"
        assert not table.merge(make_instance(sequence=9))
        assert table.instances() == []

    async def test_may_arrive_before_any_record(self, table):
        assert table.deregister("i-1") is not None
        assert not table.merge(make_instance(sequence=1))

    async def test_repeated_changes_nothing(self, table):
        table.merge(make_instance())
        assert table.deregister("i-1") is not None
        assert table.deregister("i-1") is None

    async def test_is_accepted_from_another_replica(self, table):
        table.merge(make_instance())
        assert table.merge(make_instance(state=GONE))
        assert table.get("i-1") is None


class TestAddresses:
    def test_reused_address_belongs_to_the_newer_instance(self, table):
        table.merge(make_instance("i-1", heard_s=100.0))
        table.merge(make_instance("i-2", heard_s=110.0))
        assert table.at_address("10.0.0.1:80").instance == "i-2"
        assert table.get("i-1") is None

    def test_is_not_reclaimed_by_an_older_instance(self, table):
        table.merge(make_instance("i-2", heard_s=110.0))
        assert not table.merge(make_instance("i-1", heard_s=100.0))
        assert table.at_address("10.0.0.1:80").instance == "i-2"

    def test_stays_with_the_newer_instance_when_the_older_one_made_a_delayed_call(self, table):
        table.merge(make_instance("i-1", sequence=40, heard_s=100.0))
        table.merge(make_instance("i-2", sequence=1, heard_s=103.0))
        assert not table.merge(make_instance("i-1", sequence=41, heard_s=103.5))
        assert not table.merge(
            make_instance("i-1", sequence=42, heard_s=103.0 + RECLAIM_AFTER_S - 0.1)
        )
        assert table.at_address("10.0.0.1:80").instance == "i-2"

    def test_is_reclaimed_after_a_delayed_call_had_taken_it(self, table):
        table.merge(make_instance("i-2", sequence=1, heard_s=103.0))
        table.merge(make_instance("i-1", sequence=41, heard_s=103.5))  # not known here before
        late_s = 103.5 + RECLAIM_AFTER_S
        assert table.merge(make_instance("i-2", sequence=4, heard_s=late_s))
        assert table.at_address("10.0.0.1:80").instance == "i-2"
        assert not table.merge(make_instance("i-1", sequence=42, heard_s=late_s + 0.1))


class TestLives:
    """A server that restarts under its id, with sequence numbers from 1."""

    FIRST, SECOND = 1_000, 2_000

    def test_restart_after_a_crash_replaces_the_former_life(self, table):
        table.merge(make_instance(sequence=40, version=3, born_ms=self.FIRST))
        assert table.merge(make_instance(sequence=1, version=1, born_ms=self.SECOND))
        assert table.get("i-1").served[0].version == 1
        assert table.get("i-1").sequence == 1

    async def test_restart_after_deregistration_is_accepted(self, table):
        table.merge(make_instance(sequence=40, born_ms=self.FIRST))
        table.deregister("i-1")
        assert not table.merge(make_instance(sequence=41, born_ms=self.FIRST))
        assert table.merge(make_instance(sequence=1, born_ms=self.SECOND))
        assert table.get("i-1") is not None

    def test_restart_after_draining_is_ready_again(self, table):
        table.merge(make_instance(sequence=40, state=DRAINING, born_ms=self.FIRST))
        assert table.merge(make_instance(sequence=1, born_ms=self.SECOND))
        assert table.get("i-1").state is READY

    def test_restart_at_another_address_releases_the_old_one(self, table):
        table.merge(make_instance(sequence=40, born_ms=self.FIRST))
        table.merge(make_instance(sequence=1, address="10.0.0.2:80", born_ms=self.SECOND))
        assert table.at_address("10.0.0.1:80") is None
        assert table.at_address("10.0.0.2:80").born_ms == self.SECOND

    @pytest.mark.parametrize("state", [READY, DRAINING, GONE])
    @pytest.mark.parametrize("born_ms", [0, FIRST])
    def test_late_records_of_a_former_life_are_ignored(self, table, state, born_ms):
        table.merge(make_instance(sequence=1, heard_s=100.0, born_ms=self.SECOND))
        late = make_instance(sequence=41, version=3, heard_s=109.0, state=state, born_ms=born_ms)
        assert not table.merge(late)
        known = table.get("i-1")
        assert (known.state, known.served[0].version, known.heard_s) == (READY, 1, 100.0)

    async def test_late_deregistration_of_a_former_life_is_ignored(self, table):
        table.merge(make_instance(sequence=1, born_ms=self.SECOND))
        assert table.deregister("i-1", born_ms=self.FIRST) is None
        assert table.get("i-1") is not None

    async def test_deregistration_without_a_start_time_applies_to_the_latest_life(self, table):
        table.merge(make_instance(sequence=1, born_ms=self.SECOND))
        assert table.deregister("i-1").born_ms == self.SECOND
        assert not table.merge(make_instance(sequence=2, born_ms=self.SECOND))

    def test_start_time_is_part_of_the_record(self):
        record = make_instance(born_ms=self.SECOND).to_record(103.0)
        assert Instance.from_record(record, 50.0).born_ms == self.SECOND

    @given(st.permutations(range(6)))
    def test_any_order_ends_with_the_latest_life(self, order):
        records = [
            make_instance(sequence=1, born_ms=self.FIRST),
            make_instance(sequence=40, version=3, born_ms=self.FIRST),
            make_instance(sequence=41, state=DRAINING, born_ms=self.FIRST),
            make_instance(sequence=41, state=GONE, born_ms=self.FIRST),
            make_instance(sequence=1, version=1, born_ms=self.SECOND),
            make_instance(sequence=2, version=2, born_ms=self.SECOND),
        ]
        table = InstanceTable(forget_after_s=10.0)
        for index in order:
            table.merge(records[index])
        known = table.get("i-1")
        assert (known.born_ms, known.sequence, known.served[0].version) == (self.SECOND, 2, 2)


class TestEndedLife:
    # Guards against requests to a server whose end was told by a replica that did not know it.
    @pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
    def test_is_final_whatever_the_sequence_of_its_record(self, order):
        records = [
            make_instance(sequence=7),
            make_instance(sequence=8),
            make_instance(sequence=0, state=GONE),
        ]
        table = InstanceTable(forget_after_s=10.0)
        for index in order:
            table.merge(records[index])
        assert table.get("i-1") is None


class TestSilence:
    def test_drops_an_instance_that_may_register_again(self, table):
        table.merge(make_instance(heard_s=100.0))
        assert [
            found.instance
            for found in table.forget_silent(silence_s=lambda heard_s: 111.0 - heard_s)
        ] == ["i-1"]
        assert table.instances() == []
        assert table.merge(make_instance(sequence=2, heard_s=112.0))


class TestMessages:
    def test_carry_ages_instead_of_times(self):
        record = make_instance(heard_s=100.0).to_record(103.0)
        assert record.heard_age_ms == 3_000
        elsewhere = Instance.from_record(record, 50.0)
        assert elsewhere.heard_s == 47.0
        assert elsewhere.has_same_content(make_instance())

    def test_listeners_are_called_once_for_each_change(self, table):
        states = []
        table.on_change(lambda instance: states.append(instance.state))
        for sequence, state in itertools.product((1, 2), (READY, READY)):
            table.merge(make_instance(sequence=sequence, state=state))
        table.merge(make_instance(sequence=3, state=DRAINING))
        assert states == [READY, DRAINING]
