"""Real replicas found from seeds: lost disks, replacements, cuts, all killed."""

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
    async def test_makes_the_seeds_the_voters(self, group):
        await group.wait_voters(*group.seeds)
        assert await group.accept() == 1

    async def test_of_one_that_is_no_seed_adds_a_learner(self, group):
        await group.start("127.0.0.14", first_start=True)
        await group.accept()
        await eventually(lambda: group.newest("127.0.0.14") == 1, "the learner to learn")
        await group.wait_voters(*group.seeds)


class TestLostDisk:
    async def test_right_after_an_acknowledgement_loses_nothing(self, group):
        number = await group.accept()
        wiped = (await group.wait_leader()).host
        await group.stop(wiped)
        group.wipe(wiped)
        await group.start(wiped)
        await group.wait_voters(*group.seeds)
        await eventually(lambda: group.newest(wiped) == number, "the wiped one to learn")

    async def test_of_each_one_after_the_other_loses_nothing(self, group):
        for host in group.seeds:
            number = await group.accept()
            await group.stop(host)
            group.wipe(host)
            await group.start(host)
            await group.wait_voters(*group.seeds)
        await eventually(
            lambda: all(group.newest(host) == number for host in group.seeds), "all to know"
        )

    async def test_while_the_others_lose_power_waits_for_them(self, group):
        number = await group.accept()
        leader = (await group.wait_leader()).host
        first, second = (host for host in group.seeds if host != leader)
        await group.stop_all()
        group.wipe(leader)
        await group.start(leader)
        await group.start(first)
        await asyncio.sleep(1.0)
        assert group.leader() is None  # the empty disk must not make a majority
        await group.start(second)
        await group.wait_voters(*group.seeds)
        assert group.newest((await group.wait_leader()).host) == number

    async def test_does_not_answer_for_the_disk_before_it(self, group):
        """The leader goes on sending to the lost replica at the address of the new one."""
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
    async def test_at_another_address_takes_the_place_of_one_that_is_gone(self, group):
        await group.accept()
        gone = (await group.wait_leader()).host
        await group.stop(gone)
        await group.start("127.0.0.14")
        left = [host for host in group.seeds if host != gone]
        await group.wait_voters(*left, "127.0.0.14")
        number = await group.accept()
        await eventually(lambda: group.newest("127.0.0.14") == number)

    async def test_planned_with_the_new_one_first(self, group):
        await group.accept()
        await group.start("127.0.0.14")
        await eventually(lambda: group.newest("127.0.0.14") == 1, "the new one to learn")
        leaving = await group.wait_leader()
        await leaving.service.drain()
        await group.stop(leaving.host)
        left = [host for host in group.seeds if host != leaving.host]
        await group.wait_voters(*left, "127.0.0.14")
        assert await group.accept() == 2

    async def test_of_all_three_one_after_the_other(self, group):
        hosts = list(group.seeds)
        for number, new in enumerate(("127.0.0.21", "127.0.0.22", "127.0.0.23")):
            await group.accept()
            gone = hosts.pop(0)
            await group.stop(gone)
            group.told_seeds = [gone, *hosts]  # one of them is down by now
            hosts.append(new)
            await group.start(new)
            await group.wait_voters(*hosts)
            assert number + 1 == group.newest((await group.wait_leader()).host)

    async def test_one_that_was_replaced_comes_back_as_learner(self, group):
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


class TestCuts:
    async def test_a_cut_off_leader_confirms_no_read(self, group):
        old = await group.wait_leader()
        await group.accept()
        group.cut(old.host)
        await eventually(
            lambda: any(node.replica.ready() for node in group.nodes.values() if node is not old),
            "another leader",
        )
        confirmed = await old.service.gateway.confirm(timeout_s=0.5)
        assert confirmed.unwrap_err().code is Code.READ_UNCONFIRMED

    async def test_half_cut_off_with_edits_on_both_sides(self, group):
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

    async def test_a_read_is_confirmed_by_any_replica(self, group):
        number = await group.accept()
        for node in group.nodes.values():
            assert (await node.service.gateway.confirm(timeout_s=2.0)).is_ok()
            assert group.newest(node.host) == number


class TestAllKilled:
    async def test_come_back_with_everything(self, group):
        for _ in range(40):  # more than one snapshot
            number = await group.accept()
        await group.stop_all()
        for host in group.seeds:
            await group.start(host)
        await group.wait_voters(*group.seeds)
        await eventually(
            lambda: all(group.newest(host) == number for host in group.seeds), "all to know"
        )

    async def test_a_learner_gets_the_voters_from_a_snapshot(self, group):
        for _ in range(40):
            number = await group.accept()
        node = await group.start("127.0.0.14")
        await eventually(lambda: group.newest("127.0.0.14") == number, "the learner")
        await eventually(lambda: len(node.replica.voters) == 3, "the voters")


class TestHandOver:
    async def test_gives_the_lead_to_another_one_at_once(self, group):
        await group.accept()
        leader = await group.wait_leader()
        assert await leader.replica.leadership.transfer_leadership(2.0)
        assert leader.replica.role is not ReplicaRole.LEADER
        other = await group.wait_leader()
        assert other is not leader


class TestFullDisk:
    async def test_of_the_leader_lets_another_lead_and_is_made_good(self, group, monkeypatch):
        await group.accept()
        full = await group.wait_leader()
        append, recover = LogStore.append, LogStore.recover

        def refuse(work):
            def wrapped(store, *arguments):
                if store is full.replica.store:
                    return Err(Failure(code=Code.DISK_FAILED, detail="no space"))
                return work(store, *arguments)

            return wrapped

        with monkeypatch.context() as patch:
            patch.setattr(LogStore, "append", refuse(append))
            patch.setattr(LogStore, "recover", refuse(recover))
            number = await group.accept()
            assert full.replica.failed
        await eventually(lambda: not full.replica.failed, "the disk to be tried again")
        await eventually(lambda: group.newest(full.host) == number, "the entry it missed")
