"""Stalls of the event loop: a leader is neither lost because of one nor kept too long."""

from __future__ import annotations

import asyncio
import time

import pytest
from result import Ok

from leadhollow.kernel import active_time
from leadhollow.state.disk_thread import DiskThread
from leadhollow.state.leadership import DISK_STALL_S
from leadhollow.state.replica import ReplicaRole
from leadhollow.state.voter_manager import VOTER_LOST_S
from leadhollow.wire.generated.ttypes import VoteReply, VoteRequest
from tests.other_loop import LOOPS, hold_up, run_on
from tests.support import ReplicaGroup, eventually

ELECTION_TIMEOUT_MS = 500
STALL_S = 1.5  # three election timeouts


async def led_group(folder) -> tuple[ReplicaGroup, object]:
    group = ReplicaGroup(folder=folder, count=3, election_timeout_ms=ELECTION_TIMEOUT_MS)
    await group.start_all()
    leader = await group.wait_leader()
    await group.wait_voters()
    return group, leader


@pytest.mark.parametrize("loop_name", LOOPS)
class TestStalledReplicas:
    # Guards against: replicas elect a new leader after a stall though theirs lives.
    def test_replicas_keep_their_leader(self, tmp_path, loop_name):
        async def work() -> None:
            group, leader = await led_group(tmp_path)
            term = leader.replica.term
            for _ in range(3):
                await hold_up(STALL_S)
                await eventually(leader.replica.ready, "the lease to be renewed")
            terms = {node.replica.term for node in group.nodes.values()}
            await group.stop_all()
            assert terms == {term}

        run_on(loop_name, work)

    # Guards against: a leader lease counts as valid for a stall in which it could not be renewed.
    def test_lease_is_invalid_right_after_a_stall(self, tmp_path, loop_name):
        async def work() -> None:
            group, leader = await led_group(tmp_path)

            def stall() -> bool:
                time.sleep(STALL_S)
                return leader.replica.ready()

            ready = stall()
            await group.stop_all()
            assert not ready

        run_on(loop_name, work)

    # Guards against: a voter counts as lost because its answers could not be read during a stall.
    def test_no_voter_counts_as_lost_after_a_stall(self, tmp_path, loop_name):
        async def work() -> None:
            group, leader = await led_group(tmp_path)
            others = [vm for vm in group.nodes if vm != leader.vm]
            time.sleep(VOTER_LOST_S + 0.2)
            silences_s = [leader.replica.leadership.silence_s(vm) for vm in others]
            await group.stop_all()
            assert max(silences_s) < VOTER_LOST_S

        run_on(loop_name, work)

    def test_another_leader_is_elected_if_theirs_is_lost(self, tmp_path, loop_name):
        async def work() -> None:
            group, leader = await led_group(tmp_path)
            await hold_up(STALL_S)
            await group.stop(leader.vm)
            other = await group.wait_leader(other_than=leader.vm)
            await group.stop_all()
            assert other.vm != leader.vm

        run_on(loop_name, work)

    # Guards against: an acknowledgement from before a stall still counts after it.
    def test_leader_steps_down_if_its_majority_is_lost(self, tmp_path, loop_name):
        async def work() -> None:
            group, leader = await led_group(tmp_path)
            for vm in [vm for vm in group.nodes if vm != leader.vm]:
                await group.stop(vm)
            await hold_up(STALL_S)
            assert not leader.replica.ready()
            await eventually(
                lambda: leader.replica.role is not ReplicaRole.LEADER, "the leader to step down"
            )
            await group.stop_all()

        run_on(loop_name, work)


class TestStalledFollower:
    # Guards against: a replica campaigns though heartbeats of its leader wait in its socket.
    async def test_follower_requests_no_vote(self, tmp_path):
        group, leader = await led_group(tmp_path)
        asked: list[str] = []
        for node in group.nodes.values():

            async def refuse(request: VoteRequest, _, node=node) -> Ok[VoteReply]:
                asked.append(request.candidate)
                return Ok(VoteReply(node.replica.term, False))

            node.handlers._calls[VoteRequest] = refuse
        for _ in range(5):
            await hold_up(STALL_S)
            await eventually(leader.replica.ready, "the lease to be renewed")
        await group.stop_all()
        assert asked == []


class TestDiskThread:
    # Guards against: a disk counts as hanging because its result could not be taken in a stall.
    async def test_stall_does_not_count_as_busy_time(self):
        disk = DiskThread()
        active_time.clock()
        work = asyncio.create_task(disk.run(lambda: time.sleep(0.01)))
        await asyncio.sleep(0)
        time.sleep(STALL_S)
        busy_s = disk.busy_s
        await work
        disk.close()
        assert busy_s < DISK_STALL_S
