"""When each piece is read from the origin: one after the other, as fast as its link sends them.

Asked for all at once, pieces share the origin's link and all come at its end. Until then no stager
has anything to pass on, and the origin's connections are taken: the manifest of the next version
finds none.
"""

from __future__ import annotations

from collections.abc import Iterable

AHEAD = 4  # pieces asked for at a time: the next request is there before a piece has left
LONGEST_PAUSE_S = 2.0
"""After a failure even the last piece is tried again this soon: an origin that was not asked for a
few seconds would be taken for one that answers."""


class OriginTurns:
    """Moments from which the pieces of one version may be read.

    Parameters
    ----------
    begin_s
        Loop time at which reading begins.
    piece_s
        Time in which the origin's link carries one piece; 0 where it is not known.
    """

    __slots__ = ("_begin_s", "_longest_s", "_piece_s", "_places")

    def __init__(self, *, begin_s: float, piece_s: float) -> None:
        self._begin_s = begin_s
        self._piece_s = piece_s
        self._places: dict[int, int] = {}  # empty while pieces go by their numbers
        self._longest_s = float("inf")

    def begin_again(self, unread: Iterable[int], now_s: float) -> None:
        """Deal out turns anew, after the origin did not answer.

        Parameters
        ----------
        unread
            Pieces that nobody holds, as far as is known.
        """
        self._begin_s = now_s
        self._places = {index: place for place, index in enumerate(sorted(unread))}
        self._longest_s = LONGEST_PAUSE_S

    def due_s(self, index: int) -> float:
        """Give the loop time from which a piece may be read."""
        before = max(0, self._places.get(index, index) + 1 - AHEAD)
        return self._begin_s + min(self._longest_s, before * self._piece_s)


__all__ = ["AHEAD", "LONGEST_PAUSE_S", "OriginTurns"]
