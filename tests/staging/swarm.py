"""Simulates the fetch of a version by many stagers, over emulated links and in virtual time.

The stagers run the real exchange code. ``python -m tests.staging.swarm --seeds 3`` prints when the
version is complete at the stagers, how many copies left the origin and how many went between
regions.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import random
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.staging.origin_source import OriginSource
from leadhollow.staging.piece_assignment import Stager
from leadhollow.staging.piece_fetch import PieceFetch
from leadhollow.staging.piece_server import PieceServer
from leadhollow.staging.piece_window import PieceWindow
from leadhollow.staging.pieces import PieceStore, StagedVersion
from leadhollow.weights.named_versions import NamedVersion, PieceManifest
from leadhollow.wire.handlers import HandlerTable
from tests.config_path.virtual_loop import VirtualLoop

PIECES = 96
PIECE_BYTES = 24_576
STAGER_BYTES_PER_S = 456_250.0
ORIGIN_BYTES_PER_S = 547_500.0
REGION_BYTES_PER_S = 1_500_000.0
ORIGIN_CONNECTIONS = 48
LATENCY_S = 0.0012
FRAME_BYTES = 60  # of a message in addition to its data
ORIGIN_TURN_BYTES = 6_144  # sent to each of the origin's connections in turn
REFUSAL_DELAY_S = 1.0  # until a refused connection to the origin fails
MAX_START_DELAY_S = 0.05


class Link:
    """One direction of a link, which sends messages one after the other."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_s = 0.0
        self.bytes_carried = 0

    def carry(self, size: int) -> float:
        """Send a message and return the time at which it has left."""
        now_s = asyncio.get_running_loop().time()
        self.free_s = max(self.free_s, now_s) + size / self.bytes_per_s
        self.bytes_carried += size
        return self.free_s


class Network:
    """All links between stagers, the origin and regions."""

    def __init__(self) -> None:
        self.up: dict[str, Link] = {}
        self.down: dict[str, Link] = {}
        self.between: dict[tuple[str, str], Link] = {}
        self.regions: dict[str, str] = {}

    def add(self, address: str, region: str, bytes_per_s: float) -> None:
        """Add both directions of the link of a VM."""
        self.up[address] = Link(bytes_per_s)
        self.down[address] = Link(bytes_per_s)
        self.regions[address] = region

    def send(self, source: str, target: str, size: int, arrived: Callable[[], None]) -> None:
        """Send a message over the links of its path, one after the other."""
        links = [self.up[source]]
        region_pair = self.regions[source], self.regions[target]
        if region_pair[0] != region_pair[1]:
            links.append(self.between.setdefault(region_pair, Link(REGION_BYTES_PER_S)))
        links.append(self.down[target])
        self._forward(links, size + FRAME_BYTES, arrived)

    def _forward(self, links: list[Link], size: int, arrived: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        if not links:
            loop.call_later(LATENCY_S, arrived)
            return
        loop.call_at(links[0].carry(size), self._forward, links[1:], size, arrived)

    def bytes_between(self) -> int:
        """Return the bytes sent between regions."""
        return sum(link.bytes_carried for link in self.between.values())


class EmulatedStream:
    """Caller's end of a streamed response."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[Result[object, Failure]] = asyncio.Queue()

    async def next(self, *, timeout_ms: float | None = None) -> Result[object, Failure]:
        return await self.queue.get()


class EmulatedSink:
    """Server's end of a streamed response."""

    def __init__(self, connection: EmulatedConnection, stream: EmulatedStream) -> None:
        self.connection = connection
        self._stream = stream

    async def send(self, body: object) -> None:
        size = len(getattr(body, "held", b"") or b"") + 2 * len(getattr(body, "added", ()) or ())
        self.connection.reply(size, lambda: self._stream.queue.put_nowait(Ok(body)))


class EmulatedConnection:
    """A connection from one stager to another."""

    def __init__(self, swarm: Swarm, source: str, target: Node) -> None:
        self._swarm = swarm
        self._network = swarm.network
        self._source = source
        self._target = target
        self._tasks: set[asyncio.Task[None]] = set()
        self.closed = asyncio.Event()
        self.backlog_bytes = 0

    def reply(self, size: int, arrived: Callable[[], None]) -> None:
        """Send a message back to the caller."""
        self._network.send(self._target.stager.address, self._source, size, arrived)

    async def call(self, body: object, *, timeout_ms: float) -> Result[object, Failure]:
        loop = asyncio.get_running_loop()
        response: asyncio.Future[Result[object, Failure]] = loop.create_future()

        def resolve(result: Result[object, Failure]) -> None:
            if not response.done():
                response.set_result(result)

        async def serve() -> None:
            handler = self._target.handlers.call_handler(body)
            result = await handler(body, self)
            data = b"" if result.is_err() else result.unwrap().data
            self.backlog_bytes += len(data)

            def arrived() -> None:
                self.backlog_bytes -= len(data)
                resolve(result)

            self.reply(len(data), arrived)

        target = self._target.stager.address
        self._network.send(self._source, target, 40, lambda: self._spawn(serve()))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await response
        except TimeoutError:
            return Err(Failure(code=Code.PEER_TIMEOUT))

    def stream(self, body: object) -> EmulatedStream:
        stream = EmulatedStream()
        self._swarm.follow_streams += 1

        async def serve() -> None:
            handler = self._target.handlers.stream_handler(body)
            await handler(body, EmulatedSink(self, stream))
            self.reply(0, lambda: stream.queue.put_nowait(Ok(None)))

        target = self._target.stager.address
        self._network.send(self._source, target, 40, lambda: self._spawn(serve()))
        return stream

    def _spawn(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class EmulatedPeers:
    """Connections of one stager."""

    def __init__(self, swarm: Swarm, own: str) -> None:
        self._swarm = swarm
        self._own = own
        self._connections: dict[str, EmulatedConnection] = {}

    async def connection(self, address: str) -> Result[EmulatedConnection, Failure]:
        if address not in self._connections:
            await asyncio.sleep(2 * LATENCY_S)
            node = self._swarm.nodes[address]
            self._connections[address] = EmulatedConnection(self._swarm, self._own, node)
        return Ok(self._connections[address])


class EmulatedOrigin:
    """An origin with a slow link and few connections."""

    ADDRESS = "origin"

    def __init__(self, network: Network, pieces: list[bytes], region: str) -> None:
        network.add(self.ADDRESS, region, ORIGIN_BYTES_PER_S)
        self._network = network
        self._pieces = pieces
        self.connections = 0
        self.max_connections = 0
        self.asked: list[int] = []
        self.refused = 0
        self.away = False

    @property
    def sent(self) -> int:
        """Number of pieces sent."""
        return len(self.asked)

    async def read(self, reader: str, index: int) -> bytes | None:
        """Send a piece in parts; None if all connections are taken."""
        if self.away:
            await asyncio.sleep(2 * LATENCY_S)
            return None
        if self.connections >= ORIGIN_CONNECTIONS:
            self.refused += 1
            await asyncio.sleep(REFUSAL_DELAY_S)
            return None
        self.connections += 1
        self.max_connections = max(self.max_connections, self.connections)
        try:
            await asyncio.sleep(4 * LATENCY_S)
            for _ in range(PIECE_BYTES // ORIGIN_TURN_BYTES):
                received = asyncio.Event()
                self._network.send(self.ADDRESS, reader, ORIGIN_TURN_BYTES, received.set)
                await received.wait()
                if self.away:
                    return None
        finally:
            self.connections -= 1
        self.asked.append(index)
        return self._pieces[index]


class EmulatedOriginSource(OriginSource):
    """A stager's client of the emulated origin."""

    __slots__ = ("_origin", "_reader")

    def __init__(self, origin: EmulatedOrigin, reader: str) -> None:
        self._origin = origin
        self._reader = reader
        self.bytes_read = 0

    async def piece(self, model: str, number: int, index: int) -> bytes | None:
        data = await self._origin.read(self._reader, index)
        self.bytes_read += len(data or b"")
        return data


class Node:
    """One stager.

    Parameters
    ----------
    squeezed
        Whether its link is narrowed to a tenth during the first seconds.
    """

    def __init__(self, swarm: Swarm, stager: Stager, *, squeezed: bool, seed: int) -> None:
        self.stager = stager
        self.squeezed = squeezed
        self.handlers = HandlerTable()
        self.store = PieceStore()
        self.complete_s: float | None = None
        self._swarm = swarm
        link_share = self._link_share
        self.pieces = PieceServer(
            store=self.store,
            handlers=self.handlers,
            link_bytes_per_s=lambda: STAGER_BYTES_PER_S * link_share(),
            failure_domain=stager.failure_domain,
            urgent=lambda: swarm.urgent,
        )
        window = PieceWindow(link_share=link_share)
        window.urgent = swarm.urgent
        staged = self.store.find_or_create(swarm.version)
        assert staged is not None
        self.staged: StagedVersion = staged
        self.fetch = PieceFetch(
            version=staged,
            own=stager,
            others=lambda: [other for other in swarm.stagers if other != stager],
            origin=EmulatedOriginSource(swarm.origin, stager.address),
            peers=EmulatedPeers(swarm, stager.address),  # type: ignore[arg-type]
            link_bytes_per_s=lambda: STAGER_BYTES_PER_S * link_share(),
            origin_bytes_per_s=lambda: swarm.origin_bytes_per_s,
            window=window,
            seed=seed,
            serves=lambda: swarm.serving,
        )

    def _link_share(self) -> float:
        """Return the share that a link monitor would determine."""
        if not self.squeezed or self._swarm.links_restored:
            return 1.0
        return 0.1

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        await self.fetch.run()
        self.complete_s = loop.time()


class Swarm:
    """A fleet that fetches one version.

    Parameters
    ----------
    holders
        Number of stagers that hold all pieces from the start.
    away_s
        When the origin stops answering and when it answers again, after the start.
    urgent
        Whether pieces go before requests.
    serving
        Whether requests go to the engines of the others meanwhile.
    """

    def __init__(
        self,
        *,
        seed: int,
        domains: int = 3,
        per_domain: int = 14,
        squeezed: int = 0,
        pieces: int = PIECES,
        origin_says_speed: bool = True,
        holders: int = 0,
        away_s: tuple[float, float] | None = None,
        urgent: bool = False,
        serving: bool = True,
    ) -> None:
        self.serving = serving
        self.urgent = urgent
        self._away_s = away_s
        rng = random.Random(seed)
        data = [rng.randbytes(PIECE_BYTES) for _ in range(pieces)]
        self.origin_bytes_per_s = ORIGIN_BYTES_PER_S if origin_says_speed else 0.0
        self.follow_streams = 0  # number of streams over which stagers follow each other
        digests = b"".join(hashlib.sha256(piece).digest() for piece in data)
        manifest = PieceManifest(
            algorithm="sha256", chunk_bytes=PIECE_BYTES, layers=16, digests=digests
        )
        self.version = NamedVersion(model="m", number=seed + 2, named=True, manifest=manifest)
        self.network = Network()
        self.origin = EmulatedOrigin(self.network, data, "d1")
        self.links_restored = False
        self.stagers = [
            Stager(
                address=f"10.0.{position % domains}.{position}:7000",
                failure_domain=f"d{position % domains}",
            )
            for position in range(domains * per_domain)
        ]
        slow_positions = set(rng.sample(range(len(self.stagers)), squeezed))
        self.nodes: dict[str, Node] = {}
        for position, stager in enumerate(self.stagers):
            speed = STAGER_BYTES_PER_S * (0.09 if position in slow_positions else 1.0)
            self.network.add(stager.address, stager.failure_domain, speed)
            self.nodes[stager.address] = Node(
                self, stager, squeezed=position in slow_positions, seed=position
            )
            if position < holders:
                for index, piece in enumerate(data):
                    self.nodes[stager.address].staged.add(index, piece)
        self._rng = rng

    async def run(self, until_s: float, *, restore_s: float = 5.0) -> None:
        """Let all stagers fetch until ``until_s``; narrowed links are restored at ``restore_s``."""
        loop = asyncio.get_running_loop()
        loop.call_later(restore_s, self._restore_links)
        for at_s, away in zip(self._away_s or (), (True, False), strict=False):
            loop.call_later(at_s, setattr, self.origin, "away", away)
        self.began_s = loop.time()
        tasks = []
        for node in self.nodes.values():
            await node.pieces.start()
        for node in self.nodes.values():
            tasks.append(loop.create_task(self._start(node)))
        await asyncio.wait(tasks, timeout=until_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in self.nodes.values():
            await node.pieces.stop()
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    async def _start(self, node: Node) -> None:
        await asyncio.sleep(self._rng.uniform(0, MAX_START_DELAY_S))
        await node.run()

    def _restore_links(self) -> None:
        self.links_restored = True
        for node in self.nodes.values():
            for links in (self.network.up, self.network.down):
                links[node.stager.address].bytes_per_s = STAGER_BYTES_PER_S

    def complete_s(self) -> list[float]:
        """Return how long each stager needed to complete the version, sorted."""
        times = [node.complete_s for node in self.nodes.values()]
        return sorted(float("inf") if moment is None else moment - self.began_s for moment in times)


def play(*, until_s: float = 25.0, **options: Any) -> Swarm:
    """Run one swarm in virtual time."""
    loop = VirtualLoop()
    try:

        async def run() -> Swarm:
            swarm = Swarm(**options)
            await swarm.run(until_s)
            return swarm

        return loop.run_until_complete(run())
    finally:
        loop.close()


def figures(swarm: Swarm) -> dict[str, object]:
    """Return the figures of a run."""
    times = swarm.complete_s()
    version_bytes = PIECES * PIECE_BYTES
    return {
        "first_s": round(times[0], 2),
        "half_s": round(times[len(times) // 2], 2),
        "nine_tenths_s": round(times[len(times) * 9 // 10], 2),
        "last_s": round(times[-1], 2),
        "origin_copies": round(swarm.origin.sent / PIECES, 2),
        "origin_connections": swarm.origin.max_connections,
        "refused": swarm.origin.refused,
        "between_regions_copies": round(swarm.network.bytes_between() / version_bytes, 2),
    }


def main() -> None:
    """Print one line for each run."""
    parser = argparse.ArgumentParser(description="Play swarms in virtual time.")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--squeezed", type=int, default=0)
    parser.add_argument("--per-domain", type=int, default=14)
    asked = parser.parse_args()
    for seed in range(asked.seeds):
        swarm = play(seed=seed, squeezed=asked.squeezed, per_domain=asked.per_domain)
        print(json.dumps({"seed": seed, **figures(swarm)}))


if __name__ == "__main__":
    main()
