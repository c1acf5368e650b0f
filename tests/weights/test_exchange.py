"""Serving of chunks and manifests to other backend servers."""

from __future__ import annotations

from leadhollow.weights.exchange import MANIFEST_INDEX, ExchangeServer, HaveNotifier
from leadhollow.wire.generated.ttypes import ChunkRequest
from leadhollow.wire.handlers import HandlerTable
from tests.support import BlockingWork


class BlockingStore:
    """Store whose manifest reads block."""

    def __init__(self) -> None:
        self.work = BlockingWork()

    def encoded_manifest(self, root: str) -> bytes:
        self.work()
        return root.encode()


class TestManifestRequests:
    # Guards against: a manifest read from a slow disk runs on the event loop and stalls the
    # streams of the engine beside it.
    async def test_manifest_is_read_without_blocking_the_event_loop(self):
        store = BlockingStore()
        server = ExchangeServer(
            store=store, have_notifier=HaveNotifier(), link=None, handlers=HandlerTable()
        )
        reply = await server._on_chunk(ChunkRequest("root", MANIFEST_INDEX), None)
        assert reply.unwrap().data == b"root"
        assert not store.work.held_up_loop
