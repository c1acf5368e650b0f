"""Sends pieces to other stagers, one at a time, and tells them which ones are here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Ok, Result

from leadhollow.failure import Failure
from leadhollow.kernel.task_service import TaskService
from leadhollow.staging.pieces import PieceStore
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.pacing import Pacer
from leadhollow.wire.generated.ttypes import PieceDelivery, PieceNews, PieceOrder, PieceWatch
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

NEWS_PAUSE_S = 0.04  # pieces that come within it are told together
WAIT_VERSION_S = 0.1
LINK_SHARE = 0.93
"""Part of the link for pieces: the engine's answers leave over the same one, and must not queue."""

FRAME_SHARE = 1.03  # bytes on the wire for each byte of a piece
BACKLOG_BYTES = 8 * 1024  # a watcher that takes no more gets its next piece later
BLOCKED_POLL_S = 0.01


class _Order:
    """Pieces that one stager wants from us, in the order in which they were asked for."""

    __slots__ = ("done", "far", "model", "number", "sink", "turn", "wanted")

    def __init__(
        self,
        *,
        model: str,
        number: int,
        wanted: list[int],
        sink: StreamSink,
        far: bool,
        turn: int,
    ) -> None:
        self.model = model
        self.number = number
        self.wanted = wanted
        self.sink = sink
        self.far = far
        self.turn = turn
        self.done = asyncio.Event()


class PieceServer(TaskService):
    """Answers other stagers.

    The whole link is given to one piece after the other: sent side by side they would all arrive
    late, and whatever else leaves this VM would wait behind them.

    Parameters
    ----------
    link_bytes_per_s
        Gives what this VM's link carries now.
    failure_domain
        Ours; stagers of others are served first, because each piece enters a domain only once.
        Then go those whose engine changes first, so that not all have to change at once.
    """

    __slots__ = ("_failure_domain", "_orders", "_pacer", "_store", "_wake", "bytes_sent")

    def __init__(
        self,
        *,
        store: PieceStore,
        handlers: HandlerTable,
        link_bytes_per_s: Callable[[], float],
        failure_domain: str,
    ) -> None:
        self._store = store
        self._failure_domain = failure_domain
        self._orders: list[_Order] = []
        self._pacer = Pacer(rate_bytes_per_s=lambda: link_bytes_per_s() * LINK_SHARE)
        self._wake = asyncio.Event()
        self.bytes_sent = 0
        super().__init__()
        store.on_piece(self._wake.set)
        handlers.on_stream(PieceWatch, self._on_watch)
        handlers.on_stream(PieceOrder, self._on_order)

    async def _work(self) -> None:
        while True:
            self._wake.clear()
            chosen = self._next()
            if chosen is None:
                await self._wait()
                continue
            order, index, data = chosen
            order.wanted.remove(index)
            size = int(len(data) * FRAME_SHARE)
            await self._pacer.take(size)
            order.sink.write(PieceDelivery(index, data))
            self.bytes_sent += size
            if not order.wanted:
                order.done.set()

    def _next(self) -> tuple[_Order, int, bytes] | None:
        """Choose the next piece that is here and whose receiver takes it."""
        for order in sorted(self._orders, key=lambda order: (not order.far, order.turn)):
            if order.sink.connection.backlog_bytes > BACKLOG_BYTES:
                continue
            found = self._available(order)
            if found is not None:
                self._orders.remove(order)
                self._orders.append(order)  # receivers of one kind take turns
                return order, *found
        return None

    def _available(self, order: _Order) -> tuple[int, bytes] | None:
        version = self._store.find(order.model, order.number)
        if version is None:
            return None
        for index in order.wanted:
            data = version.piece(index)
            if data is not None:
                return index, data
        return None

    async def _wait(self) -> None:
        """Wait for a piece or an order; a receiver whose socket is full is looked at again."""
        blocked = any(order.wanted for order in self._orders)
        try:
            async with asyncio.timeout(BLOCKED_POLL_S if blocked else None):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _on_order(self, request: PieceOrder, sink: StreamSink) -> Result[None, Failure]:
        """Send pieces as they are here; the stream ends once all were sent."""
        order = _Order(
            model=request.model,
            number=int(request.version or 0),
            wanted=list(request.indexes or ()),
            sink=sink,
            far=request.failure_domain != self._failure_domain,
            turn=int(request.turn or 0),
        )
        self._orders.append(order)
        self._wake.set()
        try:
            if order.wanted:
                await order.done.wait()
        finally:
            self._orders.remove(order)
        return Ok(None)

    async def _on_watch(self, request: PieceWatch, sink: StreamSink) -> Result[None, Failure]:
        """Send what is held, then each piece as it comes."""
        version = self._store.find(request.model, request.version)
        while version is None:
            await asyncio.sleep(WAIT_VERSION_S)
            version = self._store.find(request.model, request.version)
        told = Bitmap.from_bytes(version.held.to_bytes(), count=version.held.count)
        await sink.send(PieceNews(told.to_bytes(), []))
        while not told.complete:
            news = [index for index in version.held.indexes() if index not in told]
            if not news:
                await version.changed()
                await asyncio.sleep(NEWS_PAUSE_S)
                continue
            told.add_all(news)
            await sink.send(PieceNews(b"", news))
        return Ok(None)


__all__ = ["PieceServer"]
