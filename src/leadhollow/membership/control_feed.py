"""Follows one control replica at a time, and leaves one that a majority does not confirm."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.pressure import DecisionCounts, DecisionKey
from leadhollow.failure import Failure
from leadhollow.kernel import active_time, clocks
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.entry_count import EntryCount
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.membership.packed_items import unpack_items
from leadhollow.membership.packed_uses import unpack_uses
from leadhollow.membership.replica_selector import ReplicaSelector, is_confirmed, was_confirmed
from leadhollow.membership.unlisted_instances import UnlistedInstances
from leadhollow.membership.uses import Use, decode_decisions
from leadhollow.observe.logs import get_logger
from leadhollow.settings.node import NodeRole, NodeSettings
from leadhollow.state.catalog import Catalog, decode_item
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion
from leadhollow.wire.generated.ttypes import (
    FeedUpdate,
    FeedWatch,
    LimitLease,
    LimitNews,
    LoadRecord,
    ServerWord,
    SuspectNews,
)
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.streams import CallStream

SILENCE_TIMEOUT_MS = {NodeRole.ENTRY: 900, NodeRole.STAGER: 2_500}
"""A feed sends a message every 250 ms; a stager's feed shares its link with pieces of weights."""

OWN_DOMAIN_CHECK_S = 3.0  # while following a remote replica, look for one of the own domain
RECONNECT_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
MAX_FIRST_RETRY_DELAY_S = 0.25
"""Of a process without a confirmed view, which cannot serve requests yet. After a power loss it may
start before the control replicas."""

RETRY_JITTER = 0.3  # largest random cut of a retry delay, as many processes may start at once

MAX_SUSPENSION_S = 0.5
"""Suspension of this machine after which a new full update is requested. Messages that arrive then
were sent before or during the suspension and do not show their age. A replica drops a subscriber
after a second."""

LoadListener = Callable[[LoadRecord, float], None]
UseListener = Callable[[dict[str, Use], bool], None]
DecisionsListener = Callable[[dict[DecisionKey, DecisionCounts]], None]
SuspectsListener = Callable[[SuspectNews, bool], None]
LimitsListener = Callable[[LimitNews, bool], None]
LeaseListener = Callable[[LimitLease], None]
FullUpdateListener = Callable[[], None]
BackoffListener = Callable[[list[ServerWord]], None]

log = get_logger("feed")


class ControlFeed(TaskService):
    """State that this process receives from the control replicas.

    Attributes
    ----------
    catalog
        Route table and versions; its revision only increases.
    table
        Backend servers. One is removed when it deregisters, or when the followed replica has not
        heard from it for long. A silent feed or a restarted replica removes none.
    ready
        Set by the first update from a replica that a majority confirmed.
    naming_times
        When versions were named: the present for new ones, else the time that replicas report.
    confirmed_s
        Elapsed time (:func:`leadhollow.kernel.clocks.elapsed_s`) of the last confirmation by a
        majority, None before the first.
    view_confirmed
        Whether the catalog holds all that a majority had confirmed at some time, however long ago.
        A replica that has just started shows what its disk holds, which may be much older.
    """

    __slots__ = (
        "_backoff_listeners",
        "_decisions_listeners",
        "_engines",
        "_entries",
        "_full_update_listeners",
        "_lease_listeners",
        "_limits_listeners",
        "_load_listeners",
        "_peers",
        "_random",
        "_replicas",
        "_settings",
        "_source",
        "_suspects_listeners",
        "_unlisted",
        "_use_listeners",
        "catalog",
        "confirmed_s",
        "naming_times",
        "ready",
        "table",
        "view_confirmed",
    )

    def __init__(self, *, settings: NodeSettings, peers: PeerPool, table: InstanceTable) -> None:
        self._settings = settings
        self._peers = peers
        self._source = ""
        self._random = random.Random(settings.vm)
        self._load_listeners: list[LoadListener] = []
        self._use_listeners: list[UseListener] = []
        self._decisions_listeners: list[DecisionsListener] = []
        self._suspects_listeners: list[SuspectsListener] = []
        self._limits_listeners: list[LimitsListener] = []
        self._lease_listeners: list[LeaseListener] = []
        self._full_update_listeners: list[FullUpdateListener] = []
        self._backoff_listeners: list[BackoffListener] = []
        self._engines: list[str] = []  # addresses, by their numbers in the followed feed
        self.catalog = Catalog()
        self.naming_times = NamingTimes(clock=asyncio.get_running_loop().time)
        self.catalog.on_change(self._record_naming_times)
        self.table = table
        self._unlisted = UnlistedInstances(table=table)
        self.ready = asyncio.Event()
        self._replicas = ReplicaSelector(settings=settings, peers=peers, had_view=self.ready.is_set)
        self._entries = EntryCount(clock=clocks.elapsed_s)
        self.confirmed_s: float | None = None
        self.view_confirmed = False
        super().__init__()

    @property
    def source(self) -> str:
        """Address of the replica that is followed, empty if there is none."""
        return self._source

    @property
    def entries(self) -> int:
        """Highest number of entries that may be live in the whole system."""
        return self._entries.maximum()

    @property
    def cautious_entries(self) -> int:
        """The same, or a higher number while replicas may not know all entries."""
        return self._entries.cautious_maximum()

    def on_load(self, listener: LoadListener) -> None:
        """Call a function with each load report and the loop time at which it was made."""
        self._load_listeners.append(listener)

    def on_uses(self, listener: UseListener) -> None:
        """Call a function with each update of other entries' uses of engines.

        Its arguments are the uses by address, and whether this is a full update.
        """
        self._use_listeners.append(listener)

    def on_decisions(self, listener: DecisionsListener) -> None:
        """Call a function with the recent decisions of other entries, by service."""
        self._decisions_listeners.append(listener)

    def on_suspects(self, listener: SuspectsListener) -> None:
        """Call a function with updates on requests that are suspected of crashing servers.

        Its arguments are the update, and whether it is a full one.
        """
        self._suspects_listeners.append(listener)

    def on_limits(self, listener: LimitsListener) -> None:
        """Call a function with updates of backend servers' rate limits.

        Its arguments are the update, and whether it is a full one.
        """
        self._limits_listeners.append(listener)

    def on_limit_lease(self, listener: LeaseListener) -> None:
        """Call a function with each lease of shares of rate limits."""
        self._lease_listeners.append(listener)

    def on_backoffs(self, listener: BackoffListener) -> None:
        """Call a function with back-offs that backend servers requested from other entries."""
        self._backoff_listeners.append(listener)

    def on_full_update(self, listener: FullUpdateListener) -> None:
        """Call a function after each full update, which a newly followed replica sends first."""
        self._full_update_listeners.append(listener)

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds; replicas that are already known are kept."""
        self._replicas.use_seeds(seeds)

    async def _work(self) -> None:
        failed = 0
        while True:
            address = await self._replicas.choose()
            followed = address is not None and await self._follow(address)
            failed = 0 if followed else failed + 1
            await asyncio.sleep(self.retry_delay_s(failed))

    def retry_delay_s(self, failed: int) -> float:
        """Return the randomised delay until the next attempt to find a replica.

        Parameters
        ----------
        failed
            Number of consecutive failed attempts.
        """
        max_delay_s = MAX_RETRY_DELAY_S if self.ready.is_set() else MAX_FIRST_RETRY_DELAY_S
        delay_s = min(RECONNECT_DELAY_S * 2.0**failed, max_delay_s)
        return delay_s * self._random.uniform(1 - RETRY_JITTER, 1)

    async def _follow(self, address: str) -> bool:
        """Apply updates until the replica is lost or a better one is found.

        Returns
        -------
        bool
            Whether any update was applied.
        """
        connected = await self._peers.connection(address)
        if connected.is_err():
            return False
        settings = self._settings
        watch = FeedWatch(
            settings.vm,
            settings.role.value,
            settings.failure_domain,
            self.catalog.revision,
            True,
            self.naming_times.ages(),
            True,
        )
        stream = connected.unwrap().stream(watch)
        self._source = address
        log.info("following a control replica", address=address)
        try:
            return await self._receive_updates(address, stream)
        finally:
            self._source = ""
            self._unlisted.reset()
            stream.cancel()

    async def _receive_updates(self, address: str, stream: CallStream) -> bool:
        loop = asyncio.get_running_loop()
        next_probe_s = loop.time() + self._replicas.probe_interval_s()
        own_domain_check_s = loop.time() + OWN_DOMAIN_CHECK_S
        received_any = False
        suspended_s = clocks.suspended_s()
        while True:
            received = await stream.next(timeout_ms=SILENCE_TIMEOUT_MS[self._settings.role])
            if received.is_err():
                log.warning("control replica lost", address=address, failure=received.unwrap_err())
                return received_any
            update = received.unwrap()
            if clocks.suspended_s() - suspended_s > MAX_SUSPENSION_S:
                log.warning(
                    "reconnecting after a suspension of this machine to get a full update",
                    address=address,
                )
                return received_any
            if update is None or not self._apply(update):
                return received_any
            received_any = True
            now_s = loop.time()
            if not is_confirmed(update) and now_s >= next_probe_s:
                next_probe_s = now_s + self._replicas.probe_interval_s()
                if await self._replicas.has_better(address, own_domain_only=False):
                    return received_any
            elif now_s >= own_domain_check_s:
                own_domain_check_s = now_s + OWN_DOMAIN_CHECK_S
                if await self._replicas.has_better(address, own_domain_only=True):
                    return received_any

    def _apply(self, update: FeedUpdate) -> bool:
        now_s = asyncio.get_running_loop().time()
        decoded = _decode_items(update)
        if decoded.is_err():
            log.error("catalog update not understood", failure=str(decoded.unwrap_err()))
            return False
        self.naming_times.merge(update.named or ())
        revision = update.revision or 0
        if update.whole_catalog:
            self.catalog.replace(decoded.unwrap(), revision=revision, floor=revision)
        else:
            self.catalog.apply(decoded.unwrap(), revision=revision)
        self._merge_instances(update, now_s)
        for load in update.loads or ():
            for listener in self._load_listeners:
                listener(load, now_s - (load.age_ms or 0) / 1000)
        self._apply_uses(update)
        if update.suspects is not None or update.whole:
            news = update.suspects or SuspectNews("", 0, [], [])
            for suspects_listener in self._suspects_listeners:
                suspects_listener(news, bool(update.whole))
        self._apply_limits(update)
        for backoff_listener in self._backoff_listeners if update.rests else ():
            backoff_listener(update.rests)
        for full_update_listener in self._full_update_listeners if update.whole else ():
            full_update_listener()
        self._replicas.update_replicas(update.replicas)
        self._entries.record(int(update.entries or 0), confirmed=is_confirmed(update))
        if was_confirmed(update) and not self.view_confirmed:
            log.info(
                "view confirmed", revision=self.catalog.revision, age_ms=update.confirmed_age_ms
            )
            self.view_confirmed = True
        if is_confirmed(update):
            self.confirmed_s = clocks.elapsed_s() - update.confirmed_age_ms / 1000
            if not self.ready.is_set():
                log.info("first confirmed view", revision=self.catalog.revision)
                self.ready.set()
        return True

    def _merge_instances(self, update: FeedUpdate, now_s: float) -> None:
        records = update.instances or ()
        for record in records:
            self.table.merge(Instance.from_record(record, now_s))
        listed = [record.instance for record in records]
        now_active_s = active_time.active_s()
        self._unlisted.apply(
            listed, update.silent or (), whole=bool(update.whole), now_s=now_active_s
        )
        self._unlisted.drop_expired(now_active_s)

    def _record_naming_times(self, items: list[CatalogItem]) -> None:
        for item in items:
            if isinstance(item.value, NamedVersion) and item.value.named:
                self.naming_times.record(item.value.model, item.value.number)

    def _apply_limits(self, update: FeedUpdate) -> None:
        if update.limits is not None or update.whole:
            news = update.limits or LimitNews("", 0, [], [])
            for limits_listener in self._limits_listeners:
                limits_listener(news, bool(update.whole))
        if update.limit_lease is not None:
            for lease_listener in self._lease_listeners:
                lease_listener(update.limit_lease)

    def _apply_uses(self, update: FeedUpdate) -> None:
        if update.whole:
            self._engines = []
        self._engines += update.engines or ()
        unpacked = unpack_uses(update.packed_uses or b"").and_then(self._by_address)
        if unpacked.is_err():
            log.error("uses not understood", failure=str(unpacked.unwrap_err()))
            return
        for listener in self._use_listeners:
            listener(unpacked.unwrap(), bool(update.whole))
        if update.decisions is not None:
            decisions = decode_decisions(update.decisions)
            for decisions_listener in self._decisions_listeners:
                decisions_listener(decisions)

    def _by_address(self, uses: dict[int, Use]) -> Result[dict[str, Use], Failure]:
        """Map uses from engine numbers to engine addresses."""
        out_of_range = [number for number in uses if number >= len(self._engines)]
        if out_of_range:
            return Err(Failure(code=Code.FRAME_MALFORMED, detail=f"no engine {out_of_range[0]}"))
        return Ok({self._engines[number]: use for number, use in uses.items()})


def _decode_items(update: FeedUpdate) -> Result[list[CatalogItem], Failure]:
    """Decode the catalog items of an update, compressed or not."""
    if update.packed_items:
        return unpack_items(update.packed_items)
    try:
        return Ok([decode_item(data) for data in update.items or ()])
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.FRAME_MALFORMED, detail=str(error)))


__all__ = ["ControlFeed", "FullUpdateListener", "BackoffListener"]
