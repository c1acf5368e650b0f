"""Applying of committed entries: other tasks run in between, and a snapshot undoes none."""

from __future__ import annotations

import asyncio
from collections import Counter

from leadhollow.routing.model import RouteTable
from leadhollow.state.commands import ReplaceRouteTable
from leadhollow.state.log_store import LogStore
from leadhollow.state.machine import StateMachine
from leadhollow.state.replica import APPLY_SLICE_BYTES
from leadhollow.state.route_tables import replacement_command
from leadhollow.wire.generated.ttypes import SnapshotRequest
from tests.state.test_large_log import large_table
from tests.support import ReplicaGroup

TABLES = 40
FEW_TURNS = 5  # of the event loop; an election takes many


def small_table(number: int, document: bytes) -> ReplaceRouteTable:
    return replacement_command(RouteTable(number=number, routes=(), services=()), document)


class TestSlices:
    # Guards against: a replica that applies a long log and answers no heartbeat, vote or read
    async def test_other_tasks_run_between_large_entries(self, tmp_path, monkeypatch):
        turn = 0
        applied: Counter[int] = Counter()
        apply = StateMachine.apply

        def count(machine, index, command):
            applied[turn] += isinstance(command, ReplaceRouteTable)
            return apply(machine, index, command)

        async def take_turns() -> None:
            nonlocal turn
            while True:
                turn += 1
                await asyncio.sleep(0)

        group = ReplicaGroup(folder=tmp_path, count=1, snapshot_entries=256)
        await group.start_all()
        leader = await group.wait_leader()
        monkeypatch.setattr(StateMachine, "apply", count)
        turns = asyncio.ensure_future(take_turns())
        tables = [large_table(number, APPLY_SLICE_BYTES) for number in range(1, TABLES + 1)]
        done = await asyncio.gather(*map(leader.replica.propose, tables))
        turns.cancel()
        await group.stop_all()
        assert all(each.is_ok() for each in done)
        assert applied.total() == TABLES
        assert max(applied.values()) == 1


class TestSnapshots:
    # Guards against: a snapshot that undoes entries which were applied while it was written to disk
    async def test_entries_applied_during_its_write_stay(self, tmp_path, monkeypatch):
        group = ReplicaGroup(folder=tmp_path, count=1)
        await group.start_all()
        leader = await group.wait_leader()
        assert (await leader.replica.propose(small_table(1, b"first"))).is_ok()
        replica = leader.replica
        state = replica._state
        request = SnapshotRequest(
            term=replica.term,
            leader="other",
            last_index=replica.applied_index,
            last_term=replica.term,
            data=replica.machine.snapshot(),
        )
        assert (await replica.propose(small_table(2, b"second"))).is_ok()
        newest = replica.applied_index
        state.applied_index = request.last_index - 1
        save = LogStore.save_snapshot

        def apply_meanwhile(store, snapshot):
            state.applied_index = newest
            return save(store, snapshot)

        monkeypatch.setattr(LogStore, "save_snapshot", apply_meanwhile)
        assert (await replica._following._install_snapshot(request)).is_ok()
        assert replica.applied_index == newest
        assert replica.machine.route_tables.document() == b"second"
        await group.stop_all()

    # Guards against: committed entries after a snapshot that wait for the next commit
    async def test_committed_entries_after_it_are_applied_at_once(self, tmp_path):
        group = ReplicaGroup(folder=tmp_path, count=1)
        await group.start_all()
        leader = await group.wait_leader()
        replica = leader.replica
        assert (await replica.propose(small_table(1, b"first"))).is_ok()
        request = SnapshotRequest(
            term=replica.term,
            leader="other",
            last_index=replica.applied_index,
            last_term=replica.term,
            data=replica.machine.snapshot(),
        )
        assert (await replica.propose(small_table(2, b"second"))).is_ok()
        replica._state.machine = StateMachine()
        replica._state.applied_index = request.last_index - 1
        assert (await replica._following._install_snapshot(request)).is_ok()
        for _ in range(FEW_TURNS):
            await asyncio.sleep(0)
        document = replica.machine.route_tables.document()
        await group.stop_all()
        assert document == b"second"
