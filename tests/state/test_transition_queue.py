"""A step that a replica has begun ends, whoever asked for it."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.settings.model import StateSettings
from leadhollow.state.commands import encode
from leadhollow.state.following import FollowerHandlers
from leadhollow.state.leadership import Leadership
from leadhollow.state.log_store import LogStore, Vote
from leadhollow.state.replica_state import ReplicaState
from leadhollow.state.transition_queue import TransitionQueue
from leadhollow.state.voters import ChangeVoters, Voter, VoterHistory, encode_voters
from leadhollow.wire.generated.ttypes import AppendRequest, LogEntry, SnapshotRequest
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from tests.support import TOKEN

FIRST = (Voter(replica="a", address="127.0.0.1:1", failure_domain="d"),)
NEXT = (*FIRST, Voter(replica="b", address="127.0.0.1:2", failure_domain="d"))


class TestWholeSteps:
    async def test_end_though_their_caller_is_cancelled_and_cancelled_again(self):
        steps, gate, done = TransitionQueue(), asyncio.Event(), []

        async def step():
            await gate.wait()
            done.append("first")

        async def next_step():
            done.append("second")

        caller = asyncio.ensure_future(steps.run(step))
        await asyncio.sleep(0)
        for _ in range(2):
            caller.cancel()
            await asyncio.sleep(0)
        after = asyncio.ensure_future(steps.run(next_step))
        await asyncio.sleep(0)
        assert done == []
        gate.set()
        await after
        assert done == ["first", "second"]
        assert caller.cancelled()

    async def test_of_a_caller_that_left_before_never_begin(self):
        steps, gate, done = TransitionQueue(), asyncio.Event(), []

        async def step():
            done.append("left")

        running = asyncio.ensure_future(steps.run(gate.wait))
        await asyncio.sleep(0)
        waiting = asyncio.ensure_future(steps.run(step))
        await asyncio.sleep(0)
        waiting.cancel()
        gate.set()
        await running
        await steps.wait_idle()
        assert done == []

    async def test_that_fail_let_the_next_begin(self):
        steps = TransitionQueue()

        async def failing():
            raise OSError

        async def step():
            return 7

        with pytest.raises(OSError):
            await steps.run(failing)
        assert await steps.run(step) == 7

    async def test_are_waited_for_where_a_replica_stops(self):
        steps, gate = TransitionQueue(), asyncio.Event()
        caller = asyncio.ensure_future(steps.run(gate.wait))
        await asyncio.sleep(0)
        caller.cancel()
        idle = asyncio.ensure_future(steps.wait_idle())
        await asyncio.sleep(0.01)
        assert not idle.done()
        gate.set()
        await idle


@pytest.fixture
def state(tmp_path):
    store = LogStore(folder=tmp_path)
    assert store.open().is_ok()
    assert store.save_vote(Vote(term=1, voted_for="", voter=True)).is_ok()
    made = ReplicaState(
        vm="b",
        voters=VoterHistory(initial=FIRST),
        fixed_voters=False,
        timing=StateSettings(heartbeat_ms=40, election_timeout_ms=200, snapshot_entries=64),
        store=store,
        peers=PeerPool(vm="b", failure_domain="d", token=TOKEN, handlers=HandlerTable()),
    )
    yield made
    made.disk.close()
    store.close()


class TestAFollowerWhoseConnectionEnds:
    async def test_while_it_writes_entries_notes_their_voters(self, state):
        following = FollowerHandlers(state=state, leadership=Leadership(state=state))
        entry = LogEntry(1, 1, encode(ChangeVoters(voters=NEXT)))
        request = AppendRequest(1, "a", 0, 0, [entry], 0, "b")
        await _cancel_while_the_disk_writes(state, following._on_append(request, None))
        assert state.store.last_index == 1
        assert state.voters.current.voters == NEXT

    async def test_while_it_saves_a_snapshot_takes_all_of_it(self, state):
        following = FollowerHandlers(state=state, leadership=Leadership(state=state))
        data = state.machine.snapshot()
        request = SnapshotRequest(1, "a", 9, 1, data, encode_voters(NEXT), "b")
        await _cancel_while_the_disk_writes(state, following._on_snapshot(request, None))
        assert state.store.snapshot.last_index == 9
        assert (state.applied_index, state.commit_index) == (9, 9)
        assert state.voters.current.voters == NEXT


async def _cancel_while_the_disk_writes(state, handler) -> None:
    serving = asyncio.ensure_future(handler)
    while not state.disk.busy_s:
        await asyncio.sleep(0)
    serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)
    while state.disk.busy_s:
        await asyncio.sleep(0)
    await asyncio.sleep(0.01)
