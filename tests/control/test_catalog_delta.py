"""A change of 1,500 routes on its way to entries, some over a narrow link."""

from __future__ import annotations

import asyncio

from leadhollow.control.catalog_delta import KEPT, CatalogDeltaEncoder
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


def news(catalog: Catalog) -> CatalogDeltaEncoder:
    def wants(role: NodeRole, item: CatalogItem) -> bool:
        return role is NodeRole.ENTRY

    return CatalogDeltaEncoder(catalog=catalog, wants=wants)


class TestItemNews:
    def test_is_packed_once_for_all_that_ask_for_the_same(self):
        catalog = Catalog()
        catalog.apply(random_routes(), revision=REVISION)
        told = news(catalog)
        first = told.encode_after(0, NodeRole.ENTRY, takes_packed=True)[1]
        assert first is not None
        assert told.encode_after(0, NodeRole.ENTRY, takes_packed=True)[1] is first

    def test_is_told_one_by_one_where_it_is_little_or_packed_is_not_understood(self):
        catalog = Catalog()
        items = random_routes(3)
        catalog.apply(items, revision=REVISION)
        told = news(catalog)
        single = [encode_item(item) for item in items]
        assert told.encode_after(0, NodeRole.ENTRY, takes_packed=True) == (single, None)
        catalog.apply(random_routes(), revision=REVISION)
        assert len(told.encode_after(0, NodeRole.ENTRY, takes_packed=False)[0]) == len(
            random_routes()
        )

    def test_holds_what_a_role_wants_and_is_nothing_once_it_was_told(self):
        catalog = Catalog()
        catalog.apply(random_routes(), revision=REVISION)
        told = news(catalog)
        assert told.encode_after(0, NodeRole.STAGER, takes_packed=True) == ([], None)
        assert told.encode_after(REVISION, NodeRole.ENTRY, takes_packed=True) == ([], None)

    def test_is_kept_for_a_few_revisions_only(self):
        catalog = Catalog()
        told = news(catalog)
        for revision in range(1, 3 * KEPT):
            catalog.apply(random_routes(20, revision=revision), revision=revision)
            told.encode_after(0, NodeRole.ENTRY, takes_packed=True)
        assert len(told._packed) == KEPT


class TestAFeed:
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

    async def test_tells_an_entry_all_routes_packed(self):
        update = await self.first_update(takes_packed=True)
        assert update.packed_items
        assert not update.items

    async def test_tells_an_older_entry_all_routes_one_by_one(self):
        update = await self.first_update(takes_packed=False)
        assert len(update.items) == len(random_routes())
        assert not update.packed_items
