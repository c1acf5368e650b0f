"""When each piece is read from the origin: one after the other, as fast as its link sends them.

Asked for all at once, pieces share the origin's link and all come at its end. Until then no stager
has anything to pass on, and the origin's connections are taken: the manifest of the next version
finds none.
"""

from __future__ import annotations

from collections.abc import Iterable

READ_AHEAD = 4  # pieces asked for at a time: the next request is there before a piece has left
PROBE_STEP_S = 0.5
"""While the origin does not answer, a few readers try it and one more after each such time. When it
answers again, the others do not all ask at once."""

MAX_RETRY_DELAY_S = 8.0  # even the last reader tries again this soon, whatever it hears of others


class OriginSchedule:
    """Moments from which the pieces of one version may be read.

    Parameters
    ----------
    begin_s
        Loop time at which reading begins.
    piece_s
        Time in which the origin's link carries one piece; 0 where it is not known.

    Attributes
    ----------
    away
        Whether the origin did not answer, and nobody is known to have read a piece since.
    """

    __slots__ = ("_begin_s", "_piece_s", "_places", "_unread", "unavailable")

    def __init__(self, *, begin_s: float, piece_s: float) -> None:
        self._begin_s = begin_s
        self._piece_s = piece_s
        self._places: dict[int, int] = {}  # empty while pieces go by their numbers
        self._unread = 0  # bits of the pieces that nobody held when the origin did not answer
        self.unavailable = False

    def record_failure(self, unread: Iterable[int], now_s: float) -> None:
        """Take note that the origin did not answer.

        Parameters
        ----------
        unread
            Pieces that nobody holds, as far as is known.
        """
        self._begin_s = now_s
        self._places = {index: place for place, index in enumerate(sorted(unread))}
        self._unread = sum(1 << index for index in self._places)
        self.unavailable = True

    def record_held(self, held: int, now_s: float) -> None:
        """Take note of what others hold: a piece that nobody held before shows the origin is back.

        Parameters
        ----------
        held
            Bits of the pieces.
        """
        if self.unavailable and held & self._unread:
            self.record_success(now_s)

    def record_success(self, now_s: float) -> None:
        """Take note that the origin answers; after it was away turns begin anew."""
        if self.unavailable:
            self._begin_s = now_s
            self.unavailable = False

    def due_s(self, index: int) -> float:
        """Give the loop time from which a piece may be read."""
        before = max(0, self._places.get(index, index) + 1 - READ_AHEAD)
        if self.unavailable:
            return self._begin_s + min(MAX_RETRY_DELAY_S, before * max(self._piece_s, PROBE_STEP_S))
        return self._begin_s + before * self._piece_s


__all__ = ["AHEAD", "MAX_RETRY_DELAY_S", "PROBE_STEP_S", "OriginTurns"]
