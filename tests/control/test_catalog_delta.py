"""Encoding of a change of 1,500 routes for feeds."""

from __future__ import annotations

import asyncio

from leadhollow.control.catalog_delta import MAX_CACHED_DELTAS, CatalogDeltaEncoder
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.settings.node import NodeRole
from leadhollow.state.catalog import Catalog, encode_item
from leadhollow.state.records import CatalogItem
from leadhollow.wire.generated.ttypes import FeedUpdate, FeedWatch
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from tests.control.test_feed_server import Replica
from tests.membership.test_packed_items import random_routes
from tests.support import TOKEN

REVISION = 9


def make_encoder(catalog: Catalog) -> CatalogDeltaEncoder:
    def wants(role: NodeRole, item: CatalogItem) -> bool:
        return role is NodeRole.ENTRY

    return CatalogDeltaEncoder(catalog=catalog, wants=wants)


class TestCatalogDeltaEncoder:
    def test_delta_is_packed_once_for_all_subscribers(self):
        catalog = Catalog()
        catalog.apply(random_routes(), revision=REVISION)
        encoder = make_encoder(catalog)
        first = encoder.encode_after(0, NodeRole.ENTRY, takes_packed=True)[1]
        assert first is not None
        assert encoder.encode_after(0, NodeRole.ENTRY, takes_packed=True)[1] is first

    def test_small_delta_or_subscriber_without_support_gets_single_items(self):
        catalog = Catalog()
        items = random_routes(3)
        catalog.apply(items, revision=REVISION)
        encoder = make_encoder(catalog)
        single = [encode_item(item) for item in items]
        assert encoder.encode_after(0, NodeRole.ENTRY, takes_packed=True) == (single, None)
        catalog.apply(random_routes(), revision=REVISION)
        assert len(encoder.encode_after(0, NodeRole.ENTRY, takes_packed=False)[0]) == len(
            random_routes()
        )

    def test_delta_is_empty_for_unneeded_items_and_for_the_newest_revision(self):
        catalog = Catalog()
        catalog.apply(random_routes(), revision=REVISION)
        encoder = make_encoder(catalog)
        assert encoder.encode_after(0, NodeRole.STAGER, takes_packed=True) == ([], None)
        assert encoder.encode_after(REVISION, NodeRole.ENTRY, takes_packed=True) == ([], None)

    def test_cache_is_bounded(self):
        catalog = Catalog()
        encoder = make_encoder(catalog)
        for revision in range(1, 3 * MAX_CACHED_DELTAS):
            catalog.apply(random_routes(20, revision=revision), revision=revision)
            encoder.encode_after(0, NodeRole.ENTRY, takes_packed=True)
        assert len(encoder._packed) == MAX_CACHED_DELTAS


class TestFeed:
    async def first_update(self, *, takes_packed: bool) -> FeedUpdate:
        replica = Replica(LoopbackAddresses()("one", Listener.WIRE))
        replica.feed._catalog.apply(random_routes(), revision=REVISION)
        assert (await replica.server.start()).is_ok()
        peers = PeerPool(vm="e", failure_domain="d", token=TOKEN, handlers=HandlerTable())
        connection = (await peers.connection(replica.address)).unwrap()
        stream = connection.stream(FeedWatch("e", "entry", "d", 0, takes_packed))
        received = await stream.next(timeout_ms=5_000)
        await peers.stop()
        await replica.peers.stop()
        await replica.server.stop()
        await asyncio.sleep(0)
        return received.unwrap()

    async def test_entry_gets_all_routes_packed(self):
        update = await self.first_update(takes_packed=True)
        assert update.packed_items
        assert not update.items

    async def test_older_entry_gets_all_routes_as_single_items(self):
        update = await self.first_update(takes_packed=False)
        assert len(update.items) == len(random_routes())
        assert not update.packed_items
