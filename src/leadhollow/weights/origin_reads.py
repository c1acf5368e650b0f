"""Reads chunks of one fetch from the origin, each under a lease of that chunk."""

from __future__ import annotations

import asyncio

from leadhollow.observe.logs import get_logger
from leadhollow.weights.fetch_state import FetchState
from leadhollow.weights.origin import OriginReader
from leadhollow.weights.peer_reads import PeerReads
from leadhollow.wire.generated.ttypes import OriginLease, OriginLeaseRequest

INITIAL_WINDOW = 2
READER_COUNT = 2
MIN_IDLE_PAUSE_S = 0.1
MAX_IDLE_PAUSE_S = 1.0
STUCK_AFTER_S = 2.0
MIN_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 2.0

log = get_logger("fetch")


class OriginReads:
    """Leases chunks ahead of the readers, and reads them from the origin.

    Parameters
    ----------
    peer_reads
        Knows which chunks each neighbour holds, and queues those that could not be read here.
    hedge
        Whether to request hedged reads: chunks that another server is slow to read.
    """

    __slots__ = ("_done", "_hedge", "_leased", "_origin", "_peer_reads", "_state", "_window")

    def __init__(
        self,
        *,
        state: FetchState,
        origin: OriginReader,
        peer_reads: PeerReads,
        hedge: bool,
    ) -> None:
        self._state = state
        self._origin = origin
        self._peer_reads = peer_reads
        self._hedge = hedge
        self._leased: asyncio.Queue[int] = asyncio.Queue()
        self._done: list[int] = []
        self._window = INITIAL_WINDOW

    def start(self) -> list[asyncio.Task[None]]:
        """Start the task that requests leases and the tasks that read, and return them."""
        loop = asyncio.get_running_loop()
        readers = [loop.create_task(self._read_leased()) for _ in range(READER_COUNT)]
        return [loop.create_task(self._request_leases()), *readers]

    async def _request_leases(self) -> None:
        pause_s = MIN_IDLE_PAUSE_S
        while True:
            capacity = self._window - self._leased.qsize()
            if capacity <= 0:
                await self._state.wait_progress(MAX_IDLE_PAUSE_S)
                continue
            lease = await self._request_lease(capacity)
            if lease is not None:
                self._window = lease.window or self._window
                self._drop_revoked(set(lease.revoked or ()))
            if lease is not None and lease.chunks:
                pause_s = MIN_IDLE_PAUSE_S
                for chunk in lease.chunks:
                    self._leased.put_nowait(chunk)
                continue
            if lease is not None and lease.remaining:
                # Chunks are still free, but this server must first read those that it has leased.
                await self._state.wait_progress(MIN_IDLE_PAUSE_S)
                continue
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_IDLE_PAUSE_S)

    async def _request_lease(self, capacity: int) -> OriginLease | None:
        state = self._state
        done, self._done = self._done, []
        request = OriginLeaseRequest(
            state.root,
            state.server,
            state.stored.held.to_bytes(),
            capacity,
            state.stored.manifest.chunk_count,
            done,
            self._stuck_chunks(),
            self._hedge,
        )
        reply = await state.context.call_tracker(state.root, request)
        return reply.unwrap() if reply.is_ok() else None

    def _stuck_chunks(self) -> list[int]:
        """Return the missing chunks that no neighbour holds; none unless progress has stalled."""
        if asyncio.get_running_loop().time() - self._state.last_progress_s < STUCK_AFTER_S:
            return []
        bitmaps = self._peer_reads.neighbour_bitmaps()
        return [
            chunk
            for chunk in self._state.stored.held.missing()
            if chunk not in self._state.in_flight and not any(chunk in held for held in bitmaps)
        ]

    def _drop_revoked(self, revoked: set[int]) -> None:
        if not revoked:
            return
        kept = []
        while not self._leased.empty():
            kept.append(self._leased.get_nowait())
        for chunk in kept:
            if chunk not in revoked:
                self._leased.put_nowait(chunk)

    async def _read_leased(self) -> None:
        state = self._state
        while True:
            chunk = await self._leased.get()
            pause_s = MIN_RETRY_PAUSE_S
            while state.is_wanted(chunk):
                state.in_flight.add(chunk)
                try:
                    done = await self._read(chunk)
                finally:
                    state.in_flight.discard(chunk)
                    if chunk not in state.stored.held:
                        self._peer_reads.requeue(chunk)
                if done:
                    self._done.append(chunk)
                    break
                # The lease is still held, so no other server reads this chunk.
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    async def _read(self, chunk: int) -> bool:
        offset, size = self._state.stored.manifest.chunk_range(chunk)
        await self._state.context.link.download.take(size)
        read = await self._origin.chunk(offset, size)
        if read.is_err():
            log.warning("read from the origin failed", failure=str(read.unwrap_err()))
            return False
        return (await self._state.store_chunk(chunk, read.unwrap(), source="origin")).is_ok()


__all__ = ["OriginReads"]
