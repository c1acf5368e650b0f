"""Reads chunks of one fetch from neighbours, those with the fewest holders first."""

from __future__ import annotations

import asyncio
import random

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.fetch_state import FetchState
from leadhollow.weights.neighbour_chunks import HolderCounts, NeighbourChunks
from leadhollow.wire.generated.ttypes import (
    ChunkRequest,
    HaveUpdate,
    HaveWatch,
    Neighbour,
    SwarmJoin,
    SwarmNeighbours,
)
from leadhollow.wire.streams import CallStream

REQUESTS_PER_NEIGHBOUR = 2
MAX_CONCURRENT_REQUESTS = 9  # more would queue at the neighbours and delay rare chunks
MIN_REJOIN_PAUSE_S = 0.1
MAX_REJOIN_PAUSE_S = 1.6
CHUNK_TIMEOUT_MS = 15_000
MIN_BAN_S = 5.0
MAX_BAN_S = 300.0

log = get_logger("fetch")


class _NeighbourState:
    __slots__ = ("address", "chunks", "server", "task")

    def __init__(self, *, neighbour: Neighbour) -> None:
        self.server: str = neighbour.server
        self.address: str = neighbour.address
        self.chunks: NeighbourChunks | None = None
        self.task: asyncio.Task[None] | None = None


class PeerReads:
    """Exchanges chunks with the neighbours that the tracker names."""

    __slots__ = (
        "_ban_counts",
        "_banned_until_s",
        "_holder_counts",
        "_neighbours",
        "_random",
        "_request_slots",
        "_state",
    )

    def __init__(self, *, state: FetchState) -> None:
        self._state = state
        self._random = random.Random(f"{state.root}{state.server}")
        self._holder_counts = HolderCounts(chunk_count=state.stored.manifest.chunk_count)
        self._request_slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self._neighbours: dict[str, _NeighbourState] = {}
        self._banned_until_s: dict[str, float] = {}
        self._ban_counts: dict[str, int] = {}

    def neighbour_bitmaps(self) -> list[Bitmap]:
        """Return the set of chunks that each neighbour holds."""
        return [
            neighbour.chunks.held
            for neighbour in self._neighbours.values()
            if neighbour.chunks is not None
        ]

    async def run(self) -> None:
        """Join the swarm repeatedly and exchange with all neighbours, until cancelled."""
        pause_s = MIN_REJOIN_PAUSE_S
        try:
            while True:
                for neighbour in await join_swarm(self._state):
                    self._add_neighbour(neighbour)
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_REJOIN_PAUSE_S)
        finally:
            tasks = [state.task for state in self._neighbours.values() if state.task is not None]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _add_neighbour(self, neighbour: Neighbour) -> None:
        known = self._neighbours.get(neighbour.server)
        if known is not None and known.task is not None and not known.task.done():
            return
        if _now_s() < self._banned_until_s.get(neighbour.server, 0.0):
            return
        state = _NeighbourState(neighbour=neighbour)
        state.task = asyncio.get_running_loop().create_task(self._exchange(state))
        self._neighbours[state.server] = state

    async def _exchange(self, neighbour: _NeighbourState) -> None:
        """Follow which chunks one neighbour holds, and request chunks from it.

        Each neighbour has one task that runs this.
        """
        connected = await self._state.context.peers.connection(neighbour.address)
        if connected.is_err():
            return
        chunks = neighbour.chunks = NeighbourChunks(
            held=Bitmap(count=self._state.stored.manifest.chunk_count),
            rarity=self._holder_counts,
            is_wanted=self._state.is_wanted,
            generator=self._random,
        )
        body = HaveWatch(self._state.root, self._state.server)
        stream = connected.unwrap().stream(body)
        loop = asyncio.get_running_loop()
        workers = [
            loop.create_task(self._request_chunks(neighbour, chunks))
            for _ in range(REQUESTS_PER_NEIGHBOUR)
        ]
        try:
            if await self._follow_updates(chunks, stream):
                # The neighbour holds all chunks and sends no more updates; the requests continue.
                await asyncio.gather(*workers)
        finally:
            stream.cancel()
            chunks.clear()
            neighbour.chunks = None
            for worker in workers:
                worker.cancel()

    async def _follow_updates(self, chunks: NeighbourChunks, stream: CallStream) -> bool:
        """Apply held-chunk updates. Returns True once the neighbour holds all chunks."""
        while True:
            received = await stream.next()
            if received.is_err():
                return False
            update: HaveUpdate | None = received.unwrap()
            if update is None:
                return True
            if update.bitmap:
                held = Bitmap.from_bytes(update.bitmap, count=chunks.held.count)
                chunks.add_all(held.indexes())
            chunks.add_all(update.added or ())

    async def _request_chunks(self, neighbour: _NeighbourState, chunks: NeighbourChunks) -> None:
        state = self._state
        while not state.stored.held.complete:
            await chunks.available.wait()
            async with self._request_slots:
                chunk = chunks.take_rarest()
                failure = None if chunk is None else await self._request(neighbour, chunk)
            if failure is not None:
                self._ban(neighbour, failure)
                return

    async def _request(self, neighbour: _NeighbourState, chunk: int) -> Failure | None:
        state = self._state
        state.in_flight.add(chunk)
        try:
            return await self._read(neighbour, chunk)
        finally:
            state.in_flight.discard(chunk)
            if chunk not in state.stored.held:
                self.requeue(chunk)

    def requeue(self, chunk: int) -> None:
        """Queue a chunk again for all neighbours that hold it, after a read of it failed."""
        for neighbour in self._neighbours.values():
            if neighbour.chunks is not None:
                neighbour.chunks.requeue(chunk)

    async def _read(self, neighbour: _NeighbourState, chunk: int) -> Failure | None:
        state = self._state
        _, size = state.stored.manifest.chunk_range(chunk)
        await state.context.link.download.take(size)
        reply = await state.context.peers.call(
            neighbour.address, ChunkRequest(state.root, chunk), timeout_ms=CHUNK_TIMEOUT_MS
        )
        if reply.is_err():
            return reply.unwrap_err()
        kept = await state.store_chunk(chunk, reply.unwrap().data or b"", source=neighbour.server)
        if kept.is_err() and kept.unwrap_err().code is Code.CHUNK_MISMATCH:
            return kept.unwrap_err()
        return None

    def _ban(self, neighbour: _NeighbourState, failure: Failure) -> None:
        """Stop using a neighbour for a time that doubles with each ban."""
        bans = self._ban_counts.get(neighbour.server, 0) + 1
        self._ban_counts[neighbour.server] = bans
        ban_s = min(MIN_BAN_S * 2 ** (bans - 1), MAX_BAN_S)
        self._banned_until_s[neighbour.server] = _now_s() + ban_s
        log.warning("neighbour banned", server=neighbour.server, failure=str(failure), ban_s=ban_s)
        if neighbour.task is not None:
            neighbour.task.cancel()


async def join_swarm(state: FetchState) -> list[Neighbour]:
    """Join the swarm of a version at its tracker and return the neighbours that it assigns."""
    identity = state.context.identity
    held = state.stored.held.held_count
    body = SwarmJoin(state.root, identity.server, identity.address, identity.failure_domain, held)
    reply = await state.context.call_tracker(state.root, body)
    if reply.is_err():
        return []
    swarm: SwarmNeighbours = reply.unwrap()
    return list(swarm.neighbours or ())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["PeerReads", "join_swarm"]
