"""What one watcher of a control replica has not been told yet."""

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
"""What a stager needs of the catalog; its link is slow."""


class Subscriber:
    """One watcher, and what it has not been told yet.

    Parameters
    ----------
    sent_revision
        Revision of the catalog that it holds.
    takes_packed
        Whether it understands packed items.
    """

    __slots__ = (
        "_due_s",
        "_waits_until_s",
        "_wake",
        "decisions_s",
        "domain",
        "instances",
        "limit_lease",
        "limits",
        "loads",
        "rests",
        "role",
        "sent_naming_times",
        "sent_replicas",
        "sent_revision",
        "silent",
        "suspects",
        "suspects_mark",
        "takes_packed",
        "uses",
        "vm",
    )

    def __init__(
        self, *, vm: str, domain: str, role: NodeRole, sent_revision: int, takes_packed: bool
    ) -> None:
        self.vm = vm
        self.domain = domain
        self.role = role
        self.takes_packed = takes_packed
        self.uses = UseUpdateQueue()
        self._due_s = math.inf  # when it is to be told of something else than uses
        self.decisions_s = 0.0  # when it was last told what others refused
        self.sent_revision = sent_revision
        self.instances: dict[str, Instance] = {}
        self.silent: set[str] = set()  # incarnations that are heard no more
        self.loads: dict[str, Load] = {}
        self.limits: set[str] = set()  # lives whose limit it is to be told
        self.rests: set[str] = set()  # lives whose rest it is to be told
        self.limit_lease: LimitLease | None = None
        self.suspects = SuspectChanges()
        self.suspects_mark = 0  # of the table that it was told last
        self.sent_replicas: list[str] = []
        self.sent_naming_times = 0
        self._wake = asyncio.Event()
        self._waits_until_s = math.inf  # as of its last wait

    @property
    def due_s(self) -> float:
        """Time at which it is to be told something; infinite where there is nothing."""
        return min(self._due_s, self.uses.due_s)

    def schedule(self, due_s: float) -> None:
        """Have it told by a time."""
        self._due_s = min(self._due_s, due_s)
        self._wake_for(due_s)

    def add_use_changes(self, near: set[str], far: set[str], now_s: float) -> None:
        """Note engines of its own failure domain, and others, whose use changed."""
        self._wake_for(self.uses.add(near, far, now_s))

    async def wait(self, longest_s: float) -> None:
        """Wait until something is to be told, at most for a time."""
        loop = asyncio.get_running_loop()
        latest_s = loop.time() + longest_s
        while (until_s := min(latest_s, self.due_s)) > loop.time():
            self._waits_until_s = until_s
            self._wake.clear()
            try:
                async with asyncio.timeout_at(until_s):
                    await self._wake.wait()
            except TimeoutError:
                return

    def _wake_for(self, due_s: float) -> None:
        """Look again where something is to be told sooner than is waited for."""
        if due_s < self._waits_until_s:
            self._wake.set()

    def mark_sent(self) -> None:
        """Note that it is told everything but uses whose turn has not come."""
        self._due_s = math.inf


def wants(role: NodeRole, item: CatalogItem) -> bool:
    """Tell whether an item concerns watchers of a role."""
    return role is NodeRole.ENTRY or item.key.startswith(STAGER_PREFIXES)


__all__ = ["Subscriber", "wants"]
