"""The schedule by which stagers read pieces from the origin, paced to the speed of its link.

If all pieces were requested at once, they would share the origin's link and all arrive at the end.
Until then no stager would have anything to pass on, and the origin's connections would be occupied:
a request for the manifest of the next version would find none free.
"""

from __future__ import annotations

from collections.abc import Iterable

READ_AHEAD = 4  # concurrent piece requests; the next request arrives before a piece has been sent
RETRY_STEP_S = 0.5
"""While the origin is unavailable, a few readers try it, and one more after each step. When it
answers again, not all readers send their requests at once."""

MAX_RETRY_DELAY_S = 8.0  # after it even the last reader tries again, whatever others have announced


class OriginSchedule:
    """Computes the times from which the pieces of one version may be read.

    Parameters
    ----------
    begin_s
        Loop time at which reading begins.
    piece_s
        Time in which the origin's link carries one piece; 0 if unknown.

    Attributes
    ----------
    unavailable
        Whether the origin did not answer and no stager is known to have read a piece since.
    """

    __slots__ = ("_begin_s", "_piece_s", "_ranks", "_unread", "unavailable")

    def __init__(self, *, begin_s: float, piece_s: float) -> None:
        self._begin_s = begin_s
        self._piece_s = piece_s
        self._ranks: dict[int, int] = {}  # empty while pieces are read in the order of their index
        # bit mask of the pieces that no stager was known to hold when the origin failed
        self._unread = 0
        self.unavailable = False

    def record_failure(self, unread: Iterable[int], now_s: float) -> None:
        """Record that the origin did not answer.

        Parameters
        ----------
        unread
            Pieces that no stager is known to hold.
        """
        self._begin_s = now_s
        self._ranks = {index: rank for rank, index in enumerate(sorted(unread))}
        self._unread = sum(1 << index for index in self._ranks)
        self.unavailable = True

    def record_held(self, held: int, now_s: float) -> None:
        """Record what other stagers hold; a newly read piece shows that the origin answers again.

        Parameters
        ----------
        held
            Bit mask of the pieces.
        """
        if self.unavailable and held & self._unread:
            self.record_success(now_s)

    def record_success(self, now_s: float) -> None:
        """Record that the origin answered; after an outage the schedule restarts."""
        if self.unavailable:
            self._begin_s = now_s
            self.unavailable = False

    def due_s(self, index: int) -> float:
        """Return the loop time from which a piece may be read."""
        before = max(0, self._ranks.get(index, index) + 1 - READ_AHEAD)
        if self.unavailable:
            return self._begin_s + min(MAX_RETRY_DELAY_S, before * max(self._piece_s, RETRY_STEP_S))
        return self._begin_s + before * self._piece_s


__all__ = ["MAX_RETRY_DELAY_S", "READ_AHEAD", "RETRY_STEP_S", "OriginSchedule"]
