"""Incarnations that a follower knows and the followed replica does not name.

A replica tells what changes. So an incarnation that it named and has not taken back is heard there
now, however long ago that was told: the age of the last news is not the age of the last sign of
life. Only a replica that is followed can say who is not heard any more, and while none is followed
nobody can; the path to a server that is gone shows itself to requests.
"""

from __future__ import annotations

from collections.abc import Iterable

from leadhollow.membership.instance_table import InstanceTable
from leadhollow.observe.logs import get_logger

log = get_logger("instances")


class UnlistedInstances:
    """Drops incarnations that the followed replica has not named for long.

    Parameters
    ----------
    table
        What the follower knows; it also says how long nobody may name an incarnation.
    """

    __slots__ = ("_since_s", "_table")

    def __init__(self, *, table: InstanceTable) -> None:
        self._table = table
        self._since_s: dict[str, float] = {}

    def take(
        self, named: Iterable[str], silent: Iterable[str], *, whole: bool, now_s: float
    ) -> None:
        """Take whom an update names.

        Parameters
        ----------
        named
            Incarnations of which the replica says anything.
        silent
            Incarnations that it hears no more.
        whole
            Whether it names everybody that it knows.
        """
        missing = set(silent)
        if whole:
            missing |= {found.instance for found in self._table.instances()}
        missing -= set(named)
        for instance in named:
            self._since_s.pop(instance, None)
        for instance in sorted(missing):
            self._since_s.setdefault(instance, now_s)

    def pause(self) -> None:
        """Note that no replica is followed: until one is, nothing is known of anybody."""
        self._since_s = {}

    def forget(self, now_s: float) -> list[str]:
        """Drop who has not been named for long; they may come back."""
        gone = [
            instance
            for instance, since_s in self._since_s.items()
            if now_s - since_s > self._table.forget_after_s
        ]
        for instance in gone:
            unnamed_s = now_s - self._since_s.pop(instance)
            if self._table.forget(instance):
                log.info("backend server forgotten", instance=instance, unnamed_s=round(unnamed_s))
        return gone


__all__ = ["UnnamedInstances"]
