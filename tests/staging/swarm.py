"""Stagers that bring a version in, in virtual time: the product's exchange over emulated links.

``python -m tests.staging.swarm --seeds 3`` prints when the version is whole at how many stagers,
how often it left the origin and how much went between regions.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import random
from collections.abc import Callable

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
WAY_S = 0.0012
FRAME_BYTES = 60  # of a message besides its data
ORIGIN_PART_BYTES = 6_144  # the origin's link serves its connections in turn, by as much
REFUSED_S = 1.0  # until a connection that the origin does not take is given up
LATEST_START_S = 0.05


class Link:
    """A direction of a link: what is sent leaves one after the other."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_s = 0.0
        self.bytes_carried = 0

    def carry(self, size: int) -> float:
        """Give the time at which a message has left."""
        now_s = asyncio.get_running_loop().time()
        self.free_s = max(self.free_s, now_s) + size / self.bytes_per_s
        self.bytes_carried += size
        return self.free_s


class Net:
    """All links."""

    def __init__(self) -> None:
        self.up: dict[str, Link] = {}
        self.down: dict[str, Link] = {}
        self.between: dict[tuple[str, str], Link] = {}
        self.regions: dict[str, str] = {}

    def add(self, address: str, region: str, bytes_per_s: float) -> None:
        """Add the link of a machine."""
        self.up[address] = Link(bytes_per_s)
        self.down[address] = Link(bytes_per_s)
        self.regions[address] = region

    def send(self, source: str, target: str, size: int, arrived: Callable[[], None]) -> None:
        """Carry a message over the links on its way, one after the other."""
        links = [self.up[source]]
        ends = self.regions[source], self.regions[target]
        if ends[0] != ends[1]:
            links.append(self.between.setdefault(ends, Link(REGION_BYTES_PER_S)))
        links.append(self.down[target])
        self._pass(links, size + FRAME_BYTES, arrived)

    def _pass(self, links: list[Link], size: int, arrived: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        if not links:
            loop.call_later(WAY_S, arrived)
            return
        loop.call_at(links[0].carry(size), self._pass, links[1:], size, arrived)

    def bytes_between(self) -> int:
        """Give what went between regions."""
        return sum(link.bytes_carried for link in self.between.values())


class EmulatedStream:
    """Caller's end of a streamed answer."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[Result[object, Failure]] = asyncio.Queue()

    async def next(self, *, timeout_ms: float | None = None) -> Result[object, Failure]:
        return await self.queue.get()


class EmulatedSink:
    """Server's end of one."""

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
        self._net = swarm.net
        self._source = source
        self._target = target
        self._tasks: set[asyncio.Task[None]] = set()
        self.closed = asyncio.Event()
        self.backlog_bytes = 0

    def reply(self, size: int, arrived: Callable[[], None]) -> None:
        """Send something back."""
        self._net.send(self._target.stager.address, self._source, size, arrived)

    async def call(self, body: object, *, timeout_ms: float) -> Result[object, Failure]:
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[Result[object, Failure]] = loop.create_future()

        def settle(result: Result[object, Failure]) -> None:
            if not answer.done():
                answer.set_result(result)

        async def serve() -> None:
            handler = self._target.handlers.call_handler(body)
            result = await handler(body, self)
            data = b"" if result.is_err() else result.unwrap().data
            self.backlog_bytes += len(data)

            def arrived() -> None:
                self.backlog_bytes -= len(data)
                settle(result)

            self.reply(len(data), arrived)

        target = self._target.stager.address
        self._net.send(self._source, target, 40, lambda: self._spawn(serve()))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await answer
        except TimeoutError:
            return Err(Failure(code=Code.PEER_TIMEOUT))

    def stream(self, body: object) -> EmulatedStream:
        stream = EmulatedStream()
        self._swarm.watched += 1

        async def serve() -> None:
            handler = self._target.handlers.stream_handler(body)
            await handler(body, EmulatedSink(self, stream))
            stream.queue.put_nowait(Ok(None))

        target = self._target.stager.address
        self._net.send(self._source, target, 40, lambda: self._spawn(serve()))
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
            await asyncio.sleep(2 * WAY_S)
            node = self._swarm.nodes[address]
            self._connections[address] = EmulatedConnection(self._swarm, self._own, node)
        return Ok(self._connections[address])


class EmulatedOrigin:
    """An origin with a narrow link and few connections."""

    ADDRESS = "origin"

    def __init__(self, net: Net, pieces: list[bytes], region: str) -> None:
        net.add(self.ADDRESS, region, ORIGIN_BYTES_PER_S)
        self._net = net
        self._pieces = pieces
        self.connections = 0
        self.most_connections = 0
        self.asked: list[int] = []
        self.refused = 0

    @property
    def sent(self) -> int:
        """Pieces that were sent."""
        return len(self.asked)

    async def read(self, reader: str, index: int) -> bytes | None:
        """Send a piece, a part after the other."""
        if self.connections >= ORIGIN_CONNECTIONS:
            self.refused += 1
            await asyncio.sleep(REFUSED_S)
            return None
        self.connections += 1
        self.most_connections = max(self.most_connections, self.connections)
        try:
            await asyncio.sleep(4 * WAY_S)
            for _ in range(PIECE_BYTES // ORIGIN_PART_BYTES):
                came = asyncio.Event()
                self._net.send(self.ADDRESS, reader, ORIGIN_PART_BYTES, came.set)
                await came.wait()
        finally:
            self.connections -= 1
        self.asked.append(index)
        return self._pieces[index]


class ReadsOrigin(OriginSource):
    """What a stager has of the origin."""

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
        Whether its link is narrowed to a tenth while the first seconds pass.
    """

    def __init__(self, swarm: Swarm, stager: Stager, *, squeezed: bool, seed: int) -> None:
        self.stager = stager
        self.squeezed = squeezed
        self.handlers = HandlerTable()
        self.store = PieceStore()
        self.complete_s: float | None = None
        self._swarm = swarm
        share = self._share
        self.pieces = PieceServer(
            store=self.store,
            handlers=self.handlers,
            link_bytes_per_s=lambda: STAGER_BYTES_PER_S * share(),
            failure_domain=stager.failure_domain,
        )
        opened = self.store.find_or_create(swarm.version)
        assert opened is not None
        self.staged: StagedVersion = opened
        self.fetch = PieceFetch(
            version=opened,
            own=stager,
            others=lambda: [one for one in swarm.stagers if one != stager],
            origin=ReadsOrigin(swarm.origin, stager.address),
            peers=EmulatedPeers(swarm, stager.address),  # type: ignore[arg-type]
            link_bytes_per_s=lambda: STAGER_BYTES_PER_S * share(),
            origin_bytes_per_s=lambda: swarm.origin_bytes_per_s,
            window=PieceWindow(link_share=share),
            seed=seed,
        )

    def _share(self) -> float:
        """Give what the gauge of its link would say."""
        if not self.squeezed or self._swarm.relieved:
            return 1.0
        return 0.1

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        await self.fetch.run()
        self.complete_s = loop.time()


class Swarm:
    """A fleet that fetches one version."""

    def __init__(
        self,
        *,
        seed: int,
        domains: int = 3,
        per_domain: int = 14,
        squeezed: int = 0,
        pieces: int = PIECES,
        origin_says_speed: bool = True,
    ) -> None:
        source = random.Random(seed)
        data = [source.randbytes(PIECE_BYTES) for _ in range(pieces)]
        self.origin_bytes_per_s = ORIGIN_BYTES_PER_S if origin_says_speed else 0.0
        self.watched = 0  # streams by which stagers follow each other
        digests = b"".join(hashlib.sha256(piece).digest() for piece in data)
        manifest = PieceManifest(
            algorithm="sha256", chunk_bytes=PIECE_BYTES, layers=16, digests=digests
        )
        self.version = NamedVersion(model="m", number=seed + 2, named=True, manifest=manifest)
        self.net = Net()
        self.origin = EmulatedOrigin(self.net, data, "d1")
        self.relieved = False
        self.stagers = [
            Stager(
                address=f"10.0.{place % domains}.{place}:7000", failure_domain=f"d{place % domains}"
            )
            for place in range(domains * per_domain)
        ]
        slow = set(source.sample(range(len(self.stagers)), squeezed))
        self.nodes: dict[str, Node] = {}
        for place, stager in enumerate(self.stagers):
            speed = STAGER_BYTES_PER_S * (0.09 if place in slow else 1.0)
            self.net.add(stager.address, stager.failure_domain, speed)
            self.nodes[stager.address] = Node(self, stager, squeezed=place in slow, seed=place)
        self._source = source

    async def run(self, until_s: float, *, relieve_s: float = 5.0) -> None:
        """Let all fetch for a time; narrowed links are as they were after another one."""
        loop = asyncio.get_running_loop()
        loop.call_later(relieve_s, self._relieve)
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
        await asyncio.sleep(self._source.uniform(0, LATEST_START_S))
        await node.run()

    def _relieve(self) -> None:
        self.relieved = True
        for node in self.nodes.values():
            for links in (self.net.up, self.net.down):
                links[node.stager.address].bytes_per_s = STAGER_BYTES_PER_S

    def complete_s(self) -> list[float]:
        """Give after how long the version was whole at each stager, in order."""
        times = [node.complete_s for node in self.nodes.values()]
        return sorted(float("inf") if moment is None else moment - self.began_s for moment in times)


def play(*, until_s: float = 25.0, **given: int) -> Swarm:
    """Play one swarm in virtual time."""
    loop = VirtualLoop()
    try:

        async def run() -> Swarm:
            swarm = Swarm(**given)
            await swarm.run(until_s)
            return swarm

        return loop.run_until_complete(run())
    finally:
        loop.close()


def figures(swarm: Swarm) -> dict[str, object]:
    """Give what a run came to."""
    times = swarm.complete_s()
    whole = PIECES * PIECE_BYTES
    return {
        "first_s": round(times[0], 2),
        "half_s": round(times[len(times) // 2], 2),
        "nine_tenths_s": round(times[len(times) * 9 // 10], 2),
        "last_s": round(times[-1], 2),
        "origin_copies": round(swarm.origin.sent / PIECES, 2),
        "origin_connections": swarm.origin.most_connections,
        "refused": swarm.origin.refused,
        "between_regions_copies": round(swarm.net.bytes_between() / whole, 2),
    }


def main() -> None:
    """Print one line a run."""
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
