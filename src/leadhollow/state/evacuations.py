"""Evacuated failure domains in the replicated state."""

from __future__ import annotations

from leadhollow.codes import Code
from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import Answer, SetEvacuation
from leadhollow.state.records import CatalogItem, Evacuation, evacuation_key


def set_evacuation(
    command: SetEvacuation, catalog: Catalog, *, revision: int
) -> tuple[Answer, list[CatalogItem]]:
    """Evacuate or restore a failure domain; nothing is evacuated or restored twice.

    An order that was received before a later, opposite order was applied is rejected. Otherwise a
    copy of an order that a suspended replica or a slow connection held back would undo a newer one
    that was acknowledged in the meantime. For this, an order that finds its state already there
    renews the revision of that state.
    """
    item = catalog.item(evacuation_key(command.domain))
    current = None if item is None else item.value
    opposite = (current is not None) != command.evacuated
    if opposite and item is not None and item.revision > command.seen_revision:
        return Answer(code=Code.ORDER_OVERTAKEN, detail=command.domain, current=(item,)), []
    value = current
    if opposite:
        started = Evacuation(domain=command.domain, since_ms=command.received_ms)
        value = started if command.evacuated else None
    changed = CatalogItem(key=evacuation_key(command.domain), revision=revision, value=value)
    return Answer(revision=revision), [changed]


def evacuations(catalog: Catalog) -> list[Evacuation]:
    """Return the evacuated failure domains, sorted by name."""
    return sorted(catalog.values(Evacuation), key=lambda found: found.domain)


__all__ = ["evacuations", "set_evacuation"]
