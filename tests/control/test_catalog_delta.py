"""Encoding of a change of 1,500 routes for feeds."""

from __future__ import annotations

import asyncio

import msgspec
from result import Result

from leadhollow.codes import Code
from leadhollow.control.catalog_delta import MAX_CACHED_DELTAS, CatalogDeltaEncoder
from leadhollow.failure import Failure
from leadhollow.membership import packed_items
from leadhollow.membership.packed_items import unpack_items
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


def make_compacted_catalog() -> Catalog:
    """Make a catalog that forgot the removals of its first routes."""
    catalog = Catalog()
    kept = random_routes(20, revision=1)
    catalog.apply(kept, revision=1)
    for revision in range(2, 20):
        added = random_routes(600, revision=revision)[20:]
        catalog.apply(
            [msgspec.structs.replace(item, key=f"{item.key}-{revision}") for item in added],
            revision=revision,
        )
        removed = [item.key for item in catalog.whole_view() if 1 < item.revision < revision]
        items = [CatalogItem(key=key, revision=revision, value=None) for key in removed]
        catalog.apply(items, revision=revision)
    assert catalog.floor > 2
    return catalog


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

    # Guards against: an entry that was away for long and keeps routes that were removed meanwhile
    def test_revision_below_the_floor_gets_all_items_in_force(self):
        catalog = make_compacted_catalog()
        encoder = make_encoder(catalog)
        behind = encoder.encode_after(2, NodeRole.ENTRY, takes_packed=True)[1]
        assert unpack_items(behind).unwrap() == catalog.whole_view()
        assert encoder.encode_after(1, NodeRole.ENTRY, takes_packed=True)[1] is behind
        delta = encoder.encode_after(catalog.floor, NodeRole.ENTRY, takes_packed=True)[1]
        assert any(item.value is None for item in unpack_items(delta).unwrap())

    # Guards against: an entry that starts after many changes and can't take what it is sent
    def test_view_after_many_changes_is_not_larger_than_its_items(self, monkeypatch):
        catalog = make_compacted_catalog()
        in_force = len(msgspec.msgpack.encode(catalog.whole_view()))
        monkeypatch.setattr(packed_items, "LARGEST_BYTES", in_force)
        packed = make_encoder(catalog).encode_after(0, NodeRole.ENTRY, takes_packed=True)[1]
        assert unpack_items(packed).unwrap() == catalog.whole_view()

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

    async def first_of(
        self, catalog: Catalog, revision: int, *, takes_whole: bool
    ) -> Result[FeedUpdate, Failure]:
        replica = Replica(LoopbackAddresses()("one", Listener.WIRE))
        replica.feed._catalog.replace(
            catalog.items().values(), revision=catalog.revision, floor=catalog.floor
        )
        assert (await replica.server.start()).is_ok()
        peers = PeerPool(vm="e", failure_domain="d", token=TOKEN, handlers=HandlerTable())
        connection = (await peers.connection(replica.address)).unwrap()
        watch = FeedWatch("e", "entry", "d", revision, True, None, takes_whole)
        received = await connection.stream(watch).next(timeout_ms=5_000)
        await peers.stop()
        await replica.peers.stop()
        await replica.server.stop()
        await asyncio.sleep(0)
        return received

    # Guards against: an entry that was away for long and keeps routes that were removed meanwhile
    async def test_entry_with_an_old_revision_gets_a_whole_view(self):
        catalog = make_compacted_catalog()
        update = (await self.first_of(catalog, 2, takes_whole=True)).unwrap()
        assert update.whole_catalog
        assert unpack_items(update.packed_items).unwrap() == catalog.whole_view()

    async def test_entry_at_the_floor_gets_a_delta(self):
        catalog = make_compacted_catalog()
        update = (await self.first_of(catalog, catalog.floor, takes_whole=True)).unwrap()
        assert not update.whole_catalog
        assert unpack_items(update.packed_items).unwrap() == catalog.items_after(catalog.floor)

    # Guards against: an entry of an earlier release that mixes a whole view with removed routes
    async def test_entry_of_an_earlier_release_is_refused_below_the_floor(self):
        received = await self.first_of(make_compacted_catalog(), 2, takes_whole=False)
        assert received.unwrap_err().code == Code.PEER_REFUSED

    async def test_entry_of_an_earlier_release_gets_all_routes_at_its_start(self):
        catalog = make_compacted_catalog()
        update = (await self.first_of(catalog, 0, takes_whole=False)).unwrap()
        assert unpack_items(update.packed_items).unwrap() == catalog.whole_view()

    async def test_entry_gets_all_routes_packed(self):
        update = await self.first_update(takes_packed=True)
        assert update.packed_items
        assert not update.items

    async def test_older_entry_gets_all_routes_as_single_items(self):
        update = await self.first_update(takes_packed=False)
        assert len(update.items) == len(random_routes())
        assert not update.packed_items
