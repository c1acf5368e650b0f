"""Chooses which connections lose what they hold when callers together hold too much."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import Generic, TypeVar

HolderT = TypeVar("HolderT")


class Holding(Generic[HolderT]):
    """What one holder has in memory.

    Parameters
    ----------
    held_bytes
        Memory that it takes.
    stalled_s
        Time since a notable part of it moved.
    """

    __slots__ = ("held_bytes", "holder", "stalled_s")

    def __init__(self, *, holder: HolderT, held_bytes: int, stalled_s: float) -> None:
        self.holder = holder
        self.held_bytes = held_bytes
        self.stalled_s = stalled_s

    @property
    def cost(self) -> float:
        """Memory times the time for which it has not moved."""
        return self.held_bytes * self.stalled_s


class Phase(IntEnum):
    """What a connection is doing; those of a lower phase are closed first."""

    UNUSED = 0
    """It has not sent a complete head yet, or has been refused."""

    IDLE = 1
    """It was served and may send another request."""

    UNFINISHED = 2
    """The body of its request is not complete."""

    SERVED = 3
    """Its request is complete and waits for the response."""


def choose_holders(
    holdings: Iterable[Holding[HolderT]], *, excess_bytes: int
) -> list[Holding[HolderT]]:
    """Choose holders that together free at least ``excess_bytes``.

    Those that hold most and move least come first. A caller that has just come holds little and
    has not stalled, so it comes last.
    """
    chosen: list[Holding[HolderT]] = []
    freed_bytes = 0
    for holding in sorted(holdings, key=lambda each: each.cost, reverse=True):
        if freed_bytes >= excess_bytes:
            break
        chosen.append(holding)
        freed_bytes += holding.held_bytes
    return chosen


def choose_closings(
    connections: Sequence[tuple[Phase, float, HolderT]], *, count: int
) -> list[HolderT]:
    """Choose connections to close, so that new ones can be accepted.

    Parameters
    ----------
    connections
        Phase of each connection, time in seconds since which it is in that phase, and connection.
        Those whose request is served are never chosen.
    """
    closable = [each for each in connections if each[0] is not Phase.SERVED]
    closable.sort(key=lambda each: (each[0], each[1]))
    return [connection for _, _, connection in closable[:count]]


__all__ = ["Holding", "Phase", "choose_closings", "choose_holders"]
