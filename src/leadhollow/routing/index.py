"""Finds the route of a request and the group of a key."""

from __future__ import annotations

import hashlib

from leadhollow.routing.model import (
    CallerLimits,
    Organisation,
    Route,
    ServiceRecord,
    TableNumber,
)
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem


class RouteIndex:
    """The route table of a catalog, kept ready for look-ups.

    Parameters
    ----------
    catalog
        Its changes are followed; all items of one update are taken together.
    """

    __slots__ = (
        "_by_host",
        "_catalog",
        "_organisations",
        "keyed",
        "limits",
        "number",
        "services",
    )

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog
        self._by_host: dict[str, list[Route]] = {}
        self._organisations: dict[str, Organisation] = {}
        self.services: dict[str, ServiceRecord] = {}
        self.limits = CallerLimits()
        self.number = 0
        self.keyed = False
        catalog.on_change(self._on_change)
        self._rebuild()

    @property
    def known(self) -> bool:
        """Whether any table has been received."""
        return self.number > 0

    def route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Find the group that holds a key."""
        return self._organisations.get(hashlib.sha256(key.encode()).hexdigest())

    def _on_change(self, items: list[CatalogItem]) -> None:
        self._rebuild()

    def _rebuild(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self._catalog.values(Route):
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_host = by_host
        self.services = {found.name: found for found in self._catalog.values(ServiceRecord)}
        self._organisations = {
            key: organisation
            for organisation in self._catalog.values(Organisation)
            for key in organisation.key_sha256s
        }
        self.limits = next(iter(self._catalog.values(CallerLimits)), CallerLimits())
        for number in self._catalog.values(TableNumber):
            self.number = number.number
            self.keyed = number.keyed


__all__ = ["RouteIndex"]
