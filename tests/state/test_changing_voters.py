"""Replicas found from seeds: lost disks, replacements, network partitions, full restarts."""

from __future__ import annotations

import asyncio

import pytest
from result import Err

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.commands import NameVersion
from leadhollow.state.log_store import LogStore
from leadhollow.state.replica import ReplicaRole
from tests.state.seeded_group import SeededGroup
from tests.support import eventually


@pytest.fixture
async def group(tmp_path):
    made = SeededGroup(folder=tmp_path)
    await made.start_all()
    yield made
    await made.stop_all()


class TestFirstStart:
    async def test_seeds_become_the_voters(self, group):
        await group.wait_voters(*group.seeds)
        assert await group.accept() == 1

    async def test_replica_that_is_no_seed_becomes_a_learner(self, group):
        await group.start("127.0.0.14", first_start=True)
        await group.accept()
        await eventually(lambda: group.newest("127.0.0.14") == 1, "the learner to learn")
        await group.wait_voters(*group.seeds)


class TestLostDisk:
    async def test_loss_right_after_an_acknowledgement_loses_no_entry(self, group):
        number = await group.accept()
        wiped = (await group.wait_leader()).host
        await group.stop(wiped)
        group.wipe(wiped)
        await group.start(wiped)
        await group.wait_voters(*group.seeds)
        await eventually(lambda: group.newest(wiped) == number, "the wiped one to learn")

    async def test_loss_of_each_disk_in_turn_loses_no_entry(self, group):
        for host in group.seeds:
            number = await group.accept()
            await group.stop(host)
            group.wipe(host)
            await group.start(host)
            await group.wait_voters(*group.seeds)
        await eventually(
            lambda: all(group.newest(host) == number for host in group.seeds), "all to know"
        )

    async def test_wiped_replica_makes_no_majority_after_a_power_loss_of_all(self, group):
        number = await group.accept()
        leader = (await group.wait_leader()).host
        first, second = (host for host in group.seeds if host != leader)
        await group.stop_all()
        group.wipe(leader)
        await group.start(leader)
        await group.start(first)
        await asyncio.sleep(1.0)
        assert (
            group.leader() is None
        )  # the replica with the empty disk must not count for a majority
        await group.start(second)
        await group.wait_voters(*group.seeds)
        assert group.newest((await group.wait_leader()).host) == number

    async def test_wiped_replica_does_not_answer_for_its_former_identity(self, group):
        """The leader still sends requests for the lost replica to the address of the new one."""
        await group.accept()
        leader = await group.wait_leader()
        lost = next(host for host in group.seeds if host != leader.host)
        identity = group.nodes[lost].replica.vm
        await group.stop(lost)
        group.wipe(lost)
        node = await group.start(lost)
        assert node.replica.vm != identity
        await group.wait_voters(*group.seeds)
        voters = (await group.wait_leader()).replica.voters
        assert identity not in voters


class TestReplacement:
    async def test_replica_at_another_address_replaces_a_lost_voter(self, group):
        await group.accept()
        lost = (await group.wait_leader()).host
        await group.stop(lost)
        await group.start("127.0.0.14")
        left = [host for host in group.seeds if host != lost]
        await group.wait_voters(*left, "127.0.0.14")
        number = await group.accept()
        await eventually(lambda: group.newest("127.0.0.14") == number)

    async def test_planned_replacement_adds_the_new_replica_first(self, group):
        await group.accept()
        await group.start("127.0.0.14")
        await eventually(lambda: group.newest("127.0.0.14") == 1, "the new one to learn")
        leaving = await group.wait_leader()
        await leaving.service.drain()
        await group.stop(leaving.host)
        left = [host for host in group.seeds if host != leaving.host]
        await group.wait_voters(*left, "127.0.0.14")
        assert await group.accept() == 2

    async def test_all_three_voters_are_replaced_in_turn(self, group):
        hosts = list(group.seeds)
        for number, new in enumerate(("127.0.0.21", "127.0.0.22", "127.0.0.23")):
            await group.accept()
            stopped = hosts.pop(0)
            await group.stop(stopped)
            group.configured_seeds = [stopped, *hosts]  # the first of them is stopped
            hosts.append(new)
            await group.start(new)
            await group.wait_voters(*hosts)
            assert number + 1 == group.newest((await group.wait_leader()).host)

    async def test_replaced_voter_returns_as_learner(self, group):
        await group.accept()
        away = next(host for host in group.seeds if host != (group.leader() or group).host)
        await group.stop(away)
        await group.start("127.0.0.14")
        left = [host for host in group.seeds if host != away]
        await group.wait_voters(*left, "127.0.0.14")
        await group.start(away)
        number = await group.accept()
        await eventually(lambda: group.newest(away) == number, "the returned one to learn")
        await group.wait_voters(*left, "127.0.0.14")


class TestPartitions:
    async def test_isolated_leader_confirms_no_read(self, group):
        old = await group.wait_leader()
        await group.accept()
        group.cut(old.host)
        await eventually(
            lambda: any(node.replica.ready() for node in group.nodes.values() if node is not old),
            "another leader",
        )
        confirmed = await old.service.gateway.confirm(timeout_s=0.5)
        assert confirmed.unwrap_err().code is Code.READ_UNCONFIRMED

    async def test_edit_of_an_isolated_leader_is_lost_and_the_new_leader_wins(self, group):
        old = await group.wait_leader()
        await group.accept()
        await group.wait_voters(*group.seeds)
        group.cut(old.host)
        lost = asyncio.ensure_future(
            old.service.gateway.propose(NameVersion(model="lost", number=9), timeout_s=1.0)
        )
        others = [node for node in group.nodes.values() if node is not old]
        await eventually(lambda: any(node.replica.ready() for node in others), "a new leader")
        number = await group.accept()
        assert (await lost).is_err()
        group.heal()
        await eventually(lambda: group.newest(old.host) == number, "the old leader")

    async def test_any_replica_confirms_a_read(self, group):
        number = await group.accept()
        for node in group.nodes.values():
            assert (await node.service.gateway.confirm(timeout_s=2.0)).is_ok()
            assert group.newest(node.host) == number


class TestFullRestart:
    async def test_restart_of_all_replicas_keeps_all_entries(self, group):
        for _ in range(40):  # enough entries for more than one snapshot
            number = await group.accept()
        await group.stop_all()
        for host in group.seeds:
            await group.start(host)
        await group.wait_voters(*group.seeds)
        await eventually(
            lambda: all(group.newest(host) == number for host in group.seeds), "all to know"
        )

    async def test_learner_gets_the_voter_set_from_a_snapshot(self, group):
        for _ in range(40):
            number = await group.accept()
        node = await group.start("127.0.0.14")
        await eventually(lambda: group.newest("127.0.0.14") == number, "the learner")
        await eventually(lambda: len(node.replica.voters) == 3, "the voters")


class TestLeadershipTransfer:
    async def test_another_replica_leads_after_the_transfer(self, group):
        await group.accept()
        leader = await group.wait_leader()
        assert await leader.replica.leadership.transfer_leadership(2.0)
        assert leader.replica.role is not ReplicaRole.LEADER
        other = await group.wait_leader()
        assert other is not leader


class TestFullDisk:
    async def test_another_replica_leads_while_the_disk_of_the_leader_is_full(
        self, group, monkeypatch
    ):
        await group.accept()
        full_node = await group.wait_leader()
        append, recover = LogStore.append, LogStore.recover

        def refuse(work):
            def wrapped(store, *arguments):
                if store is full_node.replica.store:
                    return Err(Failure(code=Code.DISK_FAILED, detail="no space"))
                return work(store, *arguments)

            return wrapped

        with monkeypatch.context() as patch:
            patch.setattr(LogStore, "append", refuse(append))
            patch.setattr(LogStore, "recover", refuse(recover))
            number = await group.accept()
            assert full_node.replica.failed
        await eventually(lambda: not full_node.replica.failed, "the disk to be tried again")
        await eventually(lambda: group.newest(full_node.host) == number, "the entry it missed")
