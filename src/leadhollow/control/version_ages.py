"""How long ago versions were named, as the control replicas together know it.

A replica knows a naming's time only where it takes it in while a majority confirms that it is up to
date. One that starts, or was cut off, takes it from the others.
"""

from __future__ import annotations

import asyncio

from result import Ok, Result

from leadhollow.control.confirmation import ConfirmationMonitor
from leadhollow.failure import Failure
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem
from leadhollow.state.weights_versions import VERSIONS_KEPT, versions_of
from leadhollow.weights.named import NamedVersion

MAX_CONFIRMATION_AGE_MS = 500  # a replica that is in touch is confirmed about five times in it


class VersionAgeTracker:
    """Notes namings on one control replica.

    Attributes
    ----------
    times
        What is known, for others too.
    """

    __slots__ = ("_catalog", "_confirmation", "times")

    def __init__(self, *, catalog: Catalog, confirmation: Confirmation) -> None:
        self._catalog = catalog
        self._confirmation = confirmation
        self.times = NamingTimes(clock=asyncio.get_running_loop().time)
        catalog.on_change(self._on_change)

    async def start(self) -> Result[None, Failure]:
        """Nothing to begin: namings come with the catalog."""
        return Ok(None)

    async def drain(self) -> None:
        """Nothing is in progress."""

    async def stop(self) -> None:
        """Nothing to end."""

    def _on_change(self, items: list[CatalogItem]) -> None:
        if not 0 <= self._confirmation.age_ms() < MAX_CONFIRMATION_AGE_MS:
            return
        for item in items:
            if isinstance(item.value, NamedVersion) and item.value.named:
                self.times.record(item.value.model, item.value.number)
                self._forget(item.value.model)

    def _forget(self, model: str) -> None:
        kept = versions_of(self._catalog, model)[:VERSIONS_KEPT]
        self.times.forget(model, min(found.number for found in kept))


__all__ = ["VersionAges"]
