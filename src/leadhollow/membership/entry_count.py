"""Number of entries that share a system-wide limit."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

RETENTION_S = 60.0
"""Time for which a higher count stays in force. A replica that is partitioned off or has just
started counts only its own subscribers, while all other entries still use their shares."""

COUNT_SETTLES_S = 2.0
ASSUMED_ENTRIES = 128
"""Entries that are assumed, at least, until ``COUNT_SETTLES_S`` after a process first heard from
control. After a loss of all power each replica counts only its own entries at first."""


class EntryCount:
    """Highest number of live entries that replicas reported recently.

    Parameters
    ----------
    clock
        Returns the time in seconds, suspensions included.
    """

    __slots__ = ("_clock", "_counts")

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._counts: deque[tuple[float, int]] = deque()  # (time, count), counts decreasing

    def record(self, count: int) -> None:
        """Record the number of live entries that a replica reported."""
        now_s = self._clock()
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now_s, count))
        self._expire(now_s)

    def maximum(self) -> int:
        """Return the highest recent count, at least 1 for this entry."""
        self._expire(self._clock())
        return max(1, self._counts[0][1]) if self._counts else 1

    def _expire(self, now_s: float) -> None:
        """Drop expired counts; the latest one stays until another is recorded."""
        while len(self._counts) > 1 and now_s - self._counts[0][0] > RETENTION_S:
            self._counts.popleft()


def cautious_count(count: int, *, heard_for_s: float | None) -> int:
    """Return a number of entries that is not too small while replicas may not know all of them.

    Parameters
    ----------
    heard_for_s
        Time since this process first heard from control, None before.
    """
    settled = heard_for_s is not None and heard_for_s >= COUNT_SETTLES_S
    return count if settled else max(ASSUMED_ENTRIES, count)


__all__ = ["ASSUMED_ENTRIES", "COUNT_SETTLES_S", "RETENTION_S", "EntryCount", "cautious_count"]
