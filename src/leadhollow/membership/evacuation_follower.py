"""Applies the evacuations of the replicated state to the rules of failure domains."""

from __future__ import annotations

from leadhollow.decide.eligibility import FailureDomains
from leadhollow.observe.logs import get_logger
from leadhollow.state.catalog import Catalog
from leadhollow.state.evacuations import evacuations
from leadhollow.state.records import EVACUATION_PREFIX, CatalogItem

log = get_logger("domains")


class EvacuationFollower:
    """Sets the evacuated failure domains now and whenever the catalog changes."""

    __slots__ = ("_catalog", "_domains")

    def __init__(self, *, catalog: Catalog, domains: FailureDomains) -> None:
        self._catalog = catalog
        self._domains = domains
        catalog.on_change(self._on_change)
        self._on_change(list(catalog.items().values()))

    def _on_change(self, items: list[CatalogItem]) -> None:
        changed = [item for item in items if item.key.startswith(EVACUATION_PREFIX)]
        if not changed:
            return
        before = self._domains.evacuated
        self._domains.set_evacuated([found.domain for found in evacuations(self._catalog)])
        for item in changed:
            domain = item.key.removeprefix(EVACUATION_PREFIX)
            evacuated = domain in self._domains.evacuated
            if evacuated != (domain in before):
                message = "failure domain evacuated" if evacuated else "failure domain restored"
                log.warning(message, domain=domain, revision=item.revision)


__all__ = ["EvacuationFollower"]
