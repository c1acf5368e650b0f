"""Tests of the regions of a call whose route table changes while it is in progress."""

from __future__ import annotations

import hashlib

from leadhollow.forward.call_regions import CallRegions
from leadhollow.routing.catalog_items import changed_items
from leadhollow.routing.index import RouteIndex
from leadhollow.routing.model import CallKind, Organisation, Route, RouteTable, Target
from leadhollow.state.catalog import Catalog

HOST = "h.example"
KEY = "k"


class Tables:
    """A route index whose table can be replaced."""

    def __init__(self) -> None:
        self._catalog = Catalog()
        self.index = RouteIndex(catalog=self._catalog)
        self._number = 0

    def put(
        self,
        *,
        route: tuple[str, ...] | None,
        group: tuple[str, ...] | None,
    ) -> None:
        """Put a table with these regions of the route and of the group; None leaves one out."""
        self._number += 1
        routes = [
            Route(
                name="r",
                host=HOST,
                path_prefix="/a/",
                kind=CallKind.STREAM,
                timeout_ms=1_000,
                objective_ms=500,
                targets=(Target(service="s", weight=1.0),),
                allowed_regions=regions,
            )
            for regions in (route,)
            if regions is not None
        ]
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        groups = [
            Organisation(name="g", key_sha256s=(digest,), allowed_regions=regions)
            for regions in (group,)
            if regions is not None
        ]
        table = RouteTable(
            number=self._number,
            routes=tuple(routes),
            services=(),
            organisations=tuple(groups),
            keyed=True,
        )
        items = changed_items(table, self._catalog.items(), revision=self._number)
        self._catalog.apply(items, revision=self._number)

    def call(self) -> CallRegions:
        """Return the regions of a call that arrives now."""
        route = self.index.route(HOST, "/a/b")
        assert route is not None
        return CallRegions(
            routes=self.index,
            host=HOST,
            path="/a/b",
            key=KEY,
            route=route,
            organisation=self.index.organisation(KEY),
        )


class TestCallRegions:
    def test_satisfy_route_and_group(self):
        tables = Tables()
        tables.put(route=("north", "south"), group=("south", "east"))
        assert tables.call().allowed() == {"south"}
        tables.put(route=(), group=())
        assert tables.call().allowed() is None
        tables.put(route=("north",), group=("south",))
        assert tables.call().allowed() == frozenset()

    # a stream that began before its route was bound was resumed in another region
    def test_follow_the_table_in_force(self):
        tables = Tables()
        tables.put(route=(), group=())
        call = tables.call()
        tables.put(route=("north",), group=())
        assert call.allowed() == {"north"}
        tables.put(route=("north",), group=("south",))
        assert call.allowed() == frozenset()
        tables.put(route=(), group=())
        assert call.allowed() is None

    # a call lost its bound because its route or its key was removed while it was in progress
    def test_outlive_their_route_and_key(self):
        tables = Tables()
        tables.put(route=("north", "south"), group=("south",))
        call = tables.call()
        tables.put(route=None, group=None)
        assert call.allowed() == {"south"}
