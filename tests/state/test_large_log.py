"""Logs of large route tables: catch-up after lost disks, slow followers, bytes on disk."""

from __future__ import annotations

import asyncio
import random

from leadhollow.codes import Code
from leadhollow.routing.model import RouteTable
from leadhollow.state.commands import ReplaceRouteTable
from leadhollow.state.replica import LOG_BYTES
from leadhollow.state.request_parts import PART_BYTES, PartedRequest
from leadhollow.state.route_tables import replacement_command
from leadhollow.wire.generated.ttypes import AppendRequest, RequestPart, SnapshotRequest
from tests.support import ReplicaGroup, eventually

TABLE_BYTES = 1024 * 1024
TABLES = 24  # more than one frame holds


def large_table(number: int, size_bytes: int) -> ReplaceRouteTable:
    """Return a command whose document cannot be compressed."""
    document = random.Random(number).randbytes(size_bytes)
    return replacement_command(RouteTable(number=number, routes=(), services=()), document)


async def replace_table(group: ReplicaGroup, number: int, size_bytes: int = TABLE_BYTES) -> None:
    """Propose a route table until it is applied; an election may intervene on a busy machine."""
    command = large_table(number, size_bytes)
    while True:
        leader = await group.wait_leader()
        try:
            async with asyncio.timeout(5.0):
                if (await leader.replica.propose(command)).is_ok():
                    return
        except TimeoutError:
            continue


async def wait_document(group: ReplicaGroup, vm: str, number: int, size_bytes: int) -> None:
    """Wait until a replica has applied the table with a number."""
    wanted = random.Random(number).randbytes(size_bytes)

    def applied() -> bool:
        return group.nodes[vm].replica.machine.route_tables.document() == wanted

    await eventually(applied, f"table {number} at {vm}")


class TestLostDisk:
    # Guards against a replica that never catches up because what it lacks exceeds a frame.
    async def test_two_disks_lost_after_many_large_tables_lose_no_table(self, tmp_path):
        group = ReplicaGroup(folder=tmp_path, count=3, snapshot_entries=256)
        await group.start_all()
        await group.wait_voters()
        for number in range(1, TABLES + 1):
            await replace_table(group, number)
        for number, vm in enumerate(("s0", "s1"), start=TABLES + 1):
            await group.stop(vm)
            group.wipe(vm)
            await group.start(vm)
            await group.wait_voters()
            await replace_table(group, number)
            await wait_document(group, vm, number, TABLE_BYTES)
        await group.stop_all()

    # Guards against a snapshot that exceeds a frame.
    async def test_replica_receives_a_snapshot_larger_than_a_frame(self, tmp_path, monkeypatch):
        monkeypatch.setattr("leadhollow.wire.connection.MAX_FRAME_BYTES", 2 * PART_BYTES)
        group = ReplicaGroup(folder=tmp_path, count=3, snapshot_entries=2)
        await group.start_all()
        await group.wait_voters()
        for number in range(1, 5):
            await replace_table(group, number, size_bytes=4 * PART_BYTES)
        await group.stop("s0")
        group.wipe("s0")
        await group.start("s0")
        await group.wait_voters()
        await wait_document(group, "s0", 4, 4 * PART_BYTES)
        await group.stop_all()


class TestAbandonedTransfer:
    # Guards against memory that a follower keeps for a request whose leader went on without it.
    async def test_is_dropped_at_the_next_whole_request(self, replica_group):
        leader = await replica_group.wait_leader()
        follower = next(node for node in replica_group.nodes.values() if node is not leader)
        parts = follower.replica._following._parts
        request = SnapshotRequest(leader.replica.term, leader.vm, 10**9, 1, bytes(3 * PART_BYTES))
        part = PartedRequest(request=request, transfer=10**9, replica=follower.vm).next_part()
        assert parts.add(part).unwrap() is None
        assert parts.received_bytes == PART_BYTES
        await eventually(lambda: parts.received_bytes == 0, "the part to be dropped")


class TestDisk:
    # Guards against a log whose size grows with the number of changes times the size of a table.
    async def test_log_of_large_tables_stays_bounded(self, tmp_path):
        group = ReplicaGroup(folder=tmp_path, count=1, snapshot_entries=256)
        await group.start_all()
        for number in range(1, TABLES + 1):
            await replace_table(group, number)
        store = group.nodes["s0"].replica.store
        assert store.bytes_through(store.last_index) < LOG_BYTES + 2 * TABLE_BYTES
        held = sum(path.stat().st_size for path in tmp_path.rglob("*") if path.is_file())
        assert held < 2 * LOG_BYTES + 4 * TABLE_BYTES
        await group.stop_all()


class TestSlowFollower:
    # Guards against a request that is written once more for each timeout of a silent follower.
    async def test_gets_one_request_while_it_does_not_answer(self, tmp_path):
        group = ReplicaGroup(folder=tmp_path, count=3)
        await group.start_all()
        await group.wait_voters()
        leader = await group.wait_leader()
        slow = next(node for node in group.nodes.values() if node is not leader)
        received = []
        goes_on = asyncio.Event()

        async def hold(request, connection):
            received.append(request)
            await goes_on.wait()
            return await slow.replica._following._on_append(request, connection)

        slow.handlers.on_call(AppendRequest, hold)
        slow.handlers.on_call(RequestPart, hold)
        await eventually(lambda: received, "a request at the slow follower")
        for number in range(1, 4):
            await replace_table(group, number, size_bytes=PART_BYTES // 2)
        await asyncio.sleep(2.5)
        unanswered = len(received)
        slow.replica._following.register(slow.handlers)
        goes_on.set()
        await wait_document(group, slow.vm, 3, PART_BYTES // 2)
        await group.stop_all()
        assert unanswered == 1


class TestTooLargeCommand:
    # Guards against a command that is accepted though no follower can receive it.
    async def test_is_refused_and_changes_nothing(self, tmp_path):
        group = ReplicaGroup(folder=tmp_path, count=1)
        await group.start_all()
        leader = await group.wait_leader()
        last_index = leader.replica.last_index
        refused = await leader.replica.propose(large_table(1, 5 * 1024 * 1024))
        assert refused.unwrap_err().code is Code.COMMAND_TOO_LARGE
        assert "4194304" in refused.unwrap_err().detail
        assert leader.replica.last_index == last_index
        await group.stop_all()
