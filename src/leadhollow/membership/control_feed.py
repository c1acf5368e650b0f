"""Follows one control replica at a time, and leaves one that a majority does not confirm."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.pressure import DecisionCounts
from leadhollow.failure import Failure
from leadhollow.kernel import active_time, clocks
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.entry_count import EntryCount
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.membership.packed_items import unpack_items
from leadhollow.membership.packed_uses import unpack_uses
from leadhollow.membership.replica_selector import ReplicaSelector, confirms
from leadhollow.membership.unlisted_instances import UnlistedInstances
from leadhollow.membership.uses import Use, decode_decisions
from leadhollow.observe.logs import get_logger
from leadhollow.settings.node import NodeRole, NodeSettings
from leadhollow.state.catalog import Catalog, decode_item
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named import NamedVersion
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

SILENCE_MS = {NodeRole.ENTRY: 900, NodeRole.STAGER: 2_500}
"""A feed says something each 250 ms; that of a stager shares its link with pieces."""

HOME_INTERVAL_S = 3.0  # how often a feed of another failure domain looks for one of its own
RECONNECT_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
LONGEST_FIRST_PAUSE_S = 0.25
"""Of a process that knows nothing yet, and can serve nobody: after a loss of power it is up before
the control replicas are."""

PAUSE_SPREAD = 0.3  # part of a pause by which those of processes that start together differ

SUSPENDED_S = 0.5
"""Suspension after which a view is asked for anew, whole: what arrives now was told before or
meanwhile, and nothing in it says how old it is. The replica gives up a watcher after a second."""

LoadListener = Callable[[LoadRecord, float], None]
UseListener = Callable[[dict[str, Use], bool], None]
DecisionsListener = Callable[[dict[str, DecisionCounts]], None]
SuspectsListener = Callable[[SuspectNews, bool], None]
LimitsListener = Callable[[LimitNews, bool], None]
LeaseListener = Callable[[LimitLease], None]
FullUpdateListener = Callable[[], None]
BackoffListener = Callable[[list[ServerWord]], None]

log = get_logger("feed")


class ControlFeed(TaskService):
    """What this process knows from the control replicas.

    Attributes
    ----------
    catalog
        Route table and versions, applied forwards only.
    table
        Backend servers; one leaves by its own word, or where the followed replica hears nothing
        of it for long. A silent feed or a restarted replica removes none.
    ready
        Set once a replica that a majority confirmed has told everything.
    naming_times
        When versions were named: now for those that are news, else as the replicas know.
    """

    __slots__ = (
        "_current",
        "_decisions_listeners",
        "_engines",
        "_entries",
        "_follow_listeners",
        "_lease_listeners",
        "_limits_listeners",
        "_load_listeners",
        "_peers",
        "_random",
        "_replicas",
        "_rests_listeners",
        "_settings",
        "_suspects_listeners",
        "_unnamed",
        "_use_listeners",
        "catalog",
        "confirmed_s",
        "naming_times",
        "ready",
        "table",
    )

    def __init__(self, *, settings: NodeSettings, peers: PeerPool, table: InstanceTable) -> None:
        self._settings = settings
        self._peers = peers
        self._current = ""
        self._random = random.Random(settings.vm)
        self._load_listeners: list[LoadListener] = []
        self._use_listeners: list[UseListener] = []
        self._decisions_listeners: list[DecisionsListener] = []
        self._suspects_listeners: list[SuspectsListener] = []
        self._limits_listeners: list[LimitsListener] = []
        self._lease_listeners: list[LeaseListener] = []
        self._follow_listeners: list[FullUpdateListener] = []
        self._rests_listeners: list[BackoffListener] = []
        self._engines: list[str] = []  # addresses by their numbers on the feed that is followed
        self.catalog = Catalog()
        self.naming_times = NamingTimes(clock=asyncio.get_running_loop().time)
        self.catalog.on_change(self._note_named)
        self.table = table
        self._unnamed = UnlistedInstances(table=table)
        self.ready = asyncio.Event()
        self._replicas = ReplicaSelector(settings=settings, peers=peers, begun=self.ready.is_set)
        self._entries = EntryCount(clock=clocks.elapsed_s)
        self.confirmed_s: float | None = None
        super().__init__()

    @property
    def source(self) -> str:
        """Address of the replica that is followed, empty while there is none."""
        return self._current

    @property
    def entries(self) -> int:
        """Entries that may be live in the whole system."""
        return self._entries.maximum()

    def on_load(self, listener: LoadListener) -> None:
        """Call a function with each report of load and the loop time it was made at."""
        self._load_listeners.append(listener)

    def on_uses(self, listener: UseListener) -> None:
        """Call a function with each update of what other entries have at engines.

        It gets the uses by address, and whether these are all that there are.
        """
        self._use_listeners.append(listener)

    def on_decisions(self, listener: DecisionsListener) -> None:
        """Call a function with what the other entries decided lately, by service."""
        self._decisions_listeners.append(listener)

    def on_suspects(self, listener: SuspectsListener) -> None:
        """Call a function with news of requests that end servers.

        It gets the news, and whether these are all that the replica knows.
        """
        self._suspects_listeners.append(listener)

    def on_limits(self, listener: LimitsListener) -> None:
        """Call a function with news of backend servers' limits.

        It gets the news, and whether these are all that the replica knows.
        """
        self._limits_listeners.append(listener)

    def on_limit_lease(self, listener: LeaseListener) -> None:
        """Call a function with each lease of shares of limits."""
        self._lease_listeners.append(listener)

    def on_backoffs(self, listener: BackoffListener) -> None:
        """Call a function with rests that backend servers asked of other entries."""
        self._rests_listeners.append(listener)

    def on_full_update(self, listener: FullUpdateListener) -> None:
        """Call a function each time that a replica has told everything, having been chosen."""
        self._follow_listeners.append(listener)

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Look for replicas at other seeds from now on; known ones are kept."""
        self._replicas.use_seeds(seeds)

    async def _work(self) -> None:
        failed = 0
        while True:
            address = await self._replicas.choose()
            followed = address is not None and await self._follow(address)
            failed = 0 if followed else failed + 1
            await asyncio.sleep(self.retry_delay_s(failed))

    def retry_delay_s(self, failed: int) -> float:
        """Give the time until replicas are looked for again.

        Parameters
        ----------
        failed
            Attempts in a row that found none.
        """
        longest_s = LONGEST_PAUSE_S if self.ready.is_set() else LONGEST_FIRST_PAUSE_S
        pause_s = min(RECONNECT_PAUSE_S * 2.0**failed, longest_s)
        return pause_s * self._random.uniform(1 - PAUSE_SPREAD, 1)

    async def _follow(self, address: str) -> bool:
        """Take updates until the replica is lost or a better one is found."""
        connected = await self._peers.connection(address)
        if connected.is_err():
            return False
        settings = self._settings
        watch = FeedWatch(
            settings.vm, settings.role.value, settings.failure_domain, self.catalog.revision, True
        )
        stream = connected.unwrap().stream(watch)
        self._current = address
        log.info("following a control replica", address=address)
        try:
            return await self._take_updates(address, stream)
        finally:
            self._current = ""
            self._unnamed.pause()
            stream.cancel()

    async def _take_updates(self, address: str, stream: CallStream) -> bool:
        loop = asyncio.get_running_loop()
        probe_s = loop.time() + self._replicas.probe_interval_s()
        home_s = loop.time() + HOME_INTERVAL_S
        taken = False
        suspended_s = clocks.suspended_s()
        while True:
            received = await stream.next(timeout_ms=SILENCE_MS[self._settings.role])
            if received.is_err():
                log.warning("control replica lost", address=address, failure=received.unwrap_err())
                return taken
            update = received.unwrap()
            if clocks.suspended_s() - suspended_s > SUSPENDED_S:
                log.warning("view given up after a suspension", address=address)
                return taken
            if update is None or not self._apply(update):
                return taken
            taken = True
            now_s = loop.time()
            if not confirms(update) and now_s >= probe_s:
                probe_s = now_s + self._replicas.probe_interval_s()
                if await self._replicas.better(address, own_domain_only=False):
                    return taken
            elif now_s >= home_s:
                home_s = now_s + HOME_INTERVAL_S
                if await self._replicas.better(address, own_domain_only=True):
                    return taken

    def _apply(self, update: FeedUpdate) -> bool:
        now_s = asyncio.get_running_loop().time()
        decoded = _items_of(update)
        if decoded.is_err():
            log.error("catalog update not understood", failure=str(decoded.unwrap_err()))
            return False
        self.naming_times.merge(update.named or ())
        self.catalog.apply(decoded.unwrap(), revision=update.revision or 0)
        self._take_instances(update, now_s)
        for load in update.loads or ():
            for listener in self._load_listeners:
                listener(load, now_s - (load.age_ms or 0) / 1000)
        self._take_uses(update)
        if update.suspects is not None or update.whole:
            news = update.suspects or SuspectNews("", 0, [], [])
            for listener_of_suspects in self._suspects_listeners:
                listener_of_suspects(news, bool(update.whole))
        self._take_limits(update)
        for take_rests in self._rests_listeners if update.rests else ():
            take_rests(update.rests)
        for followed in self._follow_listeners if update.whole else ():
            followed()
        self._replicas.take(update.replicas)
        self._entries.record(int(update.entries or 0))
        if confirms(update):
            self.confirmed_s = clocks.elapsed_s() - update.confirmed_age_ms / 1000
            if not self.ready.is_set():
                log.info("first confirmed view", revision=self.catalog.revision)
                self.ready.set()
        return True

    def _take_instances(self, update: FeedUpdate, now_s: float) -> None:
        records = update.instances or ()
        for record in records:
            self.table.merge(Instance.from_record(record, now_s))
        named = [record.instance for record in records]
        heard_s = active_time.active_s()
        self._unnamed.take(named, update.silent or (), whole=bool(update.whole), now_s=heard_s)
        self._unnamed.forget(heard_s)

    def _note_named(self, items: list[CatalogItem]) -> None:
        for item in items:
            if isinstance(item.value, NamedVersion) and item.value.named:
                self.naming_times.record(item.value.model, item.value.number)

    def _take_limits(self, update: FeedUpdate) -> None:
        if update.limits is not None or update.whole:
            news = update.limits or LimitNews("", 0, [], [])
            for take_news in self._limits_listeners:
                take_news(news, bool(update.whole))
        if update.limit_lease is not None:
            for take_lease in self._lease_listeners:
                take_lease(update.limit_lease)

    def _take_uses(self, update: FeedUpdate) -> None:
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
            for take in self._decisions_listeners:
                take(decisions)

    def _by_address(self, uses: dict[int, Use]) -> Result[dict[str, Use], Failure]:
        """Give uses by the addresses of their engines."""
        unknown = [number for number in uses if number >= len(self._engines)]
        if unknown:
            return Err(Failure(code=Code.FRAME_MALFORMED, detail=f"no engine {unknown[0]}"))
        return Ok({self._engines[number]: use for number, use in uses.items()})


def _items_of(update: FeedUpdate) -> Result[list[CatalogItem], Failure]:
    """Give the items of the catalog that an update carries, however they are encoded."""
    if update.packed_items:
        return unpack_items(update.packed_items)
    try:
        return Ok([decode_item(data) for data in update.items or ()])
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.FRAME_MALFORMED, detail=str(error)))


__all__ = ["ControlFeed", "FollowListener", "RestsListener"]
