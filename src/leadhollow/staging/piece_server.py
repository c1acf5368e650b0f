"""Serves pieces to other stagers and tells them which ones are here."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.staging.pieces import PieceStore
from leadhollow.weights.bitmap import Bitmap
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import PieceNews, PieceReply, PieceRequest, PieceWatch
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

NEWS_PAUSE_S = 0.05  # pieces that come within it are told together
WAIT_VERSION_S = 0.1


class PieceServer:
    """Answers other stagers."""

    __slots__ = ("_store", "bytes_sent")

    def __init__(self, *, store: PieceStore, handlers: HandlerTable) -> None:
        self._store = store
        self.bytes_sent = 0
        handlers.on_stream(PieceWatch, self._on_watch)
        handlers.on_call(PieceRequest, self._on_request)

    async def start(self) -> Result[None, Failure]:
        """Nothing to begin."""
        return Ok(None)

    async def drain(self) -> None:
        """Others find another source."""

    async def stop(self) -> None:
        """Nothing to end."""

    async def _on_request(
        self, request: PieceRequest, connection: Connection
    ) -> Result[PieceReply, Failure]:
        version = self._store.find(request.model, request.version)
        data = None if version is None else version.piece(request.index)
        if data is None:
            return Err(Failure(code=Code.CHUNK_UNKNOWN, detail=f"piece {request.index}"))
        self.bytes_sent += len(data)
        return Ok(PieceReply(data))

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
