"""State of one subscriber of a feed: what it was sent and what is pending for it."""

from __future__ import annotations

import asyncio
import math

from leadhollow.control.registry import ReportedLoad
from leadhollow.control.use_updates import UseUpdateQueue
from leadhollow.membership.instances import Instance
from leadhollow.membership.suspect_news import SuspectChanges
from leadhollow.settings.node import NodeRole
from leadhollow.state.records import CatalogItem
from leadhollow.wire.generated.ttypes import LimitLease

STAGER_PREFIXES = ("weights/", "service/")
"""Catalog keys that stagers need; they get no others because their links are slow."""


class Subscriber:
    """An entry or a stager that follows the feed, with its pending changes.

    Parameters
    ----------
    sent_revision
        Catalog revision that the subscriber has.
    takes_packed
        Whether the subscriber supports packed items.
    takes_whole_catalog
        Whether the subscriber supports whole views of the catalog that remove items.
    """

    __slots__ = (
        "_due_s",
        "_wait_until_s",
        "_wake",
        "backoffs",
        "decisions_s",
        "domain",
        "instances",
        "limit_lease",
        "limits",
        "loads",
        "role",
        "sent_naming_times",
        "sent_replicas",
        "sent_revision",
        "silent",
        "suspects",
        "suspects_checksum",
        "takes_packed",
        "takes_whole_catalog",
        "uses",
        "vm",
    )

    def __init__(
        self,
        *,
        vm: str,
        domain: str,
        role: NodeRole,
        sent_revision: int,
        takes_packed: bool,
        takes_whole_catalog: bool,
    ) -> None:
        self.vm = vm
        self.domain = domain
        self.role = role
        self.takes_packed = takes_packed
        self.takes_whole_catalog = takes_whole_catalog
        self.uses = UseUpdateQueue()
        self._due_s = math.inf  # when changes other than uses are due
        self.decisions_s = 0.0  # when decisions were last sent
        self.sent_revision = sent_revision
        self.instances: dict[str, Instance] = {}
        self.silent: set[str] = set()  # instances that have become silent
        self.loads: dict[str, ReportedLoad] = {}
        self.limits: set[str] = set()  # lives whose limit is pending
        self.backoffs: set[str] = set()  # lives whose back-off is pending
        self.limit_lease: LimitLease | None = None
        self.suspects = SuspectChanges()
        self.suspects_checksum = 0  # checksum of the table that was sent last
        self.sent_replicas: list[str] = []
        self.sent_naming_times = 0
        self._wake = asyncio.Event()
        self._wait_until_s = math.inf  # end of the current wait

    @property
    def due_s(self) -> float:
        """Time at which the next update is due; infinite if nothing is pending."""
        return min(self._due_s, self.uses.due_s)

    def schedule(self, due_s: float) -> None:
        """Schedule an update for a time, unless an earlier one is scheduled."""
        self._due_s = min(self._due_s, due_s)
        self._wake_for(due_s)

    def add_use_changes(self, local: set[str], remote: set[str], now_s: float) -> None:
        """Add engines whose use changed, split by whether they are in the own failure domain."""
        self._wake_for(self.uses.add(local, remote, now_s))

    async def wait(self, max_s: float) -> None:
        """Wait until an update is due or a maximum time has passed."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + max_s
        while (until_s := min(deadline_s, self.due_s)) > loop.time():
            self._wait_until_s = until_s
            self._wake.clear()
            try:
                async with asyncio.timeout_at(until_s):
                    await self._wake.wait()
            except TimeoutError:
                return

    def _wake_for(self, due_s: float) -> None:
        """Wake the waiting task if the update is due before its wait ends."""
        if due_s < self._wait_until_s:
            self._wake.set()

    def mark_sent(self) -> None:
        """Clear the schedule; uses keep their own due time."""
        self._due_s = math.inf


def wants(role: NodeRole, item: CatalogItem) -> bool:
    """Return whether subscribers of a role need a catalog item."""
    return role is NodeRole.ENTRY or item.key.startswith(STAGER_PREFIXES)


__all__ = ["Subscriber", "wants"]
