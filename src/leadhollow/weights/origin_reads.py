"""Reads of one fetch from the origin, each under a lease of exactly that chunk."""

from __future__ import annotations

import asyncio

from leadhollow.observe.logs import get_logger
from leadhollow.weights.fetch_state import FetchState
from leadhollow.weights.origin import OriginReader
from leadhollow.weights.peer_reads import PeerReads
from leadhollow.wire.generated.ttypes import OriginLease, OriginLeaseRequest

FIRST_WINDOW = 2
READERS = 2
IDLE_PAUSE_FIRST_S = 0.1
IDLE_PAUSE_LONGEST_S = 1.0
STUCK_AFTER_S = 2.0
READ_AGAIN_FIRST_S = 0.05
READ_AGAIN_LONGEST_S = 2.0

log = get_logger("fetch")


class OriginReads:
    """Keeps a window of leases ahead of two readers.

    Parameters
    ----------
    peer_reads
        Knows what each neighbour holds, and is told of chunks that did not come.
    hedge
        Whether chunks that others read slowly may be read as well.
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
        self._window = FIRST_WINDOW

    def start(self) -> list[asyncio.Task[None]]:
        """Begin to lease and to read."""
        loop = asyncio.get_running_loop()
        readers = [loop.create_task(self._read_leased()) for _ in range(READERS)]
        return [loop.create_task(self._lease_ahead()), *readers]

    async def _lease_ahead(self) -> None:
        pause_s = IDLE_PAUSE_FIRST_S
        while True:
            room = self._window - self._leased.qsize()
            if room <= 0:
                await self._state.wait_progress(IDLE_PAUSE_LONGEST_S)
                continue
            lease = await self._request(room)
            if lease is not None:
                self._window = lease.window or self._window
                self._drop(set(lease.revoked or ()))
            if lease is not None and lease.chunks:
                pause_s = IDLE_PAUSE_FIRST_S
                for chunk in lease.chunks:
                    self._leased.put_nowait(chunk)
                continue
            if lease is not None and lease.remaining:
                await self._state.wait_progress(IDLE_PAUSE_FIRST_S)  # our own reads come first
                continue
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, IDLE_PAUSE_LONGEST_S)

    async def _request(self, room: int) -> OriginLease | None:
        state = self._state
        done, self._done = self._done, []
        request = OriginLeaseRequest(
            state.root,
            state.server,
            state.stored.held.to_bytes(),
            room,
            state.stored.manifest.chunk_count,
            done,
            self._stuck_chunks(),
            self._hedge,
        )
        reply = await state.context.call_tracker(state.root, request)
        return reply.unwrap() if reply.is_ok() else None

    def _stuck_chunks(self) -> list[int]:
        """Name the chunks that no neighbour can give, once nothing has come for a while."""
        if asyncio.get_running_loop().time() - self._state.last_progress_s < STUCK_AFTER_S:
            return []
        held_near = self._peer_reads.neighbour_bitmaps()
        return [
            chunk
            for chunk in self._state.stored.held.missing()
            if chunk not in self._state.in_flight and not any(chunk in held for held in held_near)
        ]

    def _drop(self, revoked: set[int]) -> None:
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
            pause_s = READ_AGAIN_FIRST_S
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
                await asyncio.sleep(pause_s)  # the lease is still ours, nobody else reads it
                pause_s = min(2 * pause_s, READ_AGAIN_LONGEST_S)

    async def _read(self, chunk: int) -> bool:
        offset, size = self._state.stored.manifest.chunk_range(chunk)
        await self._state.context.link.download.take(size)
        read = await self._origin.chunk(offset, size)
        if read.is_err():
            log.warning("origin read failed", failure=str(read.unwrap_err()))
            return False
        return (await self._state.store_chunk(chunk, read.unwrap(), source="origin")).is_ok()


__all__ = ["OriginReads"]
