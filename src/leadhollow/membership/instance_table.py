"""Table of backend server instances that announce themselves over HTTP.

Control replicas, entries and stagers keep the same table. An instance may run several times under
its id; each run is a life, identified by its start time. Records of an instance are ordered by life
and then by a sequence number that the server increments with each call. The order of arrival
therefore does not matter. A life that ended is not accepted again. A server may also say in its
answers that it leaves. Answers carry no sequence number, so leaving is final within a life.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.observe.logs import get_logger

DEREGISTERED_KEPT = 4_096
"""Deregistered instances remembered, to ignore their late calls."""

LEAVING_KEPT = 1_024  # leaving lives remembered, including those not in the table

REPLACED_KEPT = 1_024  # instances remembered that were replaced at their address

COLD_CHANGE_S = 0.25
"""Change of the end of a cold time that subscribers are told of. Heartbeats take a varying time."""

RECLAIM_AFTER_S = 3.0
RECLAIM_AFTER_HEARTBEATS = 2.5
"""Silence of an instance after which the one that it replaced may reclaim the address: more than
two heartbeats, and at least 3 s. A network partition may delay calls. If the replaced instance made
the delayed call, its replacement still sends heartbeats. If the replacement made it, that one has
ended and stays silent."""

Listener = Callable[[Instance], None]

log = get_logger("instances")


class InstanceTable:
    """Instances that are not known to be gone, by id and by address.

    Parameters
    ----------
    forget_after_s
        Silence after which an instance is dropped that did not deregister. A control replica
        receives heartbeats and uses :meth:`forget_silent`. Its subscribers receive only changes and
        drop instances that it no longer lists
        (:mod:`leadhollow.membership.unlisted_instances`).
    heartbeat_s
        Interval of an instance's heartbeats.
    tells_cold
        Returns whether listeners are notified when a server of a service becomes cold or warm.
    """

    __slots__ = (
        "_by_address",
        "_gone",
        "_instances",
        "_leaving",
        "_listeners",
        "_reclaim_after_s",
        "_replaced",
        "_tells_cold",
        "forget_after_s",
    )

    def __init__(
        self,
        *,
        forget_after_s: float,
        heartbeat_s: float = 0.0,
        tells_cold: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._tells_cold = tells_cold
        self._instances: dict[str, Instance] = {}
        self._by_address: dict[str, str] = {}
        self._gone: OrderedDict[str, Instance] = OrderedDict()
        self._replaced: OrderedDict[str, None] = OrderedDict()
        self._leaving: OrderedDict[str, None] = OrderedDict()
        self.forget_after_s = forget_after_s
        self._reclaim_after_s = max(RECLAIM_AFTER_S, RECLAIM_AFTER_HEARTBEATS * heartbeat_s)
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Call a function with each record that changes the table, including deregistrations."""
        self._listeners.append(listener)

    def of_life(self, life: str) -> Instance | None:
        """Return the instance whose current life is the given one."""
        found = self._instances.get(life.rpartition("@")[0])
        return found if found is not None and found.life == life else None

    def merge(self, record: Instance) -> bool:
        """Merge a record.

        Returns
        -------
        bool
            Whether it changed anything that listeners are notified of. Outdated records and those
            of deregistered instances do not.
        """
        if record.state is InstanceState.DRAINING:
            self._add_leaving(record.life)
        if self._is_of_former_life(record):
            return False
        self._discard_former_lives(record)
        if record.instance in self._gone:
            return False
        known = self._instances.get(record.instance)
        if record.state is InstanceState.READY and self._is_leaving(record.life, known):
            record.state = InstanceState.DRAINING
        if record.state is InstanceState.GONE:
            return self._remove_for_good(record)  # final; its sender may not know the sequence
        if known is not None:
            known.heard_s = max(known.heard_s, record.heard_s)
            if record.sequence < known.sequence:
                return self._mark_leaving(known)
        if known is not None and record.sequence == known.sequence:
            return self._mark_leaving(known)
        if known is not None:
            record.heard_s = max(known.heard_s, record.heard_s)
            if record.has_same_content(known) and not self._is_news_of_cold(known, record):
                known.sequence = record.sequence
                if not self._tells_cold(known.service):
                    known.cold_until_s = record.cold_until_s
                return False
        elif not self._claim_address(record):
            return False
        self._instances[record.instance] = record
        self._by_address[record.address] = record.instance
        self._notify(record)
        return True

    def record_leaving(self, life: str) -> Instance | None:
        """Record that a life leaves, as it said in an answer.

        A life that is not in the table yet is marked as leaving by its first record.

        Returns
        -------
        Instance or None
            The instance; None if it is unknown or was already known to leave.
        """
        self._add_leaving(life)
        known = self.of_life(life)
        if known is None or not self._mark_leaving(known):
            return None
        return self._instances[known.instance]

    def deregister(self, instance: str, *, born_ms: int = 0) -> Instance | None:
        """Remove an instance that has stopped for good, even if it is not in the table.

        Parameters
        ----------
        born_ms
            Start time of the life that ended; 0 for the latest known life.

        Returns
        -------
        Instance or None
            The deregistered instance; None if it was deregistered before or has a later life.
        """
        known = self._instances.get(instance)
        if instance in self._gone:
            return None
        if known is not None and 0 < born_ms < known.born_ms:
            return None  # late call of a former life
        gone = Instance(
            instance=instance,
            service="" if known is None else known.service,
            address="" if known is None else known.address,
            failure_domain="" if known is None else known.failure_domain,
            sequence=0 if known is None else known.sequence,
            state=InstanceState.GONE,
            slots=0,
            served=(),
            heard_s=_now_s(),
            born_ms=born_ms if known is None else max(born_ms, known.born_ms),
        )
        self._remove_for_good(gone)
        return gone

    def get(self, instance: str) -> Instance | None:
        """Return an instance that is not gone."""
        return self._instances.get(instance)

    def departed(self, instance: str) -> Instance | None:
        """Return the record of an instance that leaves or is gone, None for any other one."""
        found = self._gone.get(instance) or self._instances.get(instance)
        return None if found is None or found.state is InstanceState.READY else found

    def at_address(self, address: str) -> Instance | None:
        """Return the latest instance at an address."""
        return self._instances.get(self._by_address.get(address, ""))

    def instances(self) -> list[Instance]:
        """Return all instances that are not gone."""
        return list(self._instances.values())

    def deregistered(self) -> list[Instance]:
        """Return the deregistered instances that are still remembered."""
        return list(self._gone.values())

    def of_service(self, service: str) -> list[Instance]:
        """Return the instances of a service that are not gone."""
        return [found for found in self._instances.values() if found.service == service]

    def forget_silent(self, *, silence_s: Callable[[float], float]) -> list[Instance]:
        """Drop instances that have been silent for long; they may register again.

        Parameters
        ----------
        silence_s
            Returns the duration of a silence that began at the given loop time.

        Returns
        -------
        list of Instance
            The dropped instances.
        """
        silent = [
            found
            for found in self._instances.values()
            if silence_s(found.heard_s) > self.forget_after_s
        ]
        for found in silent:
            log.info(
                "backend server forgotten",
                instance=found.instance,
                address=found.address,
                silent_s=round(silence_s(found.heard_s), 1),
            )
            self._drop(found.instance)
        return silent

    def _is_news_of_cold(self, known: Instance, record: Instance) -> bool:
        """Return whether a record states another end of the cold time than the known one."""
        if not self._tells_cold(record.service):
            return False
        now_s = _now_s()
        before_s, after_s = (max(0.0, each.cold_until_s - now_s) for each in (known, record))
        return abs(after_s - before_s) > COLD_CHANGE_S or (after_s == 0.0) != (before_s == 0.0)

    def _is_leaving(self, life: str, known: Instance | None) -> bool:
        """Return whether a life leaves, even if its entry in ``_leaving`` was evicted."""
        if life in self._leaving:
            return True
        return known is not None and known.state is InstanceState.DRAINING

    def _add_leaving(self, life: str) -> None:
        self._leaving[life] = None
        while len(self._leaving) > LEAVING_KEPT:
            self._leaving.popitem(last=False)

    def _mark_leaving(self, known: Instance) -> bool:
        """Mark a ready instance as leaving if its life is; return whether it changed."""
        if known.state is not InstanceState.READY or known.life not in self._leaving:
            return False
        leaving = self._instances[known.instance] = known.as_leaving()
        self._notify(leaving)
        return True

    def _is_of_former_life(self, record: Instance) -> bool:
        """Return whether a record belongs to an earlier life than the known one."""
        known = self._instances.get(record.instance) or self._gone.get(record.instance)
        return known is not None and record.born_ms < known.born_ms

    def _discard_former_lives(self, record: Instance) -> None:
        """Discard what is known of former lives of a server that restarted under its id."""
        known = self._instances.get(record.instance)
        former = self._gone.get(record.instance)
        if former is not None and former.born_ms < record.born_ms:
            del self._gone[record.instance]
        if known is not None and known.born_ms < record.born_ms:
            log.info(
                "backend server started again", instance=record.instance, born_ms=record.born_ms
            )
            self._drop(record.instance)

    def forget(self, instance: str) -> bool:
        """Drop an instance, which may register again; return whether it was known."""
        known = instance in self._instances
        self._drop(instance)
        return known

    def _claim_address(self, record: Instance) -> bool:
        """Replace an older instance at the address of a new one; return whether it may do so."""
        previous = self.at_address(record.address)
        if previous is None:
            return True
        silent_s = record.heard_s - previous.heard_s
        if silent_s < 0 or (record.instance in self._replaced and silent_s < self._reclaim_after_s):
            return False
        log.info(
            "instance replaced at its address", address=record.address, previous=previous.instance
        )
        self._drop(previous.instance)
        self._replaced[previous.instance] = None
        self._replaced.pop(record.instance, None)
        while len(self._replaced) > REPLACED_KEPT:
            self._replaced.popitem(last=False)
        return True

    def _remove_for_good(self, gone: Instance) -> bool:
        known = self._instances.get(gone.instance)
        if known is not None:
            gone.address = gone.address or known.address
            gone.service = gone.service or known.service
        self._drop(gone.instance)
        self._gone[gone.instance] = gone
        while len(self._gone) > DEREGISTERED_KEPT:
            self._gone.popitem(last=False)
        self._notify(gone)
        return True

    def _drop(self, instance: str) -> None:
        known = self._instances.pop(instance, None)
        if known is not None and self._by_address.get(known.address) == instance:
            del self._by_address[known.address]

    def _notify(self, instance: Instance) -> None:
        for listener in self._listeners:
            listener(instance)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["LEAVING_KEPT", "InstanceTable"]
