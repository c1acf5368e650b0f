"""Sends slices of pieces to other stagers and announces the pieces that are held."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel.task_service import TaskService
from leadhollow.staging.announcements import announce_interval_s
from leadhollow.staging.pieces import PieceStore
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.pacing import Pacer
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import PieceNews, PieceWatch, SliceReply, SliceRequest
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

VERSION_POLL_S = 0.1
LINK_SHARE = 0.86
"""Share of the link for pieces. The engine's responses leave over the same link, take a tenth of it
while the engine is busy, and must not queue."""

URGENT_LINK_SHARE = 0.92  # if the version would otherwise come too late
BURST_S = 0.015  # time of one slice on a slow link
FRAME_OVERHEAD = 1.03  # bytes on the wire for each byte of a slice
BACKLOG_BYTES = 8 * 1024  # a receiver with a larger backlog gets its next slice later
BLOCKED_POLL_S = 0.01
MAX_PATIENCE_MS = 10_000


class _PendingSlice:
    """A slice that another stager has requested.

    Parameters
    ----------
    other_domain
        Whether the other stager is in another failure domain.
    rank
        Place of the other stager's engine in the switch order.
    number
        Sequence number of the request.
    expires_s
        Loop time after which the other stager no longer waits for it.
    sent
        Is set to the waiting time in milliseconds when the slice leaves.
    """

    __slots__ = (
        "connection",
        "data",
        "expires_s",
        "number",
        "other_domain",
        "rank",
        "requested_s",
        "sent",
    )

    def __init__(
        self,
        *,
        data: bytes,
        other_domain: bool,
        rank: int,
        number: int,
        requested_s: float,
        expires_s: float,
        connection: Connection,
        sent: asyncio.Future[int],
    ) -> None:
        self.data = data
        self.other_domain = other_domain
        self.rank = rank
        self.number = number
        self.requested_s = requested_s
        self.expires_s = expires_s
        self.connection = connection
        self.sent = sent

    def order(self) -> tuple[bool, int, int]:
        """Return the sort key: other failure domains first, then by rank, then by request order."""
        return not self.other_domain, self.rank, self.number


class PieceServer(TaskService):
    """Serves pieces to other stagers.

    Slices leave one by one at the speed of the link. All other traffic of this VM then waits for
    one slice at most.

    Parameters
    ----------
    link_bytes_per_s
        Returns the current capacity of this VM's link.
    failure_domain
        The own failure domain. Stagers of other domains are served first, because each piece enters
        a domain only once. Next come those whose engines switch first, which spreads the switches
        over time.
    urgent
        Returns whether pieces go before requests, because the version would otherwise come too
        late.
    """

    __slots__ = (
        "_failure_domain",
        "_followers",
        "_pacer",
        "_pending",
        "_request_count",
        "_store",
        "_wake",
        "bytes_sent",
    )

    def __init__(
        self,
        *,
        store: PieceStore,
        handlers: HandlerTable,
        link_bytes_per_s: Callable[[], float],
        failure_domain: str,
        urgent: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._failure_domain = failure_domain
        self._pending: list[_PendingSlice] = []
        self._request_count = 0

        def rate_bytes_per_s() -> float:
            return link_bytes_per_s() * (URGENT_LINK_SHARE if urgent() else LINK_SHARE)

        self._pacer = Pacer(rate_bytes_per_s=rate_bytes_per_s, burst_s=BURST_S)
        self._wake = asyncio.Event()
        self._followers = 0
        self.bytes_sent = 0
        super().__init__()
        handlers.on_stream(PieceWatch, self._on_follow)
        handlers.on_call(SliceRequest, self._on_slice)

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._wake.clear()
            await self._pacer.wait_until_free()
            pending = self._next(loop.time())
            if pending is None:
                await self._wait()
                continue
            self._pending.remove(pending)
            size = int(len(pending.data) * FRAME_OVERHEAD)
            self._pacer.spend(size)
            self.bytes_sent += size
            pending.sent.set_result(int((loop.time() - pending.requested_s) * 1000))

    def _next(self, now_s: float) -> _PendingSlice | None:
        """Return the slice to send next, among those whose receivers can take more data."""
        for pending in self._pending:
            if now_s > pending.expires_s and not pending.sent.done():
                pending.sent.cancel()
        self._pending = [pending for pending in self._pending if not pending.sent.done()]
        ready = [
            pending
            for pending in self._pending
            if pending.connection.backlog_bytes <= BACKLOG_BYTES
        ]
        return min(ready, key=_PendingSlice.order) if ready else None

    async def _wait(self) -> None:
        """Wait for a request; while receivers have a full backlog, only for ``BLOCKED_POLL_S``."""
        try:
            async with asyncio.timeout(BLOCKED_POLL_S if self._pending else None):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _on_slice(
        self, request: SliceRequest, connection: Connection
    ) -> Result[SliceReply, Failure]:
        """Queue the requested slice and reply when it is sent."""
        version = self._store.find(request.model, int(request.version or 0))
        piece = None if version is None else version.piece(int(request.piece or 0))
        offset = int(request.offset or 0)
        size = int(request.size_bytes or 0)
        if piece is None or not 0 <= offset < len(piece) or size <= 0:
            return Err(Failure(code=Code.CHUNK_UNKNOWN, detail=f"piece {request.piece}"))
        loop = asyncio.get_running_loop()
        patience_ms = min(int(request.patience_ms or MAX_PATIENCE_MS), MAX_PATIENCE_MS)
        data = piece[offset : offset + size]
        sent: asyncio.Future[int] = loop.create_future()
        self._request_count += 1
        pending = _PendingSlice(
            data=data,
            other_domain=request.failure_domain != self._failure_domain,
            rank=int(request.turn or 0),
            number=self._request_count,
            requested_s=loop.time(),
            expires_s=loop.time() + patience_ms / 1000,
            connection=connection,
            sent=sent,
        )
        self._pending.append(pending)
        self._wake.set()
        try:
            await asyncio.wait([sent])
        except asyncio.CancelledError:
            sent.cancel()  # the connection ended; the slice is not sent
            raise
        if sent.cancelled():
            return Err(Failure(code=Code.PEER_TIMEOUT, detail="too many others wait for slices"))
        return Ok(SliceReply(data, sent.result()))

    async def _on_follow(self, request: PieceWatch, sink: StreamSink) -> Result[None, Failure]:
        """Announce the pieces that are held, then each new one."""
        self._followers += 1
        try:
            return await self._announce(request, sink)
        finally:
            self._followers -= 1

    async def _announce(self, request: PieceWatch, sink: StreamSink) -> Result[None, Failure]:
        version = self._store.find(request.model, request.version)
        if version is None:
            await sink.send(PieceNews(b"", []))  # the follower need not wait until this one starts
        while version is None:
            await asyncio.sleep(VERSION_POLL_S)
            version = self._store.find(request.model, request.version)
        announced = Bitmap.from_bytes(version.held.to_bytes(), count=version.held.count)
        await sink.send(PieceNews(announced.to_bytes(), []))
        while not announced.complete:
            added = [index for index in version.held.indexes() if index not in announced]
            if not added:
                await version.wait_changed()
                await asyncio.sleep(announce_interval_s(self._followers))
                continue
            announced.add_all(added)
            await sink.send(PieceNews(b"", added))
        return Ok(None)


__all__ = ["LINK_SHARE", "PieceServer"]
