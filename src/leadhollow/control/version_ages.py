"""Tracks how long ago versions were named, and shares this between control replicas.

A replica knows the time of a naming only if it applies the naming while a majority confirms that
the replica is up to date. A replica that starts or was cut off gets the time from the others.
"""

from __future__ import annotations

import asyncio

from result import Ok, Result

from leadhollow.control.confirmation import ConfirmationMonitor
from leadhollow.failure import Failure
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion

MAX_CONFIRMATION_AGE_MS = 500  # a connected replica is confirmed every 200 ms


class VersionAgeTracker:
    """Records when versions are named, on one control replica.

    Attributes
    ----------
    times
        Known naming times; other services read and extend them.
    """

    __slots__ = ("_confirmation", "times")

    def __init__(self, *, catalog: Catalog, confirmation: ConfirmationMonitor) -> None:
        self._confirmation = confirmation
        self.times = NamingTimes(clock=asyncio.get_running_loop().time)
        catalog.on_change(self._on_change)

    async def start(self) -> Result[None, Failure]:
        """Do nothing; namings arrive with catalog changes."""
        return Ok(None)

    async def drain(self) -> None:
        """Do nothing; no work is in progress."""

    async def stop(self) -> None:
        """Do nothing; there is no task to stop."""

    def _on_change(self, items: list[CatalogItem]) -> None:
        if not 0 <= self._confirmation.age_ms() < MAX_CONFIRMATION_AGE_MS:
            return
        for item in items:
            if isinstance(item.value, NamedVersion) and item.value.named:
                self.times.record(item.value.model, item.value.number)


__all__ = ["VersionAgeTracker"]
