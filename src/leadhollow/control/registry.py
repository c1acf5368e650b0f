"""Backend servers and their loads, as all control replicas together hear of them.

Whatever one replica hears first it tells the others at once; once a second each tells the others
everything it heard itself, so that ages stay true and a replica that restarts knows all again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.control.replica_directory import ReplicaDirectory
from leadhollow.kernel import active_time
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.membership.reporting import VALID_INTERVALS, report_interval_s
from leadhollow.observe.logs import get_logger
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import LoadRecord, LoadReport, RegistryPush
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

FLOOD_PAUSE_S = 0.02  # changes within it travel together
REFRESH_S = 1.0
SETTLE_S = 0.3
"""Of a replica that has started. Others flood what changes at once, and where all have started
together nobody knows more, so that entries need not wait for a whole refresh."""

OWN_WORD_S = 5.0
OWN_WORD_BEATS = 4
"""How long this replica passes on what it heard itself: some heartbeats, and at least 5 s."""

ENTRIES_VALID_S = 4.0

LOAD_VALID_S = 10.0
"""Age after which a report of load is dropped, and at least as long as followers go by it: the
more engines, the rarer each reports, so that a fixed time drops every report of a large fleet
before the next one comes, and takes that one for news."""

log = get_logger("registry")


class ReportedLoad:
    """The last report of an engine's load.

    Attributes
    ----------
    news
        Whether it says something else of the engine's weights than the report before it; the
        stagers need no other reports.
    """

    __slots__ = ("heard_s", "news", "own", "record")

    def __init__(
        self, *, record: LoadRecord, heard_s: float, own: bool, previous: Load | None
    ) -> None:
        self.record = record
        self.heard_s = heard_s
        self.own = own
        self.news = previous is None or previous.standing() != self.standing()

    def standing(self) -> tuple[object, ...]:
        """Give what the report says of the engine's weights."""
        record = self.record
        held = tuple(
            (found.model, found.version, found.first_layer, found.end_layer)
            for found in record.models or ()
        )
        return held, bool(record.switching), record.staged_version, record.staged_pieces

    def message(self, now_s: float) -> LoadRecord:
        """Give the record with its age now."""
        self.record.age_ms = int((now_s - self.heard_s) * 1000)
        return self.record


ChangeListener = Callable[[list[Instance], list[ReportedLoad]], None]
SilenceListener = Callable[[list[str]], None]


class Registry(BatchingService):
    """Soft state of one control replica.

    Parameters
    ----------
    own_address
        Where other replicas reach us.
    replicas
        Gives the addresses of all replicas.
    directory
        Told of each replica that is heard.
    forget_after_s
        Silence after which a backend server is dropped.
    heartbeat_s
        How often a backend server announces itself.
    naming_times
        When versions were named; replicas learn it from each other.
    serves
        Tells whether the route table in force names a service.
    """

    __slots__ = (
        "_directory",
        "_dirty",
        "_dirty_loads",
        "_entries_elsewhere",
        "_heard_here_s",
        "_listeners",
        "_loads",
        "_naming_times",
        "_own_address",
        "_own_word_s",
        "_peers",
        "_replicas",
        "_serves",
        "_silence_listeners",
        "_started_s",
        "local_entries",
        "table",
    )

    def __init__(
        self,
        *,
        own_address: str,
        replicas: Callable[[], list[str]],
        directory: ReplicaDirectory,
        peers: PeerPool,
        handlers: HandlerTable,
        forget_after_s: float,
        heartbeat_s: float,
        naming_times: NamingTimes,
        accepts_service: Callable[[str], bool],
    ) -> None:
        self._own_address = own_address
        self._own_word_s = max(OWN_WORD_S, OWN_WORD_BEATS * heartbeat_s)
        self._replicas = replicas
        self._directory = directory
        self._serves = accepts_service
        self._peers = peers
        self._loads: dict[str, Load] = {}
        self._dirty: dict[str, Instance] = {}
        self._dirty_loads: set[str] = set()
        self._heard_here_s: dict[str, float] = {}
        self._entries_elsewhere: dict[str, tuple[int, float]] = {}
        self._listeners: list[ChangeListener] = []
        self._silence_listeners: list[SilenceListener] = []
        self._started_s = _now_s()
        self._naming_times = naming_times
        self.local_entries = 0
        self.table = InstanceTable(forget_after_s=forget_after_s, heartbeat_s=heartbeat_s)
        super().__init__(batch_window_s=FLOOD_PAUSE_S, refresh_s=REFRESH_S)
        handlers.on_oneway(RegistryPush, self._on_push)
        handlers.on_oneway(LoadReport, self._on_load_report)

    def on_change(self, listener: ChangeListener) -> None:
        """Call a function with instances and loads that changed."""
        self._listeners.append(listener)

    def on_silence(self, listener: SilenceListener) -> None:
        """Call a function with the incarnations of which nothing has been heard for long."""
        self._silence_listeners.append(listener)

    def announce(self, heard: Instance) -> None:
        """Take an announcement that was made here.

        One of a service that no route table names is of no use, and may not take the address of a
        server that is: it is left out until a table names its service. A server that is known
        already stays, whatever tables name, so that its leaving is heard.
        """
        if self.table.get(heard.instance) is None and not self._serves(heard.service):
            log.warning(
                "announcement of an unknown service left out",
                instance=heard.instance,
                service=heard.service,
            )
            return
        self._heard_here_s[heard.instance] = heard.heard_s
        if self.table.merge(heard):
            self._changed_here(heard)

    def deregister(self, instance: str, *, born_ms: int = 0) -> None:
        """Take the word of a backend server that it is gone; see :meth:`InstanceTable.leave`."""
        gone = self.table.deregister(instance, born_ms=born_ms)
        if gone is not None:
            self._changed_here(gone)

    def mark_leaving(self, life: str) -> None:
        """Take what a backend server said in an answer; it counts like an announcement here."""
        left = self.table.record_leaving(life)
        if left is not None:
            self._changed_here(left)
        known = self.table.of_life(life)
        if known is not None:
            self._heard_here_s[known.instance] = _now_s()

    def loads(self) -> list[Load]:
        """Give the load of each engine that reported lately."""
        return list(self._loads.values())

    def live_entries(self) -> int:
        """Count the live entries of the whole system, as far as known."""
        elsewhere = [
            count
            for count, heard_s in self._entries_elsewhere.values()
            if active_time.active_since_s(heard_s) < ENTRIES_VALID_S
        ]
        return self.local_entries + sum(elsewhere)

    def settled(self) -> bool:
        """Tell whether most backend servers had the time to be heard since we started."""
        return _now_s() - self._started_s > SETTLE_S

    async def _publish(self, *, whole: bool) -> None:
        """Tell the other replicas what changed here, or everything that was heard here."""
        if whole:
            self._expire()
        now_s = _now_s()
        dirty, self._dirty = self._dirty, {}
        dirty_loads, self._dirty_loads = self._dirty_loads, set()
        instances = list(dirty.values())
        if whole:
            instances += [found for found in self._local_instances() if found not in instances]
            instances += [gone for gone in self.table.deregistered()[-32:] if gone not in instances]
            dirty_loads = {address for address, load in self._loads.items() if load.own}
        loads = [
            self._loads[address].message(now_s) for address in dirty_loads if address in self._loads
        ]
        push = RegistryPush(
            self._own_address,
            [found.to_record(now_s) for found in instances],
            loads,
            self.local_entries,
            whole,
            self._naming_times.ages() if whole else None,
            self._directory.heard_directly() if whole else None,
        )
        for address in self._replicas():
            if address != self._own_address:
                self._peers.post(address, push)

    def _local_instances(self) -> list[Instance]:
        """Give the backend servers that were heard here lately."""
        self._heard_here_s = {
            instance: heard_s
            for instance, heard_s in self._heard_here_s.items()
            if active_time.active_since_s(heard_s) < self._own_word_s
        }
        found = [self.table.get(instance) for instance in self._heard_here_s]
        return [instance for instance in found if instance is not None]

    def _on_push(self, push: RegistryPush, connection: Connection) -> None:
        now_s = _now_s()
        self._directory.record(push.address, push.heard or ())
        self._entries_elsewhere[push.address] = (int(push.entries or 0), now_s)
        self._naming_times.merge(push.named or ())
        changed = []
        for record in push.instances or ():
            heard = Instance.from_record(record, now_s)
            if heard.state is InstanceState.GONE:
                gone = self.table.deregister(heard.instance, born_ms=heard.born_ms)
                changed += [] if gone is None else [gone]
            elif self.table.merge(heard):
                changed.append(heard)
        loads = [
            load
            for record in push.loads or ()
            if (load := self._merge_load(record, own=False)) is not None
        ]
        self._tell_here(changed, loads)

    def _on_load_report(self, report: LoadReport, connection: Connection) -> None:
        loads = []
        for record in report.loads or ():
            load = self._merge_load(record, own=True)
            if load is not None:
                loads.append(load)
                self._dirty_loads.add(record.address)
        self.note_change()
        self._tell_here([], loads)

    def _merge_load(self, record: LoadRecord, *, own: bool) -> Load | None:
        heard_s = _now_s() - (record.age_ms or 0) / 1000
        known = self._loads.get(record.address)
        if known is not None and known.heard_s >= heard_s:
            return None
        if known is not None and 0 < (record.born_ms or 0) < (known.record.born_ms or 0):
            return None  # a late report of a former life
        load = ReportedLoad(record=record, heard_s=heard_s, own=own, previous=known)
        self._loads[record.address] = load
        return load

    def _changed_here(self, instance: Instance) -> None:
        log.info(
            "backend server changed",
            instance=instance.instance,
            address=instance.address,
            service=instance.service,
            state=instance.state.name.lower(),
            sequence=instance.sequence,
            served=[served.key() for served in instance.served],
        )
        self._dirty[instance.instance] = instance
        self.note_change()
        self._tell_here([instance], [])

    def _tell_here(self, instances: list[Instance], loads: list[Load]) -> None:
        if not instances and not loads:
            return
        for listener in self._listeners:
            listener(instances, loads)

    def _expire(self) -> None:
        silent = [
            found.instance
            for found in self.table.forget_silent(silence_s=active_time.active_since_s)
        ]
        if silent:
            for listener in self._silence_listeners:
                listener(silent)
        valid_s = load_valid_s(len(self._loads))
        for address, load in list(self._loads.items()):
            if active_time.active_since_s(load.heard_s) > valid_s:
                del self._loads[address]


def load_valid_s(engines: int) -> float:
    """Give the age after which a report of load is dropped.

    Parameters
    ----------
    engines
        Engines that report.
    """
    return max(LOAD_VALID_S, VALID_INTERVALS * report_interval_s(engines))


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["ReportedLoad", "Registry", "load_valid_s"]
