"""Registry of backend servers and their loads, shared by all control replicas as soft state.

Each replica sends what servers and engines report to it to the other replicas at once. Once a
second it sends all of that again, which keeps ages current and lets a restarted replica recover the
state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Ok, Result

from leadhollow.control.replica_directory import ReplicaDirectory
from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.membership.reporting import VALID_INTERVALS, report_interval_s
from leadhollow.observe.logs import get_logger
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import Done, LoadRecord, LoadReport, RegistryPush
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

BATCH_WINDOW_S = 0.02  # changes within it are sent in one message
REFRESH_S = 1.0
SETTLE_S = 0.3
"""Time after its start during which a replica does not report that it is up to date.

It is shorter than a refresh, which entries need not wait for: other replicas send changes at once,
and if all have just started, none of them knows more."""

MIN_LOCAL_VALID_S = 5.0
LOCAL_VALID_HEARTBEATS = 4
"""How long a replica relays announcements made to it: some heartbeats, and at least 5 s."""

ENTRIES_VALID_S = 4.0

LOAD_VALID_S = 10.0
"""Minimum age after which a load report is dropped.

The more engines there are, the less often each reports. A fixed age would drop every report of a
large fleet before the next one arrives, and would then treat that one as a change. Reports are kept
for at least as long as subscribers use them."""

log = get_logger("registry")


class ReportedLoad:
    """Last load report of an engine.

    Attributes
    ----------
    weights_changed
        Whether the engine's weights differ from those in the previous report. Stagers get only
        these reports.
    """

    __slots__ = ("record", "reported_here", "reported_s", "weights_changed")

    def __init__(
        self,
        *,
        record: LoadRecord,
        reported_s: float,
        reported_here: bool,
        previous: ReportedLoad | None,
    ) -> None:
        self.record = record
        self.reported_s = reported_s
        self.reported_here = reported_here
        self.weights_changed = previous is None or previous.weights_state() != self.weights_state()

    def weights_state(self) -> tuple[object, ...]:
        """Return the part of the report that describes the engine's weights."""
        record = self.record
        held = tuple(
            (held_model.model, held_model.version, held_model.first_layer, held_model.end_layer)
            for held_model in record.models or ()
        )
        return held, bool(record.switching), record.staged_version, record.staged_pieces

    def to_record(self, now_s: float) -> LoadRecord:
        """Return the wire record with its current age."""
        self.record.age_ms = int((now_s - self.reported_s) * 1000)
        return self.record


ChangeListener = Callable[[list[Instance], list[ReportedLoad]], None]
SilenceListener = Callable[[list[str]], None]


class Registry(BatchingService):
    """Backend servers and loads as one control replica knows them.

    Parameters
    ----------
    own_address
        Wire address of this replica.
    replicas
        Returns the addresses of all replicas.
    directory
        Records each replica that sends a message.
    forget_after_s
        Silence after which a backend server is dropped.
    heartbeat_s
        How often a backend server announces itself.
    naming_times
        Times at which versions were named; replicas exchange them.
    accepts_service
        Returns whether the route table in force has a service.
    tells_cold
        Returns whether changes of the cold times of a service's servers are relayed.
    """

    __slots__ = (
        "_accepts_service",
        "_announced_here_s",
        "_changed_instances",
        "_changed_loads",
        "_directory",
        "_listeners",
        "_loads",
        "_local_valid_s",
        "_naming_times",
        "_own_address",
        "_peers",
        "_remote_entries",
        "_replicas",
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
        tells_cold: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._own_address = own_address
        self._local_valid_s = max(MIN_LOCAL_VALID_S, LOCAL_VALID_HEARTBEATS * heartbeat_s)
        self._replicas = replicas
        self._directory = directory
        self._accepts_service = accepts_service
        self._peers = peers
        self._loads: dict[str, ReportedLoad] = {}
        self._changed_instances: dict[str, Instance] = {}
        self._changed_loads: set[str] = set()
        self._announced_here_s: dict[str, float] = {}
        self._remote_entries: dict[str, tuple[int, float]] = {}
        self._listeners: list[ChangeListener] = []
        self._silence_listeners: list[SilenceListener] = []
        self._started_s = _now_s()
        self._naming_times = naming_times
        self.local_entries = 0
        self.table = InstanceTable(
            forget_after_s=forget_after_s, heartbeat_s=heartbeat_s, tells_cold=tells_cold
        )
        super().__init__(batch_window_s=BATCH_WINDOW_S, refresh_s=REFRESH_S)
        handlers.on_oneway(RegistryPush, self._on_push)
        handlers.on_call(RegistryPush, self._on_confirmed_push)
        handlers.on_oneway(LoadReport, self._on_load_report)

    def on_change(self, listener: ChangeListener) -> None:
        """Register a listener that gets changed instances and loads."""
        self._listeners.append(listener)

    def on_silence(self, listener: SilenceListener) -> None:
        """Register a listener that gets the names of instances that became silent."""
        self._silence_listeners.append(listener)

    def announce(self, instance: Instance) -> None:
        """Record an announcement that a backend server made to this replica.

        An announcement of a service that the route table does not have is ignored, because it must
        not take over the address of a server in use. A server that is known already is always
        updated, so that its deregistration is noticed.
        """
        if self.table.get(instance.instance) is None and not self._accepts_service(
            instance.service
        ):
            log.warning(
                "announcement of an unknown service ignored",
                instance=instance.instance,
                service=instance.service,
            )
            return
        self._announced_here_s[instance.instance] = instance.heard_s
        if self.table.merge(instance):
            self._record_change(instance)

    def deregister(self, instance: str, *, born_ms: int = 0) -> None:
        """Remove a backend server on its own request; see :meth:`InstanceTable.leave`."""
        gone = self.table.deregister(instance, born_ms=born_ms)
        if gone is not None:
            self._record_change(gone)

    def describe(self, instance: Instance) -> RegistryPush:
        """Return the message that tells other replicas of one instance."""
        record = instance.to_record(_now_s())
        return RegistryPush(self._own_address, [record], [], self.local_entries, False, None, None)

    def other_replicas(self) -> list[str]:
        """Return the addresses of the other replicas."""
        return [address for address in self._replicas() if address != self._own_address]

    def mark_leaving(self, life: str) -> None:
        """Mark a server as leaving because a response said so; counts like an announcement."""
        left = self.table.record_leaving(life)
        if left is not None:
            self._record_change(left)
        known = self.table.of_life(life)
        if known is not None:
            self._announced_here_s[known.instance] = _now_s()

    def loads(self) -> list[ReportedLoad]:
        """Return the last load report of each engine that is not expired."""
        return list(self._loads.values())

    def live_entries(self) -> int:
        """Return the number of live entries at all replicas, as far as known."""
        remote = [
            count
            for count, heard_s in self._remote_entries.values()
            if active_time.active_since_s(heard_s) < ENTRIES_VALID_S
        ]
        return self.local_entries + sum(remote)

    def settled(self) -> bool:
        """Return whether enough time passed since the start to hear from most backend servers."""
        return _now_s() - self._started_s > SETTLE_S

    async def _publish(self, *, whole: bool) -> None:
        """Send the other replicas the changes received here, or everything received here."""
        if whole:
            self._expire()
        now_s = _now_s()
        changed, self._changed_instances = self._changed_instances, {}
        changed_loads, self._changed_loads = self._changed_loads, set()
        instances = list(changed.values())
        if whole:
            instances += [each for each in self._local_instances() if each not in instances]
            instances += [gone for gone in self.table.deregistered()[-32:] if gone not in instances]
            changed_loads = {address for address, load in self._loads.items() if load.reported_here}
        loads = [
            self._loads[address].to_record(now_s)
            for address in changed_loads
            if address in self._loads
        ]
        push = RegistryPush(
            self._own_address,
            [each.to_record(now_s) for each in instances],
            loads,
            self.local_entries,
            whole,
            self._naming_times.ages() if whole else None,
            self._directory.heard_directly() if whole else None,
        )
        for address in self.other_replicas():
            self._peers.post(address, push)

    def _local_instances(self) -> list[Instance]:
        """Return the backend servers that announced themselves to this replica lately."""
        self._announced_here_s = {
            instance: heard_s
            for instance, heard_s in self._announced_here_s.items()
            if active_time.active_since_s(heard_s) < self._local_valid_s
        }
        known = [self.table.get(instance) for instance in self._announced_here_s]
        return [instance for instance in known if instance is not None]

    async def _on_confirmed_push(
        self, push: RegistryPush, connection: Connection
    ) -> Result[Done, Failure]:
        self._on_push(push, connection)
        return Ok(Done())

    def _on_push(self, push: RegistryPush, connection: Connection) -> None:
        now_s = _now_s()
        self._directory.record(push.address, push.heard or ())
        self._remote_entries[push.address] = (int(push.entries or 0), now_s)
        self._naming_times.merge(push.named or ())
        changed = []
        for record in push.instances or ():
            instance = Instance.from_record(record, now_s)
            if instance.state is InstanceState.GONE:
                gone = self.table.deregister(instance.instance, born_ms=instance.born_ms)
                changed += [] if gone is None else [gone]
            elif self.table.merge(instance):
                changed.append(instance)
        loads = [
            load
            for record in push.loads or ()
            if (load := self._merge_load(record, reported_here=False)) is not None
        ]
        self._notify_listeners(changed, loads)

    def _on_load_report(self, report: LoadReport, connection: Connection) -> None:
        loads = []
        for record in report.loads or ():
            load = self._merge_load(record, reported_here=True)
            if load is not None:
                loads.append(load)
                self._changed_loads.add(record.address)
        self.note_change()
        self._notify_listeners([], loads)

    def _merge_load(self, record: LoadRecord, *, reported_here: bool) -> ReportedLoad | None:
        reported_s = _now_s() - (record.age_ms or 0) / 1000
        known = self._loads.get(record.address)
        if known is not None and known.reported_s >= reported_s:
            return None
        if known is not None and 0 < (record.born_ms or 0) < (known.record.born_ms or 0):
            return None  # a late report of an earlier life
        load = ReportedLoad(
            record=record, reported_s=reported_s, reported_here=reported_here, previous=known
        )
        self._loads[record.address] = load
        return load

    def _record_change(self, instance: Instance) -> None:
        log.info(
            "backend server changed",
            instance=instance.instance,
            address=instance.address,
            service=instance.service,
            state=instance.state.name.lower(),
            sequence=instance.sequence,
            served=[served.key() for served in instance.served],
        )
        self._changed_instances[instance.instance] = instance
        self.note_change()
        self._notify_listeners([instance], [])

    def _notify_listeners(self, instances: list[Instance], loads: list[ReportedLoad]) -> None:
        if not instances and not loads:
            return
        for listener in self._listeners:
            listener(instances, loads)

    def _expire(self) -> None:
        silent = [
            instance.instance
            for instance in self.table.forget_silent(silence_s=active_time.active_since_s)
        ]
        if silent:
            for listener in self._silence_listeners:
                listener(silent)
        valid_s = load_valid_s(len(self._loads))
        for address, load in list(self._loads.items()):
            if active_time.active_since_s(load.reported_s) > valid_s:
                del self._loads[address]


def load_valid_s(engines: int) -> float:
    """Return the age after which a load report is dropped.

    Parameters
    ----------
    engines
        Number of engines that report.
    """
    return max(LOAD_VALID_S, VALID_INTERVALS * report_interval_s(engines))


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["Registry", "ReportedLoad", "load_valid_s"]
