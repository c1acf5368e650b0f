"""Replicas over loopback sockets: elections, network partitions, lost disks, restarts."""

from __future__ import annotations

import asyncio

from result import Err

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.log_store import LOG_FILE, LogStore
from leadhollow.state.replica import ReplicaRole
from leadhollow.wire.generated.ttypes import AppendRequest
from tests.support import Node, ReplicaGroup, edit, eventually

LONG_ELECTION_MS = 4_000  # far above what an election takes


class TestElection:
    async def test_election_has_one_leader(self, replica_group):
        await replica_group.wait_leader()
        assert replica_group.roles().count(ReplicaRole.LEADER) == 1

    async def test_another_leader_is_elected_after_the_loss_of_the_leader(self, replica_group):
        first = await replica_group.wait_leader()
        assert (await replica_group.accept("a", 1.0, "op-1")).code == 0
        await replica_group.wait_voters()
        await replica_group.stop(first.vm)
        second = await replica_group.wait_leader(other_than=first.vm)
        assert replica_group.weights(second.vm) == {"a": 1.0}

    async def test_leader_without_a_majority_is_not_ready(self, replica_group):
        leader = await replica_group.wait_leader()
        for vm in [vm for vm in replica_group.nodes if vm != leader.vm]:
            await replica_group.stop(vm)
        await eventually(lambda: not leader.replica.ready(), "the leader to step down")


class TestFirstElection:
    async def test_restart_of_all_replicas_elects_before_the_election_timeout(self, tmp_path):
        group = ReplicaGroup(folder=tmp_path, count=3, election_timeout_ms=LONG_ELECTION_MS)
        await group.start_all()
        await group.wait_leader()
        await group.stop_all()
        await group.start_all()
        began_s = asyncio.get_running_loop().time()
        await group.wait_leader()
        took_ms = 1000 * (asyncio.get_running_loop().time() - began_s)
        await group.stop_all()
        assert took_ms < LONG_ELECTION_MS

    async def test_restart_elects_before_the_timeout_if_one_disk_is_lost(self, tmp_path):
        group = ReplicaGroup(folder=tmp_path, count=3, election_timeout_ms=LONG_ELECTION_MS)
        await group.start_all()
        assert (await group.accept("a", 1.0, "op-1")).code == 0
        await group.stop_all()
        group.wipe("s0")
        await group.start_all()
        began_s = asyncio.get_running_loop().time()
        leader = await group.wait_leader()
        took_ms = 1000 * (asyncio.get_running_loop().time() - began_s)
        weights = group.weights(leader.vm)
        await group.stop_all()
        assert weights == {"a": 1.0}
        assert took_ms < LONG_ELECTION_MS

    async def test_restart_waits_for_the_timeout_while_a_voter_is_silent(self, tmp_path):
        group = ReplicaGroup(folder=tmp_path, count=3, election_timeout_ms=LONG_ELECTION_MS)
        await group.start_all()
        await group.wait_leader()
        await group.stop_all()
        await group.start("s0")
        await group.start("s1")
        await asyncio.sleep(1.0)
        leader = group.leader()
        await group.stop_all()
        assert leader is None  # the third may lead with a lease that relies on these two

    async def test_restart_of_one_follower_does_not_disturb_the_leader(self, replica_group):
        leader = await replica_group.wait_leader()
        term = leader.replica.term
        follower = next(vm for vm in replica_group.nodes if vm != leader.vm)
        for _ in range(3):
            await replica_group.stop(follower)
            assert (await replica_group.start(follower)).is_ok()
            await asyncio.sleep(0.3)
        assert leader.replica.term == term
        assert leader.replica.ready()


class TestPartition:
    async def test_isolated_leader_accepts_no_edit(self, replica_group):
        old = await replica_group.wait_leader()
        await replica_group.accept("a", 1.0, "op-1")
        replica_group.isolate(old.vm)
        command = edit("a", weight=9.0, expected=1, operation_id="op-lost")
        proposing = asyncio.ensure_future(old.replica.propose(command))
        new = await replica_group.wait_leader(other_than=old.vm)
        assert (await replica_group.accept("a", 2.0, "op-2")).code == 0
        answered = await proposing
        assert answered.unwrap_err().code in (Code.EDIT_UNKNOWN, Code.NOT_LEADER)
        replica_group.heal()
        await eventually(lambda: replica_group.weights(old.vm) == {"a": 2.0}, "the old leader")
        assert replica_group.weights(new.vm) == {"a": 2.0}

    async def test_isolated_follower_does_not_disturb_the_leader_when_it_returns(
        self, replica_group
    ):
        leader = await replica_group.wait_leader()
        term = leader.replica.term
        cut = next(vm for vm in replica_group.nodes if vm != leader.vm)
        replica_group.isolate(cut)
        await asyncio.sleep(1.0)
        replica_group.heal()
        await replica_group.accept("a", 1.0, "op-1")
        await eventually(lambda: replica_group.weights(cut) == {"a": 1.0}, "the follower")
        assert leader.replica.term == term


class TestUnknownOutcome:
    async def test_edit_resent_after_its_leader_lost_the_majority_is_accepted_once(
        self, replica_group
    ):
        assert (await replica_group.accept("a", 1.0, "op-1")).code == 0
        await replica_group.wait_voters()
        old = await replica_group.wait_leader()
        lose_majority_at_next_append(replica_group, old)
        answer = await replica_group.accept("a", 2.0, "op-2")
        assert answer.code == 0
        new = await replica_group.wait_leader(other_than=old.vm)
        history = new.replica.machine.history(None)
        assert [entry.operation_id for entry in history] == ["op-1", "op-2"]
        assert history[-1].revision == answer.revision


def lose_majority_at_next_append(group: ReplicaGroup, leader: Node) -> None:
    """Isolate the leader once a follower has written an entry, so that the reply is lost."""
    for node in group.nodes.values():
        if node is leader:
            continue
        append = node.handlers.call_handler(AppendRequest())
        assert append is not None

        async def write_and_isolate(request, connection, append=append):
            written = await append(request, connection)
            if request.leader == leader.vm and request.entries:
                group.isolate(leader.vm)
                return Err(Failure(code=Code.PEER_LOST))
            return written

        node.handlers.on_call(AppendRequest, write_and_isolate)


class TestRestart:
    async def test_restart_of_all_replicas_keeps_every_edit(self, tmp_path):
        group = ReplicaGroup(folder=tmp_path, count=3, snapshot_entries=50)
        await group.start_all()
        for number in range(200):
            answer = await group.accept(f"g-{number % 7}", float(number + 1), f"op-{number}")
            assert answer.code == 0
        before = group.weights((await group.wait_leader()).vm)
        await group.stop_all()
        await group.start_all()
        leader = await group.wait_leader()
        assert group.weights(leader.vm) == before
        assert len(leader.replica.machine.history(None)) == 200
        repeated = await group.accept("g-0", 1.0, "op-0")
        assert repeated.code == Code.OPERATION_REUSED  # the row has a newer revision by now
        await group.stop_all()

    async def test_replica_with_an_incomplete_last_record_catches_up(self, replica_group):
        await replica_group.accept("a", 1.0, "op-1")
        follower = next(
            vm
            for vm, node in replica_group.nodes.items()
            if node.replica.role is not ReplicaRole.LEADER
        )
        await replica_group.stop(follower)
        path = replica_group.folder / follower / LOG_FILE
        path.write_bytes(path.read_bytes()[:-2])
        assert (await replica_group.start(follower)).is_ok()
        await eventually(lambda: replica_group.weights(follower) == {"a": 1.0}, "the follower")

    async def test_replica_with_a_damaged_record_refuses_to_start(self, replica_group):
        for number in range(5):
            await replica_group.accept("a", float(number + 1), f"op-{number}")
        follower = next(
            vm
            for vm, node in replica_group.nodes.items()
            if node.replica.role is not ReplicaRole.LEADER
        )
        await eventually(lambda: replica_group.weights(follower) == {"a": 5.0})
        await replica_group.stop(follower)
        path = replica_group.folder / follower / LOG_FILE
        data = bytearray(path.read_bytes())
        data[20] ^= 1
        path.write_bytes(data)
        started = await replica_group.start(follower)
        assert started.unwrap_err().code is Code.LOG_DAMAGED


class TestLostDisk:
    async def test_wiped_replica_catches_up_before_it_votes(self, replica_group):
        await replica_group.accept("a", 1.0, "op-1")
        wiped = next(
            vm
            for vm, node in replica_group.nodes.items()
            if node.replica.role is not ReplicaRole.LEADER
        )
        await replica_group.stop(wiped)
        replica_group.wipe(wiped)
        other = next(
            vm
            for vm, node in replica_group.nodes.items()
            if node.replica.role is not ReplicaRole.LEADER
        )
        await replica_group.stop(other)
        leader = next(iter(replica_group.nodes))
        await replica_group.stop(leader)
        await replica_group.start(wiped)
        await replica_group.start(other)
        await asyncio.sleep(1.0)
        assert replica_group.leader() is None  # the wiped replica must not count for a majority
        await replica_group.start(leader)
        await replica_group.wait_leader()
        await eventually(lambda: replica_group.nodes[wiped].replica.vote.voter, "the vote back")
        assert replica_group.weights(wiped) == {"a": 1.0}

    async def test_loss_of_each_disk_in_turn_loses_no_edit(self, replica_group):
        await replica_group.accept("a", 1.0, "op-1")
        for round_number, vm in enumerate(list(replica_group.nodes)):
            await replica_group.stop(vm)
            replica_group.wipe(vm)
            await replica_group.start(vm)
            await eventually(lambda: replica_group.nodes[vm].replica.vote.voter)  # noqa: B023
            answer = await replica_group.accept("b", float(round_number + 1), f"b-{round_number}")
            assert answer.code == 0
        leader = await replica_group.wait_leader()
        assert replica_group.weights(leader.vm) == {"a": 1.0, "b": 3.0}


class TestDiskFailure:
    async def test_failed_disk_takes_the_leader_out_and_loses_no_edit(
        self, replica_group, monkeypatch
    ):
        leader = await replica_group.wait_leader()
        await replica_group.accept("a", 1.0, "op-1")
        full_disk = leader.replica.store
        append = LogStore.append

        def append_unless_full(store, entries):
            if store is full_disk:
                return Err(Failure(code=Code.DISK_FAILED, detail="no space"))
            return append(store, entries)

        monkeypatch.setattr(LogStore, "append", append_unless_full)
        command = edit("a", weight=9.0, expected=1, operation_id="op-lost")
        answered = await leader.replica.propose(command)
        assert answered.unwrap_err().code is Code.EDIT_UNKNOWN
        assert leader.replica.failed
        await replica_group.wait_leader(other_than=leader.vm)
        assert (await replica_group.accept("a", 2.0, "op-2")).code == 0
