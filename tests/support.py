"""Helpers of the tests: polling, free ports, and groups of state replicas on loopback."""

from __future__ import annotations

import asyncio
import gc
import hashlib
import random
import shutil
import socket
import threading
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from result import Err

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import LATE_TIMER_S
from leadhollow.settings.address import Address
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.settings.model import PeerSettings, StateSettings
from leadhollow.state.commands import Answer, EditRows, RowEdit
from leadhollow.state.log_store import LogStore
from leadhollow.state.records import Row
from leadhollow.state.replica import Replica, ReplicaRole
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer

TOKEN = "token-of-the-tests"
PATIENCE_S = 30.0
POLL_S = 0.005
_ports = random.Random()


async def eventually(check: Callable[[], object], what: str = "condition") -> object:
    """Poll until a check returns a true value, and return that value."""
    deadline_s = time.monotonic() + PATIENCE_S
    while time.monotonic() < deadline_s:
        found = check()
        if isinstance(found, Awaitable):
            found = await found
        if found:
            return found
        await asyncio.sleep(0.01)
    message = f"{what} did not come true"
    raise AssertionError(message)


async def sleep_without_hold(delay_s: float) -> None:
    """Sleep until the event loop has run for a time without being held up.

    After a hold, timers wait until pending input was read. So what takes some time in processes
    that run takes longer when the loop that they share is held up, and nobody can tell how long.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while (now_s := loop.time()) - began_s < delay_s:
        await asyncio.sleep(POLL_S)
        if loop.time() - now_s - POLL_S > LATE_TIMER_S:
            began_s = loop.time()


@contextmanager
def collections_paused() -> Iterator[None]:
    """Let no collection of garbage free what is no longer needed."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class BlockingWork:
    """Simulates work that blocks its thread until the event loop has run.

    Attributes
    ----------
    held_up_loop
        Whether the loop did not run in time, since the work blocked the thread of the loop.
    """

    def __init__(self) -> None:
        self._loop_ran = threading.Event()
        self.held_up_loop = False
        asyncio.get_running_loop().call_later(0.05, self._loop_ran.set)

    def __call__(self) -> None:
        self.held_up_loop = not self._loop_ran.wait(2.0)


def free_ports(hosts: Sequence[str], *, count: int = 2) -> int:
    """Return the first of consecutive ports that are free on all hosts.

    The range lies below the ports that the system gives to outgoing connections.
    """
    while True:
        first = _ports.randrange(20_000, 30_000)
        try:
            for host in hosts:
                for port in range(first, first + count):
                    with socket.socket() as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return first


def row(group: str, *, weight: float = 1.0, **fields: object) -> Row:
    """Create a row with an API key of its own, derived from the group."""
    digest = hashlib.sha256(group.encode()).hexdigest()
    return Row(group=group, weight=weight, key_sha256s=(digest,), **fields)


def edit(group: str, *, weight: float, expected: int, operation_id: str) -> EditRows:
    """Create an edit of one row."""
    row_edit = RowEdit(group=group, expected_revision=expected, row=row(group, weight=weight))
    return EditRows(operation_id=operation_id, operator="test", edits=(row_edit,))


class Node:
    """One state replica with its connections."""

    def __init__(self, group: ReplicaGroup, peer: PeerSettings) -> None:
        self.vm = peer.vm
        self.address = peer.address
        self.folder = group.folder / peer.vm
        self.handlers = HandlerTable()
        self.peers = PeerPool(
            vm=peer.vm, failure_domain=peer.failure_domain, token=TOKEN, handlers=self.handlers
        )
        address = Address.parse(peer.address).unwrap()
        self.server = WireServer(address=address, token=TOKEN, handlers=self.handlers)
        self.replica = Replica(
            vm=peer.vm,
            replicas=group.peers,
            timing=group.timing,
            store=LogStore(folder=self.folder),
            peers=self.peers,
            seed=len(peer.vm) + int(peer.vm[-1]),
        )
        self.replica.register(self.handlers)

    async def start(self):
        """Start the server and the replica; returns the result of the replica."""
        assert (await self.server.start()).is_ok()
        return await self.replica.start()

    async def stop(self) -> None:
        """Stop the connections, the replica and the server."""
        await self.peers.stop()
        await self.replica.stop()
        await self.server.stop()


class ReplicaGroup:
    """Group of state replicas that can be stopped, wiped and isolated."""

    def __init__(
        self,
        *,
        folder: Path,
        count: int,
        snapshot_entries: int = 64,
        election_timeout_ms: int = 200,
    ) -> None:
        self.folder = folder
        self.timing = StateSettings(
            heartbeat_ms=40,
            election_timeout_ms=election_timeout_ms,
            snapshot_entries=snapshot_entries,
        )
        addresses = LoopbackAddresses()
        self.peers = tuple(
            PeerSettings(
                vm=f"s{number}",
                failure_domain=f"d{number}",
                address=addresses(f"s{number}", Listener.WIRE),
            )
            for number in range(count)
        )
        self.nodes: dict[str, Node] = {}

    async def start_all(self) -> None:
        """Start every replica."""
        for peer in self.peers:
            await self.start(peer.vm)

    async def start(self, vm: str):
        """Start or restart one replica."""
        peer = next(peer for peer in self.peers if peer.vm == vm)
        self.nodes[vm] = Node(self, peer)
        return await self.nodes[vm].start()

    async def stop(self, vm: str) -> None:
        """Stop one replica."""
        await self.nodes.pop(vm).stop()

    async def stop_all(self) -> None:
        """Stop every replica."""
        for vm in list(self.nodes):
            await self.stop(vm)

    def wipe(self, vm: str) -> None:
        """Delete the data of a stopped replica."""
        shutil.rmtree(self.folder / vm)

    def isolate(self, vm: str) -> None:
        """Cut the connections between one replica and the others in both directions."""
        everyone = {peer.address for peer in self.peers}
        for name, node in self.nodes.items():
            own = {node.address}
            node.peers.cut(everyone - own if name == vm else {self.nodes[vm].address})

    def heal(self) -> None:
        """Restore all connections."""
        for node in self.nodes.values():
            node.peers.cut(set())

    def leader(self) -> Node | None:
        """Return the ready leader with the highest term, None without one."""
        ready = [node for node in self.nodes.values() if node.replica.ready()]
        return max(ready, key=lambda node: node.replica.term, default=None)

    async def wait_leader(self, *, other_than: str = "") -> Node:
        """Wait for a ready leader, optionally other than a given VM."""

        def found() -> Node | None:
            leader = self.leader()
            return leader if leader is not None and leader.vm != other_than else None

        return await eventually(found, "a leader")

    async def wait_voters(self) -> None:
        """Wait until every replica votes; one that has no data yet is as good as lost."""

        def found() -> bool:
            return all(node.replica.vote.voter for node in self.nodes.values())

        await eventually(found, "a vote of each replica")

    async def accept(self, group: str, weight: float, operation_id: str) -> Answer:
        """Propose an edit until it is applied, and return its answer."""
        leader = await self.wait_leader()
        item = leader.replica.machine.catalog.item(f"row/{group}")
        revision = 0 if item is None else item.revision
        command = edit(group, weight=weight, expected=revision, operation_id=operation_id)
        while True:
            try:
                async with asyncio.timeout(2.0):
                    applied = await leader.replica.propose(command)
            except TimeoutError:
                applied = Err(Failure(code=Code.EDIT_UNKNOWN))
            if applied.is_ok():
                return applied.unwrap().answer
            leader = await self.wait_leader()

    def weights(self, vm: str) -> dict[str, float]:
        """Return the weights by group in the table of a replica."""
        rows = self.nodes[vm].replica.machine.catalog.rows()
        return {stored.row.group: stored.row.weight for stored in rows}

    def roles(self) -> list[ReplicaRole]:
        """Return the roles of all replicas."""
        return [node.replica.role for node in self.nodes.values()]
