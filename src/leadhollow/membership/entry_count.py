"""How many entries share what is bounded for all of them together."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

REMEMBERED_S = 60.0
"""How long entries count that are not told of any more. A replica that is cut off, or has just
started, knows only those that follow it; the others still use their parts."""


class EntryCount:
    """The most live entries that were told of lately.

    Parameters
    ----------
    clock
        Gives the time, suspensions included.
    """

    __slots__ = ("_clock", "_told")

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._told: deque[tuple[float, int]] = deque()  # counts that fall, with when each was told

    def record(self, count: int) -> None:
        """Take the number of live entries as a replica knows it."""
        now_s = self._clock()
        while self._told and self._told[-1][1] <= count:
            self._told.pop()
        self._told.append((now_s, count))
        self._forget(now_s)

    def maximum(self) -> int:
        """Give the highest count, at least this entry itself."""
        self._forget(self._clock())
        return max(1, self._told[0][1]) if self._told else 1

    def _forget(self, now_s: float) -> None:
        """Drop old counts; the last one told stands for as long as none follows."""
        while len(self._told) > 1 and now_s - self._told[0][0] > REMEMBERED_S:
            self._told.popleft()


__all__ = ["REMEMBERED_S", "EntryCount"]
