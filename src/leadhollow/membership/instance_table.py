"""Backend servers that announce themselves over HTTP: what each incarnation said last.

The same table is kept by control replicas, entries and stagers. Records of one incarnation are
ordered by its life and the number that it counts up with each call, so the order in which they
arrive does not matter; a life that has ended is never taken again. That a life leaves may also be
known from its answers, which have no such number: it is never taken back within that life.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.observe.logs import get_logger

DEPARTED_KEPT = 4_096
"""Departed incarnations remembered, so that a late call does not bring one back."""

LEAVING_KEPT = 1_024  # lives remembered that leave, also while they are not known

REPLACED_KEPT = 1_024  # incarnations remembered whose address another one took

TAKE_BACK_S = 3.0
TAKE_BACK_BEATS = 2.5
"""Silence of an incarnation, two heartbeats and some more and at least 3 s, after which the one
that it replaced at its address may come back. A call of that one that a cut had held up arrives
while the newer one is heard; where it was the newer one's call that had been held up, that one is
heard no more."""

Listener = Callable[[Instance], None]

log = get_logger("instances")


class InstanceTable:
    """All incarnations that are not known to be gone.

    Parameters
    ----------
    forget_after_s
        Silence after which an incarnation is dropped without a word of its own. A control replica
        hears heartbeats and judges by them (:meth:`forget_silent`); one that is only told what
        changes judges by whom the replica names (:mod:`leadhollow.membership.unlisted_instances`).
    heartbeat_s
        How often an incarnation announces itself.
    """

    __slots__ = (
        "_by_address",
        "_departed",
        "_instances",
        "_leaving",
        "_listeners",
        "_replaced",
        "_take_back_s",
        "forget_after_s",
    )

    def __init__(self, *, forget_after_s: float, heartbeat_s: float = 0.0) -> None:
        self._instances: dict[str, Instance] = {}
        self._by_address: dict[str, str] = {}
        self._departed: OrderedDict[str, Instance] = OrderedDict()
        self._replaced: OrderedDict[str, None] = OrderedDict()
        self._leaving: OrderedDict[str, None] = OrderedDict()
        self.forget_after_s = forget_after_s
        self._take_back_s = max(TAKE_BACK_S, TAKE_BACK_BEATS * heartbeat_s)
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Call a function with each record that says something new, also of those that leave."""
        self._listeners.append(listener)

    def of_life(self, life: str) -> Instance | None:
        """Find the incarnation that is in this life."""
        found = self._instances.get(life.rpartition("@")[0])
        return found if found is not None and found.life == life else None

    def merge(self, heard: Instance) -> bool:
        """Take a record.

        Returns
        -------
        bool
            Whether it says something new; an older one, or one of an incarnation that has left,
            does not.
        """
        if heard.state is InstanceState.DRAINING:
            self._remember_leaving(heard.life)
        if self._is_former(heard):
            return False
        self._end_former(heard)
        if heard.instance in self._departed:
            return False
        known = self._instances.get(heard.instance)
        if heard.state is InstanceState.READY and self._leaves(heard.life, known):
            heard.state = InstanceState.DRAINING
        if known is not None:
            known.heard_s = max(known.heard_s, heard.heard_s)
            if heard.sequence < known.sequence:
                return self._set_leaving(known)
        if heard.state is InstanceState.GONE:
            return self._depart(heard)
        if known is not None and heard.sequence == known.sequence:
            return self._set_leaving(known)
        if known is not None:
            heard.heard_s = max(known.heard_s, heard.heard_s)
            if heard.says_the_same(known):
                known.sequence = heard.sequence
                known.cold_until_s = heard.cold_until_s
                return False
        elif not self._take_address(heard):
            return False
        self._instances[heard.instance] = heard
        self._by_address[heard.address] = heard.instance
        self._tell(heard)
        return True

    def record_leaving(self, life: str) -> Instance | None:
        """Note that a life leaves, as an answer of it said; None where that is no news.

        A life that is not known yet leaves from the first record on.
        """
        self._remember_leaving(life)
        known = self.of_life(life)
        if known is None or not self._set_leaving(known):
            return None
        return self._instances[known.instance]

    def deregister(self, instance: str, *, born_ms: int = 0) -> Instance | None:
        """Note that an incarnation left, also one that was never heard of; None if known gone.

        Parameters
        ----------
        born_ms
            The life that left, 0 for the newest one that is known.
        """
        known = self._instances.get(instance)
        if instance in self._departed:
            return None
        if known is not None and 0 < born_ms < known.born_ms:
            return None  # the word of a former life came late
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
        self._depart(gone)
        return gone

    def get(self, instance: str) -> Instance | None:
        """Find an incarnation that has not left."""
        return self._instances.get(instance)

    def at_address(self, address: str) -> Instance | None:
        """Find the newest incarnation at an address."""
        return self._instances.get(self._by_address.get(address, ""))

    def instances(self) -> list[Instance]:
        """Give all incarnations that have not left."""
        return list(self._instances.values())

    def deregistered(self) -> list[Instance]:
        """Give the incarnations that left, as far as they are remembered."""
        return list(self._departed.values())

    def of_service(self, service: str) -> list[Instance]:
        """Give the incarnations of a service that have not left."""
        return [found for found in self._instances.values() if found.service == service]

    def forget_silent(self, *, silence_s: Callable[[float], float]) -> list[Instance]:
        """Drop incarnations that nobody has heard for long; they may come back.

        Parameters
        ----------
        silence_s
            Gives for how long whoever was heard last at a time has been silent.
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

    def _leaves(self, life: str, known: Instance | None) -> bool:
        """Tell whether a life is known to leave, also where too many others have left since."""
        if life in self._leaving:
            return True
        return known is not None and known.state is InstanceState.DRAINING

    def _remember_leaving(self, life: str) -> None:
        self._leaving[life] = None
        while len(self._leaving) > LEAVING_KEPT:
            self._leaving.popitem(last=False)

    def _set_leaving(self, known: Instance) -> bool:
        """Let a life that was ready leave, if it is known to; tells whether that is news."""
        if known.state is not InstanceState.READY or known.life not in self._leaving:
            return False
        left = self._instances[known.instance] = known.leaving()
        self._tell(left)
        return True

    def _is_former(self, heard: Instance) -> bool:
        """Tell whether a record is of a life before the one that is known."""
        known = self._instances.get(heard.instance) or self._departed.get(heard.instance)
        return known is not None and heard.born_ms < known.born_ms

    def _end_former(self, heard: Instance) -> None:
        """Let a server that started again under its name begin with nothing."""
        known = self._instances.get(heard.instance)
        departed = self._departed.get(heard.instance)
        if departed is not None and departed.born_ms < heard.born_ms:
            del self._departed[heard.instance]
        if known is not None and known.born_ms < heard.born_ms:
            log.info("backend server started again", instance=heard.instance, born_ms=heard.born_ms)
            self._drop(heard.instance)

    def forget(self, instance: str) -> bool:
        """Drop one incarnation, which may come back; tells whether it was known."""
        known = instance in self._instances
        self._drop(instance)
        return known

    def _take_address(self, heard: Instance) -> bool:
        """Let a newer incarnation replace one at the same address."""
        previous = self.at_address(heard.address)
        if previous is None:
            return True
        silent_s = heard.heard_s - previous.heard_s
        if silent_s < 0 or (heard.instance in self._replaced and silent_s < self._take_back_s):
            return False
        log.info("address taken over", address=heard.address, previous=previous.instance)
        self._drop(previous.instance)
        self._replaced[previous.instance] = None
        self._replaced.pop(heard.instance, None)
        while len(self._replaced) > REPLACED_KEPT:
            self._replaced.popitem(last=False)
        return True

    def _depart(self, gone: Instance) -> bool:
        known = self._instances.get(gone.instance)
        if known is not None:
            gone.address = gone.address or known.address
            gone.service = gone.service or known.service
        self._drop(gone.instance)
        self._departed[gone.instance] = gone
        while len(self._departed) > DEPARTED_KEPT:
            self._departed.popitem(last=False)
        self._tell(gone)
        return True

    def _drop(self, instance: str) -> None:
        known = self._instances.pop(instance, None)
        if known is not None and self._by_address.get(known.address) == instance:
            del self._by_address[known.address]

    def _tell(self, instance: Instance) -> None:
        for listener in self._listeners:
            listener(instance)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["LEAVING_KEPT", "InstanceTable"]
