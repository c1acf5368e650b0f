"""Feeds of a control replica, which send changed state to entries and stagers.

Updates contain the catalog, backend servers, loads, other replicas and, for entries, further state.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.control.catalog_delta import CatalogDeltaEncoder
from leadhollow.control.confirmation import ConfirmationMonitor
from leadhollow.control.entry_updates import EntryUpdateBuilder
from leadhollow.control.limit_relay import LimitRelay
from leadhollow.control.registry import Registry, ReportedLoad
from leadhollow.control.self_report_relay import SelfReportRelay
from leadhollow.control.subscriber import Subscriber, wants
from leadhollow.control.suspect_relay import SuspectRelay
from leadhollow.control.use_aggregator import UseAggregator
from leadhollow.failure import Failure
from leadhollow.membership.instances import Instance
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.observe.logs import get_logger
from leadhollow.settings.node import NodeRole
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem
from leadhollow.state.watch import too_old
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import (
    FeedProbe,
    FeedProbeReply,
    FeedUpdate,
    FeedWatch,
)
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

HEARTBEAT_S = {NodeRole.ENTRY: 0.25, NodeRole.STAGER: 0.7}
"""An entry abandons a feed that is silent for 0.9 s, a stager one that is silent for 2.5 s."""

LOAD_BATCH_WINDOW_S = {NodeRole.ENTRY: 0.06, NodeRole.STAGER: 0.1}
"""Loads within it are sent in one update."""

REPLICAS_VALID_S = 0.1  # how long the list of replicas is cached
log = get_logger("feed")


class FeedServer:
    """Serves the feeds of one control replica.

    Parameters
    ----------
    replicas
        Returns address and failure domain of each replica, separated by a space.
    naming_times
        When versions were named.
    """

    __slots__ = (
        "_cached_replicas",
        "_catalog",
        "_catalog_deltas",
        "_confirmation",
        "_entry_updates",
        "_naming_times",
        "_registry",
        "_replicas",
        "_replicas_cached_s",
        "_subscribers",
    )

    def __init__(
        self,
        *,
        catalog: Catalog,
        registry: Registry,
        uses: UseAggregator,
        confirmation: ConfirmationMonitor,
        replicas: Callable[[], list[str]],
        handlers: HandlerTable,
        naming_times: NamingTimes,
        suspects: SuspectRelay,
        limits: LimitRelay,
        self_reports: SelfReportRelay,
    ) -> None:
        self._catalog = catalog
        self._catalog_deltas = CatalogDeltaEncoder(catalog=catalog, wants=wants)
        self._registry = registry
        self._confirmation = confirmation
        self._replicas = replicas
        self._cached_replicas: list[str] = []
        self._replicas_cached_s = -math.inf
        self._naming_times = naming_times
        self._subscribers: set[Subscriber] = set()
        self._entry_updates = EntryUpdateBuilder(
            entries=self._entry_subscribers,
            registry=registry,
            uses=uses,
            suspects=suspects,
            limits=limits,
            self_reports=self_reports,
        )
        catalog.on_change(self._on_catalog)
        registry.on_change(self._on_registry)
        registry.on_silence(self._on_silence)
        confirmation.on_quorum_regained(self._notify_all)
        handlers.on_stream(FeedWatch, self._on_watch)
        handlers.on_call(FeedProbe, self._on_probe)

    def entries_told(self, revision: int) -> tuple[int, int]:
        """Return how many entries were sent a revision of the catalog, and how many follow."""
        entries = self._entry_subscribers()
        return sum(entry.sent_revision >= revision for entry in entries), len(entries)

    async def start(self) -> Result[None, Failure]:
        """Do nothing; feeds start when subscribers connect."""
        return Ok(None)

    async def drain(self) -> None:
        """Do nothing; subscribers switch to another replica when the connection closes."""

    async def stop(self) -> None:
        """Do nothing; feeds end with their connections."""

    async def _on_probe(
        self, request: FeedProbe, connection: Connection
    ) -> Result[FeedProbeReply, Failure]:
        age_ms = self._confirmation.age_ms() if self._registry.settled() else -1
        return Ok(FeedProbeReply(age_ms, self._catalog.revision, self._replicas()))

    async def _on_watch(self, request: FeedWatch, sink: StreamSink) -> Result[None, Failure]:
        role = _role(request.role)
        if role is None:
            return Err(Failure(code=Code.PEER_REFUSED, detail=f"unknown role {request.role!r}"))
        subscriber = Subscriber(
            vm=request.vm,
            domain=request.failure_domain or "",
            role=role,
            sent_revision=int(request.from_revision or 0),
            takes_packed=bool(request.takes_packed),
            takes_whole_catalog=bool(request.takes_whole_catalog),
        )
        if self._is_too_old(subscriber):
            return Err(self._refuse(subscriber))
        self._naming_times.merge(request.named or ())
        self._subscribers.add(subscriber)
        log.info("subscriber connected", vm=request.vm, role=request.role)
        self._update_entry_count()
        try:
            await sink.send(self._full_update(subscriber))
            while True:
                await subscriber.wait(HEARTBEAT_S[role])
                if self._is_too_old(subscriber):
                    return Err(self._refuse(subscriber))
                await sink.send(self._delta(subscriber))
        finally:
            self._subscribers.discard(subscriber)
            self._entry_updates.remove_entry(request.vm)
            self._update_entry_count()
            log.info("subscriber disconnected", vm=request.vm, role=request.role)

    def _is_too_old(self, subscriber: Subscriber) -> bool:
        """Return whether a subscriber needs a whole view that its release does not support."""
        sent = subscriber.sent_revision
        if subscriber.takes_whole_catalog or sent == 0:
            return False
        return self._catalog.needs_whole_view(sent)

    def _refuse(self, subscriber: Subscriber) -> Failure:
        failure = too_old(subscriber.sent_revision, floor=self._catalog.floor)
        log.warning("subscriber refused", vm=subscriber.vm, failure=str(failure))
        return failure

    def _full_update(self, subscriber: Subscriber) -> FeedUpdate:
        table = self._registry.table
        known = [*table.instances(), *table.deregistered()]
        subscriber.instances = {instance.instance: instance for instance in known}
        subscriber.loads = {load.record.address: load for load in self._registry.loads()}
        if subscriber.role is NodeRole.ENTRY:
            self._entry_updates.mark_everything_pending(subscriber)
        update = self._delta(subscriber)
        update.whole = True
        return update

    def _delta(self, subscriber: Subscriber) -> FeedUpdate:
        subscriber.mark_sent()
        now_s = asyncio.get_running_loop().time()
        whole_catalog = self._catalog.needs_whole_view(subscriber.sent_revision)
        items, packed_items = self._catalog_deltas.encode_after(
            subscriber.sent_revision, subscriber.role, takes_packed=subscriber.takes_packed
        )
        subscriber.sent_revision = max(subscriber.sent_revision, self._catalog.revision)
        replicas = self._get_replicas(now_s)
        changed_replicas = replicas if replicas != subscriber.sent_replicas else None
        subscriber.sent_replicas = replicas
        instances = [instance.to_record(now_s) for instance in subscriber.instances.values()]
        loads = [load.to_record(now_s) for load in subscriber.loads.values()]
        silent, subscriber.silent = sorted(subscriber.silent), set()
        subscriber.instances = {}
        subscriber.loads = {}
        confirmed_ms = self._confirmation.age_ms() if self._registry.settled() else -1
        named = None
        if subscriber.sent_naming_times != self._naming_times.changes:
            subscriber.sent_naming_times = self._naming_times.changes
            named = self._naming_times.ages()
        update = FeedUpdate(
            revision=self._catalog.revision,
            items=items,
            packed_items=packed_items,
            confirmed_age_ms=confirmed_ms,
            instances=instances,
            loads=loads,
            replicas=changed_replicas,
            entries=self._registry.live_entries(),
            whole=False,
            named=named,
            silent=silent or None,
            whole_catalog=whole_catalog,
        )
        if subscriber.role is NodeRole.ENTRY:
            self._entry_updates.fill(update, subscriber, now_s)
        return update

    def _get_replicas(self, now_s: float) -> list[str]:
        """Return all replicas, cached because they rarely change and every update needs them."""
        if now_s - self._replicas_cached_s > REPLICAS_VALID_S:
            self._replicas_cached_s = now_s
            self._cached_replicas = self._replicas()
        return self._cached_replicas

    def _on_catalog(self, items: list[CatalogItem]) -> None:
        for subscriber in self._subscribers:
            if any(wants(subscriber.role, item) for item in items):
                subscriber.schedule(_now_s())

    def _on_registry(self, instances: list[Instance], loads: list[ReportedLoad]) -> None:
        now_s = _now_s()
        weights_changes = [load for load in loads if load.weights_changed]
        for subscriber in self._subscribers:
            wanted = loads if subscriber.role is NodeRole.ENTRY else weights_changes
            if not instances and not wanted:
                continue
            for instance in instances:
                subscriber.instances[instance.instance] = instance
                subscriber.silent.discard(instance.instance)
            for load in wanted:
                subscriber.loads[load.record.address] = load
            window_s = 0.0 if instances else LOAD_BATCH_WINDOW_S[subscriber.role]
            subscriber.schedule(now_s + window_s)

    def _on_silence(self, silent: list[str]) -> None:
        """Drop pending records of servers that became silent, and report these as silent."""
        for subscriber in self._subscribers:
            for instance in silent:
                subscriber.instances.pop(instance, None)
                subscriber.silent.add(instance)
            subscriber.schedule(_now_s())

    def _notify_all(self) -> None:
        """Send every subscriber an update now that a majority confirms this replica again."""
        for subscriber in self._subscribers:
            subscriber.schedule(_now_s())

    def _entry_subscribers(self) -> list[Subscriber]:
        return [each for each in self._subscribers if each.role is NodeRole.ENTRY]

    def _update_entry_count(self) -> None:
        self._registry.local_entries = len(self._entry_subscribers())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _role(name: str) -> NodeRole | None:
    return next((role for role in LOAD_BATCH_WINDOW_S if role.value == name), None)


__all__ = ["FeedServer"]
