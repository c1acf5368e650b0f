"""Serves chunks to other backend servers and streams to them which chunks are held."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.weights.pacing import Link
from leadhollow.weights.store import ChunkStore
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import ChunkReply, ChunkRequest, HaveUpdate, HaveWatch
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

MANIFEST_INDEX = -1  # chunk number by which a peer requests the manifest
HAVE_BATCH_WINDOW_S = 0.02


class HaveNotifier:
    """Wakes the tasks that wait for a change in the held chunks of a version."""

    __slots__ = ("_events",)

    def __init__(self) -> None:
        self._events: dict[str, asyncio.Event] = {}

    def notify(self, root: str) -> None:
        """Wake all tasks that wait for a change of this version."""
        event = self._events.pop(root, None)
        if event is not None:
            event.set()

    async def wait_changed(self, root: str) -> None:
        """Wait for the next change of this version."""
        event = self._events.setdefault(root, asyncio.Event())
        await event.wait()


class ExchangeServer:
    """Serves held-chunk streams and chunk requests from the chunk store."""

    __slots__ = ("_have_notifier", "_link", "_store", "uploaded_bytes")

    def __init__(
        self, *, store: ChunkStore, have_notifier: HaveNotifier, link: Link, handlers: HandlerTable
    ) -> None:
        self._store = store
        self._have_notifier = have_notifier
        self._link = link
        self.uploaded_bytes = 0
        handlers.on_stream(HaveWatch, self._on_have_watch)
        handlers.on_call(ChunkRequest, self._on_chunk)

    async def _on_have_watch(self, request: HaveWatch, sink: StreamSink) -> Result[None, Failure]:
        root = request.root
        while (stored := self._store.version(root)) is None:
            await self._have_notifier.wait_changed(root)
        sent_count = len(stored.arrivals)
        await sink.send(HaveUpdate(stored.held.to_bytes(), []))
        while True:
            if sent_count == len(stored.arrivals):
                if stored.held.complete:
                    return Ok(None)
                await self._have_notifier.wait_changed(root)
                await asyncio.sleep(HAVE_BATCH_WINDOW_S)
            added = stored.arrivals[sent_count:]
            sent_count += len(added)
            if added:
                await sink.send(HaveUpdate(b"", added))

    async def _on_chunk(
        self, request: ChunkRequest, connection: Connection
    ) -> Result[ChunkReply, Failure]:
        if request.index == MANIFEST_INDEX:
            encoded = await asyncio.to_thread(self._store.encoded_manifest, request.root)
            if encoded is None:
                return Err(Failure(code=Code.CHUNK_UNKNOWN, detail="no such manifest"))
            return Ok(ChunkReply(encoded))
        stored = self._store.version(request.root)
        if stored is None:
            return Err(Failure(code=Code.CHUNK_UNKNOWN, detail="no such version"))
        read = await asyncio.to_thread(stored.read_chunk, request.index)
        if read.is_err():
            return Err(read.unwrap_err())
        data = read.unwrap()
        await self._link.upload.take(len(data))
        self.uploaded_bytes += len(data)
        return Ok(ChunkReply(data))


__all__ = ["MANIFEST_INDEX", "ExchangeServer", "HaveNotifier"]
