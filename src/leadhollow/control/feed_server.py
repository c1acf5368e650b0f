"""Tells entries and stagers what changes: catalog, backend servers, loads, other replicas."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.control.confirmation import Confirmation
from leadhollow.control.engine_uses import EngineUses
from leadhollow.control.registry import Load, Registry
from leadhollow.failure import Failure
from leadhollow.membership.instances import Instance
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.membership.uses import encode_decisions
from leadhollow.observe.logs import get_logger
from leadhollow.settings.node import NodeRole
from leadhollow.state.catalog import Catalog, encode_item
from leadhollow.state.records import CatalogItem
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import (
    EngineUse,
    FeedProbe,
    FeedProbeReply,
    FeedUpdate,
    FeedWatch,
    ServiceDecisions,
)
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

HEARTBEAT_S = 0.25
LOAD_PAUSE_S = {NodeRole.ENTRY: 0.06, NodeRole.STAGER: 0.1}  # loads within it travel together
USE_PAUSE_S = 0.02
"""Uses within it travel together; an entry's view of what others placed is about half as old."""

DECISIONS_PAUSE_S = 0.1  # what was refused is told again after it, with whatever is told then
USE_BYTES_PER_S = 2_000.0  # half of what control may send to a daemon
USE_BYTES = 8  # one engine's use in an update
STAGER_PREFIXES = ("weights/", "service/")
"""What a stager needs of the catalog; its link is slow."""

log = get_logger("feed")


class _Subscriber:
    """What one watcher has not been told yet."""

    __slots__ = (
        "decisions_s",
        "engines",
        "instances",
        "loads",
        "role",
        "sent_naming_times",
        "sent_replicas",
        "sent_revision",
        "silent",
        "uses",
        "vm",
        "wake",
    )

    def __init__(self, *, vm: str, role: NodeRole, sent_revision: int) -> None:
        self.vm = vm
        self.role = role
        self.engines: dict[str, int] = {}  # numbers that stand for addresses on this feed
        self.uses: set[str] = set()  # engines whose use changed
        self.decisions_s = 0.0  # when it was last told what others refused
        self.sent_revision = sent_revision
        self.instances: dict[str, Instance] = {}
        self.silent: set[str] = set()  # incarnations that are heard no more
        self.loads: dict[str, Load] = {}
        self.sent_replicas: list[str] = []
        self.sent_naming_times = 0
        self.wake = asyncio.Event()

    def number(self, address: str) -> tuple[int, bool]:
        """Give the number of an engine, and whether the watcher has not been told it yet."""
        found = self.engines.get(address)
        if found is not None:
            return found, False
        self.engines[address] = len(self.engines)
        return self.engines[address], True

    def pause_s(self) -> float:
        """Give how long changes are gathered before they are told."""
        if not self.uses:
            return LOAD_PAUSE_S[self.role]
        return max(USE_PAUSE_S, len(self.uses) * USE_BYTES / USE_BYTES_PER_S)

    def wants(self, item: CatalogItem) -> bool:
        """Tell whether an item concerns this watcher."""
        return self.role is NodeRole.ENTRY or item.key.startswith(STAGER_PREFIXES)


class FeedServer:
    """Serves the feeds of one control replica.

    Parameters
    ----------
    replicas
        Gives address and failure domain of all replicas, separated by a blank.
    naming_times
        When versions were named.
    """

    __slots__ = (
        "_catalog",
        "_confirmation",
        "_naming_times",
        "_registry",
        "_replicas",
        "_subscribers",
        "_uses",
    )

    def __init__(
        self,
        *,
        catalog: Catalog,
        registry: Registry,
        uses: EngineUses,
        confirmation: Confirmation,
        replicas: Callable[[], list[str]],
        handlers: HandlerTable,
        naming_times: NamingTimes,
    ) -> None:
        self._catalog = catalog
        self._registry = registry
        self._uses = uses
        self._confirmation = confirmation
        self._replicas = replicas
        self._naming_times = naming_times
        self._subscribers: set[_Subscriber] = set()
        catalog.on_change(self._on_catalog)
        registry.on_change(self._on_registry)
        registry.on_silence(self._on_silence)
        uses.on_change(self._on_uses)
        confirmation.on_found(self._wake_all)
        handlers.on_stream(FeedWatch, self._on_watch)
        handlers.on_call(FeedProbe, self._on_probe)

    async def start(self) -> Result[None, Failure]:
        """Nothing to begin."""
        return Ok(None)

    async def drain(self) -> None:
        """Watchers move on when the connection ends."""

    async def stop(self) -> None:
        """Nothing to end."""

    async def _on_probe(
        self, request: FeedProbe, connection: Connection
    ) -> Result[FeedProbeReply, Failure]:
        age_ms = self._confirmation.age_ms() if self._registry.settled() else -1
        return Ok(FeedProbeReply(age_ms, self._catalog.revision, self._replicas()))

    async def _on_watch(self, request: FeedWatch, sink: StreamSink) -> Result[None, Failure]:
        role = _role(request.role)
        if role is None:
            return Err(Failure(code=Code.PEER_REFUSED, detail=f"unknown role {request.role!r}"))
        subscriber = _Subscriber(
            vm=request.vm, role=role, sent_revision=int(request.from_revision or 0)
        )
        self._subscribers.add(subscriber)
        log.info("watcher found", vm=request.vm, role=request.role)
        self._count_entries()
        try:
            await sink.send(self._whole(subscriber))
            while True:
                await self._wait(subscriber)
                await sink.send(self._delta(subscriber))
        finally:
            self._subscribers.discard(subscriber)
            self._uses.forget(request.vm)
            self._count_entries()
            log.info("watcher lost", vm=request.vm, role=request.role)

    async def _wait(self, subscriber: _Subscriber) -> None:
        try:
            async with asyncio.timeout(HEARTBEAT_S):
                await subscriber.wake.wait()
        except TimeoutError:
            return
        if not subscriber.instances and subscriber.sent_revision >= self._catalog.revision:
            await asyncio.sleep(subscriber.pause_s())

    def _whole(self, subscriber: _Subscriber) -> FeedUpdate:
        table = self._registry.table
        known = [*table.instances(), *table.departed()]
        subscriber.instances = {found.instance: found for found in known}
        subscriber.loads = {load.record.address: load for load in self._registry.loads()}
        if subscriber.role is NodeRole.ENTRY:
            subscriber.uses = self._uses.engines()
        update = self._delta(subscriber)
        update.whole = True
        return update

    def _delta(self, subscriber: _Subscriber) -> FeedUpdate:
        subscriber.wake.clear()
        now_s = asyncio.get_running_loop().time()
        items: list[bytes] = []
        if subscriber.sent_revision < self._catalog.revision:
            newer = self._catalog.items_after(subscriber.sent_revision)
            items = [encode_item(item) for item in newer if subscriber.wants(item)]
            subscriber.sent_revision = self._catalog.revision
        replicas = self._replicas()
        news = replicas if replicas != subscriber.sent_replicas else None
        subscriber.sent_replicas = replicas
        instances = [found.record(now_s) for found in subscriber.instances.values()]
        loads = [load.message(now_s) for load in subscriber.loads.values()]
        silent, subscriber.silent = sorted(subscriber.silent), set()
        subscriber.instances = {}
        subscriber.loads = {}
        engines, uses = self._news_of_uses(subscriber)
        confirmed_ms = self._confirmation.age_ms() if self._registry.settled() else -1
        named = None
        if subscriber.sent_naming_times != self._naming_times.changes:
            subscriber.sent_naming_times = self._naming_times.changes
            named = self._naming_times.ages()
        return FeedUpdate(
            self._catalog.revision,
            items,
            confirmed_ms,
            instances,
            loads,
            news,
            self._registry.entries(),
            False,
            engines,
            uses,
            named,
            self._news_of_decisions(subscriber, now_s),
            silent or None,
        )

    def _news_of_uses(self, subscriber: _Subscriber) -> tuple[list[str], list[EngineUse]]:
        """Give what other entries have at engines, where that changed."""
        changed, subscriber.uses = subscriber.uses, set()
        engines: list[str] = []
        uses: list[EngineUse] = []
        for address in changed:
            number, new = subscriber.number(address)
            if new:
                engines.append(address)
            use = self._uses.total(address, without=subscriber.vm)
            uses.append(EngineUse(number, use.requests, use.unread_tokens))
        return engines, uses

    def _news_of_decisions(
        self, subscriber: _Subscriber, now_s: float
    ) -> list[ServiceDecisions] | None:
        """Give what other entries refused lately, unless that was told a moment ago."""
        if subscriber.role is not NodeRole.ENTRY:
            return None
        if now_s - subscriber.decisions_s < DECISIONS_PAUSE_S:
            return None
        subscriber.decisions_s = now_s
        return encode_decisions(self._uses.decisions(without=subscriber.vm)) or None

    def _on_catalog(self, items: list[CatalogItem]) -> None:
        for subscriber in self._subscribers:
            if any(subscriber.wants(item) for item in items):
                subscriber.wake.set()

    def _on_registry(self, instances: list[Instance], loads: list[Load]) -> None:
        standings = [load for load in loads if load.news]
        for subscriber in self._subscribers:
            wanted = loads if subscriber.role is NodeRole.ENTRY else standings
            if not instances and not wanted:
                continue
            for instance in instances:
                subscriber.instances[instance.instance] = instance
                subscriber.silent.discard(instance.instance)
            for load in wanted:
                subscriber.loads[load.record.address] = load
            subscriber.wake.set()

    def _on_silence(self, silent: list[str]) -> None:
        """Take back that these are heard: watchers are told of changes only."""
        for subscriber in self._subscribers:
            for instance in silent:
                subscriber.instances.pop(instance, None)
                subscriber.silent.add(instance)
            subscriber.wake.set()

    def _on_uses(self, engines: set[str], vm: str) -> None:
        for subscriber in self._subscribers:
            if subscriber.role is NodeRole.ENTRY and subscriber.vm != vm:
                subscriber.uses |= engines
                subscriber.wake.set()

    def _wake_all(self) -> None:
        """Tell every watcher at once that a majority confirms what it was told."""
        for subscriber in self._subscribers:
            subscriber.wake.set()

    def _count_entries(self) -> None:
        self._registry.entries_here = sum(
            1 for subscriber in self._subscribers if subscriber.role is NodeRole.ENTRY
        )


def _role(name: str) -> NodeRole | None:
    return next((role for role in LOAD_PAUSE_S if role.value == name), None)


__all__ = ["FeedServer"]
