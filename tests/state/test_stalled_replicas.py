"""Replicas that were held up: no lead is lost for it, and none is kept too long."""

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
HOLD_S = 1.5  # three times that


async def led_group(folder) -> tuple[ReplicaGroup, object]:
    group = ReplicaGroup(folder=folder, count=3, election_timeout_ms=ELECTION_TIMEOUT_MS)
    await group.start_all()
    leader = await group.wait_leader()
    await group.wait_voters()
    return group, leader


@pytest.mark.parametrize("loop_name", LOOPS)
class TestHeldUpReplicas:
    # Guards against: replicas of a machine that stood still elect a leader, though theirs lives.
    def test_keep_their_leader(self, tmp_path, loop_name):
        async def work() -> None:
            group, leader = await led_group(tmp_path)
            term = leader.replica.term
            for _ in range(3):
                await hold_up(HOLD_S)
                await eventually(leader.replica.ready, "the lease to be renewed")
            terms = {node.replica.term for node in group.nodes.values()}
            await group.stop_all()
            assert terms == {term}

        run_on(loop_name, work)

    # Guards against: a lead is believed in for time in which nobody could renew it.
    def test_believe_in_no_lease_right_after_it(self, tmp_path, loop_name):
        async def work() -> None:
            group, leader = await led_group(tmp_path)

            def stand_still() -> bool:
                time.sleep(HOLD_S)
                return leader.replica.ready()

            ready = stand_still()
            await group.stop_all()
            assert not ready

        run_on(loop_name, work)

    # Guards against: a voter is replaced as gone for time in which we could not hear it.
    def test_take_no_voter_for_gone(self, tmp_path, loop_name):
        async def work() -> None:
            group, leader = await led_group(tmp_path)
            others = [vm for vm in group.nodes if vm != leader.vm]
            time.sleep(VOTER_LOST_S + 0.2)
            silences_s = [leader.replica.leadership.silence_s(vm) for vm in others]
            await group.stop_all()
            assert max(silences_s) < VOTER_LOST_S

        run_on(loop_name, work)

    def test_elect_another_leader_where_theirs_is_lost(self, tmp_path, loop_name):
        async def work() -> None:
            group, leader = await led_group(tmp_path)
            await hold_up(HOLD_S)
            await group.stop(leader.vm)
            other = await group.wait_leader(other_than=leader.vm)
            await group.stop_all()
            assert other.vm != leader.vm

        run_on(loop_name, work)

    # Guards against: a vote counts although it was given before a hold.
    def test_step_down_where_their_majority_is_gone(self, tmp_path, loop_name):
        async def work() -> None:
            group, leader = await led_group(tmp_path)
            for vm in [vm for vm in group.nodes if vm != leader.vm]:
                await group.stop(vm)
            await hold_up(HOLD_S)
            assert not leader.replica.ready()
            await eventually(
                lambda: leader.replica.role is not ReplicaRole.LEADER, "the leader to step down"
            )
            await group.stop_all()

        run_on(loop_name, work)


class TestHeldUpFollower:
    # Guards against: a replica asks for votes though heartbeats of its leader lie in its socket.
    async def test_asks_for_no_vote(self, tmp_path):
        group, leader = await led_group(tmp_path)
        asked: list[str] = []
        for node in group.nodes.values():

            async def refuse(request: VoteRequest, _, node=node) -> Ok[VoteReply]:
                asked.append(request.candidate)
                return Ok(VoteReply(node.replica.term, False))

            node.handlers._calls[VoteRequest] = refuse
        for _ in range(5):
            await hold_up(HOLD_S)
            await eventually(leader.replica.ready, "the lease to be renewed")
        await group.stop_all()
        assert asked == []


class TestDiskThread:
    # Guards against: a disk counts as hanging for time in which its answer was not taken.
    async def test_is_not_busy_for_a_hold(self):
        disk = DiskThread()
        active_time.clock()
        work = asyncio.create_task(disk.run(lambda: time.sleep(0.01)))
        await asyncio.sleep(0)
        time.sleep(HOLD_S)
        busy_s = disk.busy_s
        await work
        disk.close()
        assert busy_s < DISK_STALL_S
