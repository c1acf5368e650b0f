"""What a backend server tells the others about the versions that it holds."""

from __future__ import annotations

from leadhollow.weights.exchange import MANIFEST_INDEX, ExchangeServer, HaveNotifier
from leadhollow.wire.generated.ttypes import ChunkRequest
from leadhollow.wire.handlers import HandlerTable
from tests.support import BlockingWork


class Store:
    """Reads a manifest from a disk that takes its time."""

    def __init__(self) -> None:
        self.work = BlockingWork()

    def encoded_manifest(self, root: str) -> bytes:
        self.work()
        return root.encode()


class TestManifests:
    # Guards against: a slow disk holds up the streams of the engine beside it.
    async def test_are_read_without_holding_up_the_loop(self):
        store = Store()
        server = ExchangeServer(
            store=store, have_notifier=HaveNotifier(), link=None, handlers=HandlerTable()
        )
        reply = await server._on_chunk(ChunkRequest("root", MANIFEST_INDEX), None)
        assert reply.unwrap().data == b"root"
        assert not store.work.held_up_loop
