"""Converts a route table to catalog items, so that only changed items are sent on an update."""

from __future__ import annotations

from leadhollow.routing.model import RouteTable, ServiceRecord, TableNumber
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem, CatalogValue

TABLE_KEY = "table"
LIMITS_KEY = "limits"
ROUTE_PREFIX = "route/"
SERVICE_PREFIX = "service/"
ORGANISATION_PREFIX = "organisation/"
_PREFIXES = (ROUTE_PREFIX, SERVICE_PREFIX, ORGANISATION_PREFIX)


def table_values(table: RouteTable) -> dict[str, CatalogValue]:
    """Return the values of all catalog items of a table, by key."""
    values: dict[str, CatalogValue] = {
        TABLE_KEY: TableNumber(number=table.number, keyed=table.keyed),
        LIMITS_KEY: table.limits,
    }
    for route in table.routes:
        values[f"{ROUTE_PREFIX}{route.host}{route.path_prefix}"] = route
    for service in table.services:
        values[f"{SERVICE_PREFIX}{service.name}"] = service
    for organisation in table.organisations:
        values[f"{ORGANISATION_PREFIX}{organisation.name}"] = organisation
    return values


def changed_items(
    table: RouteTable, current: dict[str, CatalogItem], *, revision: int
) -> list[CatalogItem]:
    """Return the items that turn the current catalog into a new table.

    Parameters
    ----------
    current
        Current items of the catalog by key.
    revision
        Revision of the changed items.

    Returns
    -------
    list of CatalogItem
        New and changed items, then removed ones, which have no value.
    """
    values = table_values(table)
    changed = [
        CatalogItem(key=key, revision=revision, value=value)
        for key, value in values.items()
        if (existing := current.get(key)) is None or existing.value != value
    ]
    removed = [
        CatalogItem(key=key, revision=revision, value=None)
        for key, item in current.items()
        if item.value is not None and key not in values and key.startswith(_PREFIXES)
    ]
    return changed + removed


def accepts_service(catalog: Catalog, name: str) -> bool:
    """Return whether the table in force has a service; without a table, any service is accepted."""
    if catalog.item(TABLE_KEY) is None:
        return True
    return find_service(catalog, name) is not None


def find_service(catalog: Catalog, name: str) -> ServiceRecord | None:
    """Return a service of the table in force, or None."""
    return catalog.value(f"{SERVICE_PREFIX}{name}", ServiceRecord)


def has_cold_limit(catalog: Catalog, name: str) -> bool:
    """Return whether the cold servers of a service take a limited rate of requests."""
    service = find_service(catalog, name)
    return service is not None and service.cold_requests_per_s > 0


__all__ = [
    "LIMITS_KEY",
    "TABLE_KEY",
    "accepts_service",
    "changed_items",
    "find_service",
    "has_cold_limit",
    "table_values",
]
