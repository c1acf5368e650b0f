"""Index of the route table that finds the route of a request and the group of a key."""

from __future__ import annotations

import hashlib
from collections import Counter

from leadhollow.observe.logs import get_logger
from leadhollow.routing.catalog_items import LIMITS_KEY, TABLE_KEY
from leadhollow.routing.model import (
    CallerLimits,
    Organisation,
    Route,
    ServiceRecord,
    TableNumber,
)
from leadhollow.routing.ranks import Rank, ServiceRanks
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem, CatalogValue

log = get_logger("routes")


class _HostRoutes:
    """Routes of one host by path prefix.

    A look-up takes one step for each distinct prefix length.
    """

    __slots__ = ("_by_prefix", "_lengths", "_longest_first")

    def __init__(self) -> None:
        self._by_prefix: dict[str, Route] = {}
        self._lengths: Counter[int] = Counter()
        self._longest_first: list[int] = []

    def add(self, route: Route) -> None:
        """Add a route, replacing one with the same prefix."""
        if route.path_prefix not in self._by_prefix:
            self._adjust_length_count(len(route.path_prefix), 1)
        self._by_prefix[route.path_prefix] = route

    def remove(self, route: Route) -> None:
        """Remove a route unless another one has replaced it."""
        if self._by_prefix.get(route.path_prefix) is route:
            del self._by_prefix[route.path_prefix]
            self._adjust_length_count(len(route.path_prefix), -1)

    def find(self, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if no route matches."""
        for length in self._longest_first:
            found = self._by_prefix.get(path[:length])
            if found is not None:
                return found
        return None

    def _adjust_length_count(self, length: int, change: int) -> None:
        self._lengths[length] += change
        if self._lengths[length] <= 0:
            del self._lengths[length]
        if len(self._lengths) != len(self._longest_first):
            self._longest_first = sorted(self._lengths, reverse=True)


class RouteIndex:
    """Look-up index over the route table of a catalog.

    The cost of an update depends on the number of changed items, not on the size of the table.

    Parameters
    ----------
    catalog
        Catalog whose changes update the index; all items of one update are applied together.

    Attributes
    ----------
    updates
        Number of updates that were applied; while it is the same, so is every look-up.
    """

    __slots__ = (
        "_by_host",
        "_by_key",
        "_organisations",
        "_ranks",
        "keyed",
        "limits",
        "number",
        "services",
        "updates",
    )

    def __init__(self, *, catalog: Catalog) -> None:
        self._by_host: dict[str, _HostRoutes] = {}
        self._by_key: dict[str, CatalogValue] = {}  # indexed values by the key of their item
        self._organisations: dict[str, Organisation] = {}
        self._ranks = ServiceRanks()
        self.services: dict[str, ServiceRecord] = {}
        self.limits = CallerLimits()
        self.number = 0
        self.updates = 0
        self.keyed = False
        catalog.on_change(self._on_change)
        self._on_change(list(catalog.items().values()))

    @property
    def has_table(self) -> bool:
        """Whether a route table has been received."""
        return TABLE_KEY in self._by_key

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if no route matches."""
        routes = self._by_host.get(host.lower())
        return None if routes is None else routes.find(path)

    def organisation(self, key: str) -> Organisation | None:
        """Return the group of a key, None if the key is unknown."""
        return self._organisations.get(hashlib.sha256(key.encode()).hexdigest())

    def ranks(self, service: str) -> tuple[Rank, ...]:
        """Return the distinct ranks of the requests for a service, in ascending order."""
        return self._ranks.of(service, keyed=self.keyed)

    def _on_change(self, items: list[CatalogItem]) -> None:
        """Apply changed items.

        All previous values are removed before new ones are added, because a key may move from one
        group to another.
        """
        self.updates += 1
        for item in items:
            previous = self._by_key.pop(item.key, None)
            if previous is not None:
                self._leave_out(previous)
        for item in items:
            if item.value is not None:
                self._add(item.key, item.value)
        if any(item.key == TABLE_KEY for item in items):
            log.info("route table in force", number=self.number, items=len(items))

    def _leave_out(self, value: CatalogValue) -> None:
        match value:
            case Route():
                self._by_host[value.host.lower()].remove(value)
                self._ranks.remove_route(value)
            case ServiceRecord():
                del self.services[value.name]
            case Organisation():
                self._ranks.remove_group(value)
                for key in value.key_sha256s:
                    self._organisations.pop(key, None)

    def _add(self, key: str, value: CatalogValue) -> None:
        match value:
            case Route():
                self._by_host.setdefault(value.host.lower(), _HostRoutes()).add(value)
                self._ranks.add_route(value)
            case ServiceRecord():
                self.services[value.name] = value
            case Organisation():
                self._ranks.add_group(value)
                self._organisations.update(dict.fromkeys(value.key_sha256s, value))
            case CallerLimits() if key == LIMITS_KEY:
                self.limits = value
            case TableNumber() if key == TABLE_KEY:
                self.number = value.number
                self.keyed = value.keyed
            case _:
                return
        self._by_key[key] = value


__all__ = ["RouteIndex"]
