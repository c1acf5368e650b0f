"""How replicas that lose their disks catch up after many changes of a large route table.

Three replicas in this process, over loopback sockets and real files. Two of them lose their disks,
one after the other, while changes go on.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import statistics
import tempfile
import time
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from leadhollow.bench.table_costs import route, route_table
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.routing.model import Route, RouteTable
from leadhollow.settings.address import Address
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.settings.model import PeerSettings, StateSettings
from leadhollow.state.log_store import LogStore
from leadhollow.state.replica import Replica
from leadhollow.state.route_tables import held_number, replacement_command
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer

TOKEN = "bench-catch-up-token"
REPLICAS = 3
LOSSES = 2
CALM_CHANGES = 50
PATIENCE_S = 60.0
POLL_S = 0.005
SEED = 7


class CatchUpReport(msgspec.Struct, frozen=True, kw_only=True):
    """All figures.

    Parameters
    ----------
    command_bytes
        Size of one change in the log.
    data_peak_bytes
        Most that the data folder of a replica held.
    catch_up_s
        Time from the start of each replica that lost its disk until it votes again and has the
        table that was the newest at its start.
    change_calm_ms, change_catching_up_ms
        Median time of a change while all replicas are whole, and while one catches up.
    change_ratio
        The second in relation to the first.
    lost
        Acknowledged changes that a replica does not have at the end.
    """

    routes: int
    changes: int
    command_bytes: int
    data_peak_bytes: int
    catch_up_s: list[float]
    change_calm_ms: float
    change_catching_up_ms: float
    change_ratio: float
    lost: int


class _Node:
    """One replica with its listener and its folder."""

    def __init__(
        self, *, peer: PeerSettings, peers: tuple[PeerSettings, ...], folder: Path
    ) -> None:
        self.folder = folder / peer.vm
        handlers = HandlerTable()
        self.peers = PeerPool(vm=peer.vm, failure_domain="d", token=TOKEN, handlers=handlers)
        self.server = WireServer(
            address=Address.parse(peer.address).unwrap(), token=TOKEN, handlers=handlers
        )
        self.replica = Replica(
            vm=peer.vm,
            replicas=peers,
            timing=StateSettings(heartbeat_ms=100, election_timeout_ms=500, snapshot_entries=256),
            store=LogStore(folder=self.folder),
            peers=self.peers,
            seed=len(self.folder.name),
        )
        self.replica.register(handlers)

    @property
    def number(self) -> int:
        """Number of the newest table that the replica has applied."""
        return held_number(self.replica.machine.catalog)

    async def start(self) -> Result[None, Failure]:
        started = await self.server.start()
        return await self.replica.start() if started.is_ok() else started

    async def stop(self) -> None:
        await self.peers.stop()
        await self.replica.stop()
        await self.server.stop()


class _Group:
    """Three replicas, and the newest table that they acknowledged."""

    def __init__(self, *, folder: Path, routes: int) -> None:
        addresses = LoopbackAddresses()
        self._peers = tuple(
            PeerSettings(
                vm=f"r{number}",
                failure_domain=f"d{number}",
                address=addresses(f"r{number}", Listener.WIRE),
            )
            for number in range(REPLICAS)
        )
        self._folder = folder
        self._random = random.Random(SEED)
        self._routes = {number: self._make_route(number) for number in range(routes)}
        self.nodes: dict[str, _Node] = {}
        self.number = 0
        self.command_bytes = 0
        self.data_peak_bytes = 0

    async def start(self, vm: str) -> Result[None, Failure]:
        peer = next(peer for peer in self._peers if peer.vm == vm)
        self.nodes[vm] = _Node(peer=peer, peers=self._peers, folder=self._folder)
        return await self.nodes[vm].start()

    async def start_all(self) -> Result[None, Failure]:
        for peer in self._peers:
            started = await self.start(peer.vm)
            if started.is_err():
                return started
        return Ok(None)

    async def stop_all(self) -> None:
        for node in self.nodes.values():
            await node.stop()

    async def lose_disk(self, vm: str) -> None:
        node = self.nodes.pop(vm)
        await node.stop()
        shutil.rmtree(node.folder)

    async def change(self) -> float:
        """Replace the table by one with another route; return the time until it is acknowledged."""
        number = self.number + 1
        self._routes[number % len(self._routes)] = self._make_route(number)
        table: RouteTable = route_table(number, self._routes)
        command = replacement_command(table, msgspec.json.encode(table))
        self.command_bytes = len(command.table) + len(command.source)
        start_s = time.perf_counter()
        while True:
            leader = next((node for node in self.nodes.values() if node.replica.ready()), None)
            if leader is not None and (await leader.replica.propose(command)).is_ok():
                break
            await asyncio.sleep(POLL_S)
        self.number = number
        self.data_peak_bytes = max(self.data_peak_bytes, *map(self._data_bytes, self.nodes))
        return time.perf_counter() - start_s

    def _make_route(self, number: int) -> Route:
        """Make a route with names that compress as badly as those of users."""
        drawn = f"{self._random.getrandbits(96):024x}"
        return msgspec.structs.replace(
            route(number),
            name=f"r-{drawn[:8]}",
            host=f"{drawn[8:14]}.example",
            path_prefix=f"/{drawn[14:20]}/{drawn[20:]}/",
        )

    def _data_bytes(self, vm: str) -> int:
        files = [path for path in self.nodes[vm].folder.rglob("*") if path.is_file()]
        return sum(path.stat().st_size for path in files if path.exists())


async def run_catch_up(*, routes: int, changes: int) -> Result[CatchUpReport, Failure]:
    """Change a table, let two replicas lose their disks in turn, and measure.

    Errors
    ------
    CHECK_FAILED
        A replica did not catch up in time.
    """
    active_time.clock()
    with tempfile.TemporaryDirectory(prefix="catch-up-") as name:
        group = _Group(folder=Path(name), routes=routes)
        try:
            started = await group.start_all()
            if started.is_err():
                return Err(started.unwrap_err())
            async with asyncio.timeout(None) as limit:
                return Ok(await _measure(group, limit, routes=routes, changes=changes))
        except TimeoutError:
            return Err(Failure(code=Code.CHECK_FAILED, detail="a replica did not catch up in time"))
        finally:
            await group.stop_all()


async def _measure(
    group: _Group, limit: asyncio.Timeout, *, routes: int, changes: int
) -> CatchUpReport:
    for _ in range(changes):
        await group.change()
    calm_s = [await group.change() for _ in range(CALM_CHANGES)]
    behind_s: list[float] = []
    catch_up_s = []
    for vm in list(group.nodes)[:LOSSES]:
        await group.lose_disk(vm)
        await group.change()
        start_s = time.perf_counter()
        limit.reschedule(asyncio.get_running_loop().time() + PATIENCE_S)
        wanted = group.number
        await group.start(vm)
        while group.nodes[vm].number < wanted or not group.nodes[vm].replica.vote.voter:
            behind_s.append(await group.change())
        catch_up_s.append(round(time.perf_counter() - start_s, 2))
        limit.reschedule(None)
    await asyncio.sleep(1.0)  # several heartbeats, which tell followers what is committed
    calm_ms, behind_ms = (1000 * statistics.median(each) for each in (calm_s, behind_s))
    return CatchUpReport(
        routes=routes,
        changes=group.number,
        command_bytes=group.command_bytes,
        data_peak_bytes=group.data_peak_bytes,
        catch_up_s=catch_up_s,
        change_calm_ms=round(calm_ms, 1),
        change_catching_up_ms=round(behind_ms, 1),
        change_ratio=round(behind_ms / calm_ms, 2),
        lost=sum(node.number < group.number for node in group.nodes.values()),
    )


__all__ = ["CatchUpReport", "run_catch_up"]
