"""A route table as items of the catalog, so that a change travels as what it changes."""

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
    """Give every item of a table by its key."""
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
    table: RouteTable, held: dict[str, CatalogItem], *, revision: int
) -> list[CatalogItem]:
    """Compare a table with what is held.

    Parameters
    ----------
    held
        Items of the catalog by key.
    revision
        Revision of what changes.

    Returns
    -------
    list of CatalogItem
        Items that are new or different, and those that are gone, without a value.
    """
    values = table_values(table)
    changed = [
        CatalogItem(key=key, revision=revision, value=value)
        for key, value in values.items()
        if key not in held or held[key].value != value
    ]
    gone = [
        CatalogItem(key=key, revision=revision, value=None)
        for key, item in held.items()
        if key.startswith(_PREFIXES) and key not in values and item.value is not None
    ]
    return changed + gone


def accepts_service(catalog: Catalog, name: str) -> bool:
    """Tell whether the table in force names a service; without any table every one may come."""
    if catalog.item(TABLE_KEY) is None:
        return True
    return catalog.value(f"{SERVICE_PREFIX}{name}", ServiceRecord) is not None


__all__ = ["LIMITS_KEY", "TABLE_KEY", "changed_items", "names_service", "table_values"]
