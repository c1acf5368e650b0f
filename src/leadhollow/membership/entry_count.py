"""Number of entries that share a system-wide limit."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

RETENTION_S = 60.0
"""Time for which a higher count stays in force. A replica that is partitioned off or has just
started counts only its own subscribers, while all other entries still use their shares."""

COUNT_SETTLES_S = 2.0
ASSUMED_ENTRIES = 128
"""Entries that are assumed, at least, until a process has heard for ``COUNT_SETTLES_S`` from
replicas that a majority confirms. After a loss of all power each replica counts only its own
entries at first, and a replica that is partitioned off counts only those on its side."""


class EntryCount:
    """Highest number of live entries that replicas reported recently.

    Parameters
    ----------
    clock
        Returns the time in seconds, suspensions included.
    """

    __slots__ = ("_clock", "_confirmed_since_s", "_counts")

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._counts: deque[tuple[float, int]] = deque()  # (time, count), counts decreasing
        self._confirmed_since_s: float | None = None

    def record(self, count: int, *, confirmed: bool) -> None:
        """Record the number of live entries that a replica reported.

        Parameters
        ----------
        confirmed
            Whether a majority confirms the replica.
        """
        now_s = self._clock()
        if confirmed and self._confirmed_since_s is None:
            self._confirmed_since_s = now_s
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now_s, count))
        self._expire(now_s)

    def maximum(self) -> int:
        """Return the highest recent count, at least 1 for this entry."""
        self._expire(self._clock())
        return max(1, self._counts[0][1]) if self._counts else 1

    def cautious_maximum(self) -> int:
        """Return a number that is not too small while replicas may not know all entries."""
        since_s = self._confirmed_since_s
        settled = since_s is not None and self._clock() - since_s >= COUNT_SETTLES_S
        return self.maximum() if settled else max(ASSUMED_ENTRIES, self.maximum())

    def _expire(self, now_s: float) -> None:
        """Drop expired counts; the latest one stays until another is recorded."""
        while len(self._counts) > 1 and now_s - self._counts[0][0] > RETENTION_S:
            self._counts.popleft()


__all__ = ["ASSUMED_ENTRIES", "COUNT_SETTLES_S", "RETENTION_S", "EntryCount"]
