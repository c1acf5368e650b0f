"""A transition that has started completes even if its caller is cancelled."""

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


class TestTransitionQueue:
    async def test_transition_completes_though_its_caller_is_cancelled_twice(self):
        queue, gate, done = TransitionQueue(), asyncio.Event(), []

        async def transition():
            await gate.wait()
            done.append("first")

        async def next_transition():
            done.append("second")

        caller = asyncio.ensure_future(queue.run(transition))
        await asyncio.sleep(0)
        for _ in range(2):
            caller.cancel()
            await asyncio.sleep(0)
        after = asyncio.ensure_future(queue.run(next_transition))
        await asyncio.sleep(0)
        assert done == []
        gate.set()
        await after
        assert done == ["first", "second"]
        assert caller.cancelled()

    async def test_transition_of_a_caller_cancelled_before_its_turn_never_starts(self):
        queue, gate, done = TransitionQueue(), asyncio.Event(), []

        async def transition():
            done.append("left")

        running = asyncio.ensure_future(queue.run(gate.wait))
        await asyncio.sleep(0)
        waiting = asyncio.ensure_future(queue.run(transition))
        await asyncio.sleep(0)
        waiting.cancel()
        gate.set()
        await running
        await queue.wait_idle()
        assert done == []

    async def test_next_transition_runs_after_one_that_failed(self):
        queue = TransitionQueue()

        async def failing():
            raise OSError

        async def transition():
            return 7

        with pytest.raises(OSError):
            await queue.run(failing)
        assert await queue.run(transition) == 7

    async def test_wait_idle_waits_for_a_running_transition(self):
        queue, gate = TransitionQueue(), asyncio.Event()
        caller = asyncio.ensure_future(queue.run(gate.wait))
        await asyncio.sleep(0)
        caller.cancel()
        idle = asyncio.ensure_future(queue.wait_idle())
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


class TestFollowerWithLostConnection:
    async def test_append_adopts_the_voter_set_of_its_entries(self, state):
        following = FollowerHandlers(state=state, leadership=Leadership(state=state))
        entry = LogEntry(1, 1, encode(ChangeVoters(voters=NEXT)))
        request = AppendRequest(1, "a", 0, 0, [entry], 0, "b")
        await _cancel_during_disk_write(state, following._on_append(request, None))
        assert state.store.last_index == 1
        assert state.voters.current.voters == NEXT

    async def test_snapshot_is_installed_completely(self, state):
        following = FollowerHandlers(state=state, leadership=Leadership(state=state))
        data = state.machine.snapshot()
        request = SnapshotRequest(1, "a", 9, 1, data, encode_voters(NEXT), "b")
        await _cancel_during_disk_write(state, following._on_snapshot(request, None))
        assert state.store.snapshot.last_index == 9
        assert (state.applied_index, state.commit_index) == (9, 9)
        assert state.voters.current.voters == NEXT


async def _cancel_during_disk_write(state, handler) -> None:
    serving = asyncio.ensure_future(handler)
    while not state.disk.busy_s:
        await asyncio.sleep(0)
    serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)
    while state.disk.busy_s:
        await asyncio.sleep(0)
    await asyncio.sleep(0.01)
