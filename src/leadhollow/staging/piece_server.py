"""Sends slices of pieces to other stagers, and tells them which pieces are here."""

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

WAIT_VERSION_S = 0.1
LINK_SHARE = 0.86
"""Part of the link for pieces: the engine's answers leave over the same one, a tenth of it where
the engine is busy, and must not queue."""

HURRIED_SHARE = 0.92  # where the version would come too late otherwise
BURST_S = 0.015  # a slice's time on a slow link
FRAME_SHARE = 1.03  # bytes on the wire for each byte of a slice
BACKLOG_BYTES = 8 * 1024  # a receiver that takes no more gets its next slice later
BLOCKED_POLL_S = 0.01
LONGEST_PATIENCE_MS = 10_000


class _Want:
    """A slice that another stager waits for.

    Parameters
    ----------
    give_up_s
        Loop time after which the other stager does not wait for it any more.
    """

    __slots__ = ("answer", "asked_s", "connection", "data", "far", "give_up_s", "number", "turn")

    def __init__(
        self,
        *,
        data: bytes,
        far: bool,
        turn: int,
        number: int,
        asked_s: float,
        give_up_s: float,
        connection: Connection,
        answer: asyncio.Future[int],
    ) -> None:
        self.data = data
        self.far = far
        self.turn = turn
        self.number = number
        self.asked_s = asked_s
        self.give_up_s = give_up_s
        self.connection = connection
        self.answer = answer

    def rank(self) -> tuple[bool, int, int]:
        """Give its place: what must cross domains first, then by turn, then as asked."""
        return not self.far, self.turn, self.number


class PieceServer(TaskService):
    """Answers other stagers.

    Slices leave one after the other at the pace of the link, so that whatever else leaves this VM
    waits for one of them at most.

    Parameters
    ----------
    link_bytes_per_s
        Gives what this VM's link carries now.
    failure_domain
        Ours; stagers of others are served first, because each piece enters a domain only once.
        Then go those whose engine changes first, so that not all have to change at once.
    hurries
        Tells whether pieces go before requests, since the version would come too late.
    """

    __slots__ = (
        "_asked",
        "_failure_domain",
        "_pacer",
        "_store",
        "_wake",
        "_wants",
        "_watchers",
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
        self._wants: list[_Want] = []
        self._asked = 0

        def rate_bytes_per_s() -> float:
            return link_bytes_per_s() * (HURRIED_SHARE if urgent() else LINK_SHARE)

        self._pacer = Pacer(rate_bytes_per_s=rate_bytes_per_s, burst_s=BURST_S)
        self._wake = asyncio.Event()
        self._watchers = 0
        self.bytes_sent = 0
        super().__init__()
        handlers.on_stream(PieceWatch, self._on_watch)
        handlers.on_call(SliceRequest, self._on_slice)

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._wake.clear()
            await self._pacer.wait_until_free()
            want = self._next(loop.time())
            if want is None:
                await self._wait()
                continue
            self._wants.remove(want)
            size = int(len(want.data) * FRAME_SHARE)
            self._pacer.spend(size)
            self.bytes_sent += size
            want.answer.set_result(int((loop.time() - want.asked_s) * 1000))

    def _next(self, now_s: float) -> _Want | None:
        """Choose the slice that leaves next, of those whose receivers take it."""
        for want in self._wants:
            if now_s > want.give_up_s and not want.answer.done():
                want.answer.cancel()
        self._wants = [want for want in self._wants if not want.answer.done()]
        ready = [want for want in self._wants if want.connection.backlog_bytes <= BACKLOG_BYTES]
        return min(ready, key=_Want.rank) if ready else None

    async def _wait(self) -> None:
        """Wait for a request; a receiver whose socket is full is looked at again."""
        try:
            async with asyncio.timeout(BLOCKED_POLL_S if self._wants else None):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _on_slice(
        self, request: SliceRequest, connection: Connection
    ) -> Result[SliceReply, Failure]:
        """Send part of a piece when it is its turn."""
        version = self._store.find(request.model, int(request.version or 0))
        piece = None if version is None else version.piece(int(request.piece or 0))
        offset = int(request.offset or 0)
        size = int(request.size_bytes or 0)
        if piece is None or not 0 <= offset < len(piece) or size <= 0:
            return Err(Failure(code=Code.CHUNK_UNKNOWN, detail=f"piece {request.piece}"))
        loop = asyncio.get_running_loop()
        patience_ms = min(int(request.patience_ms or LONGEST_PATIENCE_MS), LONGEST_PATIENCE_MS)
        data = piece[offset : offset + size]
        answer: asyncio.Future[int] = loop.create_future()
        self._asked += 1
        want = _Want(
            data=data,
            far=request.failure_domain != self._failure_domain,
            turn=int(request.turn or 0),
            number=self._asked,
            asked_s=loop.time(),
            give_up_s=loop.time() + patience_ms / 1000,
            connection=connection,
            answer=answer,
        )
        self._wants.append(want)
        self._wake.set()
        try:
            await asyncio.wait([answer])
        except asyncio.CancelledError:
            answer.cancel()  # the connection ended; the slice does not leave
            raise
        if answer.cancelled():
            return Err(Failure(code=Code.PEER_TIMEOUT, detail="too many others wait for slices"))
        return Ok(SliceReply(data, answer.result()))

    async def _on_watch(self, request: PieceWatch, sink: StreamSink) -> Result[None, Failure]:
        """Send what is held, then each piece as it comes."""
        self._watchers += 1
        try:
            return await self._tell_news(request, sink)
        finally:
            self._watchers -= 1

    async def _tell_news(self, request: PieceWatch, sink: StreamSink) -> Result[None, Failure]:
        version = self._store.find(request.model, request.version)
        if version is None:
            await sink.send(PieceNews(b"", []))  # so that nobody waits for us to begin
        while version is None:
            await asyncio.sleep(WAIT_VERSION_S)
            version = self._store.find(request.model, request.version)
        told = Bitmap.from_bytes(version.held.to_bytes(), count=version.held.count)
        await sink.send(PieceNews(told.to_bytes(), []))
        while not told.complete:
            news = [index for index in version.held.indexes() if index not in told]
            if not news:
                await version.wait_changed()
                await asyncio.sleep(announce_interval_s(self._watchers))
                continue
            told.add_all(news)
            await sink.send(PieceNews(b"", news))
        return Ok(None)


__all__ = ["LINK_SHARE", "PieceServer"]
