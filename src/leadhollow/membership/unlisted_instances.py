"""Expiry of instances that the followed control replica no longer lists.

A replica sends only changes. An instance that it listed and has not reported as silent is alive,
however old its last record is. Only the followed replica can say which instances are silent; while
none is followed, none are dropped. Requests then find out by themselves that a server is gone.
"""

from __future__ import annotations

from collections.abc import Iterable

from leadhollow.membership.instance_table import InstanceTable
from leadhollow.observe.logs import get_logger

log = get_logger("instances")


class UnlistedInstances:
    """Drops instances that the followed replica has not listed for long.

    Parameters
    ----------
    table
        Table of the subscriber; its ``forget_after_s`` is the time until an instance is dropped.
    """

    __slots__ = ("_since_s", "_table")

    def __init__(self, *, table: InstanceTable) -> None:
        self._table = table
        self._since_s: dict[str, float] = {}

    def apply(
        self, listed: Iterable[str], silent: Iterable[str], *, whole: bool, now_s: float
    ) -> None:
        """Apply the instances that an update lists.

        Parameters
        ----------
        listed
            Ids of instances for which the update has a record.
        silent
            Ids of instances that the replica reports as silent.
        whole
            Whether this is a full update, which lists all instances that the replica knows.
        now_s
            Active time (:mod:`leadhollow.kernel.active_time`).
        """
        missing = set(silent)
        if whole:
            missing |= {found.instance for found in self._table.instances()}
        missing -= set(listed)
        for instance in listed:
            self._since_s.pop(instance, None)
        for instance in sorted(missing):
            self._since_s.setdefault(instance, now_s)

    def reset(self) -> None:
        """Clear all state because no replica is followed."""
        self._since_s = {}

    def drop_expired(self, now_s: float) -> list[str]:
        """Drop instances that have not been listed for long; they may register again.

        Returns
        -------
        list of str
            Ids of the dropped instances.
        """
        expired = [
            instance
            for instance, since_s in self._since_s.items()
            if now_s - since_s > self._table.forget_after_s
        ]
        for instance in expired:
            unlisted_s = now_s - self._since_s.pop(instance)
            if self._table.forget(instance):
                log.info("backend server forgotten", instance=instance, unnamed_s=round(unlisted_s))
        return expired


__all__ = ["UnlistedInstances"]
