"""Keeps the catalog of this process up to date with the replicated state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import PeerSettings, Role, Settings
from leadhollow.state.catalog import Catalog, decode_item
from leadhollow.state.records import CatalogItem
from leadhollow.wire.generated.ttypes import AppliedReport, CatalogUpdate, CatalogWatch
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.streams import CallStream

RECONNECT_DELAY_S = 0.1

log = get_logger("catalog")


class CatalogFeed(TaskService):
    """Follows one source of catalog updates at a time.

    A domain role watches the state replicas, those of its own failure domain first. Every other
    process watches the domain roles of its failure domain, which keeps the leader's fan-out small.

    Attributes
    ----------
    catalog
        The catalog as of the last update.
    """

    __slots__ = ("_peers", "_report", "_settings", "_sources", "_view", "catalog")

    def __init__(self, *, settings: Settings, peers: PeerPool) -> None:
        self._settings = settings
        self._peers = peers
        self._sources = catalog_sources(settings)
        super().__init__()
        self._report: Callable[[int], None] | None = None
        self._view: list[CatalogItem] = []  # parts of a whole view that is not complete yet
        self.catalog = Catalog()

    async def _work(self) -> None:
        while True:
            for source in self._sources:
                connected = await self._peers.connection(source.address)
                if connected.is_err():
                    continue
                stream = connected.unwrap().stream(CatalogWatch(self.catalog.revision, True))
                await self._receive_updates(source, stream)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _receive_updates(self, source: PeerSettings, stream: CallStream) -> None:
        self._view = []
        while True:
            received = await stream.next()
            if received.is_err():
                log.info("catalog source lost", source=source.vm, failure=received.unwrap_err())
                return
            update = received.unwrap()
            if update is None:
                return
            if not self._apply(update):
                stream.cancel()
                return
            await self._report_applied()

    def _apply(self, update: CatalogUpdate) -> bool:
        try:
            items = [decode_item(data) for data in update.items or ()]
        except msgspec.MsgspecError as error:
            log.error("catalog update not understood", error=str(error))
            return False
        revision = update.revision or 0
        if not update.whole:
            self.catalog.apply(items, revision=revision)
            return True
        self._view += items
        if revision:
            view, self._view = self._view, []
            self.catalog.replace(view, revision=revision, floor=revision)
        return True

    async def _report_applied(self) -> None:
        roles = "+".join(role.value for role in self._settings.roles)
        report = AppliedReport(
            self._settings.vm, self._settings.failure_domain, self.catalog.revision, roles
        )
        for replica in self._settings.own_domain_replicas():
            connected = await self._peers.connection(replica.address)
            if connected.is_ok():
                connected.unwrap().oneway(report)


def catalog_sources(settings: Settings) -> list[PeerSettings]:
    """Return the processes that can serve catalog updates, in order of preference."""
    if settings.has_role(Role.DOMAIN):
        candidates = list(settings.state_replicas)
    else:
        candidates = list(settings.own_domain_replicas())
    candidates.sort(
        key=lambda peer: (peer.vm != settings.vm, peer.failure_domain != settings.failure_domain)
    )
    return candidates


__all__ = ["CatalogFeed", "catalog_sources"]
