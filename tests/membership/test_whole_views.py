"""Whole views of the catalog: what is not in them is removed at the receiver."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from leadhollow.membership.catalog_feed import CatalogFeed
from leadhollow.membership.packed_items import pack_items
from leadhollow.routing.index import RouteIndex
from leadhollow.state.catalog import Catalog, encode_item
from leadhollow.state.records import CatalogItem
from leadhollow.state.watch import ITEMS_PER_UPDATE, serve_catalog
from leadhollow.wire.generated.ttypes import CatalogUpdate, CatalogWatch, FeedUpdate
from tests.control.test_catalog_delta import make_compacted_catalog
from tests.membership.test_control_feed import make_feed
from tests.membership.test_packed_items import random_routes

OLD, LASTING = random_routes(2, revision=1)
NEW = random_routes(3, revision=5)[2]


def keys(catalog: Catalog) -> list[str]:
    return sorted(item.key for item in catalog.whole_view())


def update(**fields: object) -> FeedUpdate:
    return FeedUpdate(confirmed_age_ms=0, **fields)


class Sink:
    """Keeps the updates that are sent to a watcher."""

    def __init__(self) -> None:
        self.updates: list[CatalogUpdate] = []

    async def send(self, update: CatalogUpdate) -> None:
        self.updates.append(update)


async def serve(catalog: Catalog, watch: CatalogWatch) -> tuple[list[CatalogUpdate], object]:
    """Return what a watcher is sent until nothing more is due, and the failure if it is refused."""
    sink = Sink()
    task = asyncio.ensure_future(serve_catalog(catalog, watch, sink))
    done, _ = await asyncio.wait([task], timeout=0.05)
    task.cancel()
    return sink.updates, task.result().unwrap_err() if done else None


def make_catalog_feed() -> CatalogFeed:
    settings = SimpleNamespace(vm="v", failure_domain="d", state_replicas=(), has_role=bool)
    return CatalogFeed(settings=settings, peers=None)


class TestControlFeed:
    # Guards against: an entry that was away for long and keeps routes that were removed meanwhile
    async def test_route_that_is_not_in_a_whole_view_is_removed(self):
        feed = make_feed()
        index = RouteIndex(catalog=feed.catalog)
        items = [encode_item(OLD), encode_item(LASTING)]
        assert feed._apply(update(revision=1, items=items, whole=True))
        view = pack_items([LASTING, NEW])
        assert feed._apply(update(revision=9, packed_items=view, whole_catalog=True))
        assert keys(feed.catalog) == [LASTING.key, NEW.key]
        assert feed.catalog.revision == 9
        assert index.route(OLD.value.host, OLD.value.path_prefix) is None
        assert index.route(NEW.value.host, NEW.value.path_prefix) == NEW.value

    async def test_full_update_of_an_earlier_release_removes_nothing(self):
        feed = make_feed()
        assert feed._apply(update(revision=1, items=[encode_item(OLD)], whole=True))
        assert feed._apply(update(revision=9, items=[encode_item(NEW)], whole=True))
        assert keys(feed.catalog) == [OLD.key, NEW.key]

    async def test_view_from_a_replica_that_lags_behind_is_ignored(self):
        feed = make_feed()
        assert feed._apply(update(revision=9, items=[encode_item(NEW)]))
        assert feed._apply(update(revision=4, items=[], whole_catalog=True))
        assert keys(feed.catalog) == [NEW.key]

    # Guards against: entries and stagers whose memory grows with all changes ever made
    async def test_removed_routes_are_forgotten_at_the_receiver(self):
        feed = make_feed()
        for revision in range(1, 100):
            removed = [
                encode_item(
                    CatalogItem(key=f"route/{revision}-{each}", revision=revision, value=None)
                )
                for each in range(100)
            ]
            assert feed._apply(update(revision=revision, items=removed))
        assert len(feed.catalog.items()) < 2_000


class TestCatalogFeed:
    def test_view_in_parts_is_taken_once_it_is_complete(self):
        feed = make_catalog_feed()
        assert feed._apply(CatalogUpdate(1, [encode_item(OLD)], False))
        assert feed._apply(CatalogUpdate(0, [encode_item(LASTING)], True))
        assert keys(feed.catalog) == [OLD.key]
        assert feed._apply(CatalogUpdate(9, [encode_item(NEW)], True))
        assert keys(feed.catalog) == [LASTING.key, NEW.key]
        assert (feed.catalog.revision, feed.catalog.floor) == (9, 9)


class TestWatch:
    # Guards against: a process that was away for long and keeps items that were removed meanwhile
    async def test_watcher_below_the_floor_gets_a_whole_view(self):
        source = make_compacted_catalog()
        feed = make_catalog_feed()
        feed.catalog.apply([OLD], revision=2)
        updates, _ = await serve(source, CatalogWatch(2, True))
        assert all(update.whole for update in updates)
        assert all(feed._apply(update) for update in updates)
        assert keys(feed.catalog) == keys(source)
        assert feed.catalog.revision == source.revision

    async def test_watcher_at_the_floor_gets_a_delta_with_removed_items(self):
        source = make_compacted_catalog()
        updates, _ = await serve(source, CatalogWatch(source.floor, True))
        assert not any(update.whole for update in updates)
        assert sum(len(update.items) for update in updates) == len(source.items_after(source.floor))
        assert len(updates[0].items) <= ITEMS_PER_UPDATE

    # Guards against: a process of an earlier release that mixes a whole view with removed items
    async def test_watcher_of_an_earlier_release_is_refused_below_the_floor(self):
        source = make_compacted_catalog()
        updates, failure = await serve(source, CatalogWatch(2))
        assert updates == []
        assert failure is not None
        assert (await serve(source, CatalogWatch(0)))[0] != []
