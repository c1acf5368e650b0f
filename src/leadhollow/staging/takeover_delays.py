"""How long the others wait for a stager whose task a piece is, before the next one steps in.

With much to do one stager may be far behind another and still do its part soon; with little left
to do it is late much sooner, and everybody waits for the last pieces of a version.
"""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.staging.announcements import MIN_ANNOUNCE_INTERVAL_S

MAX_IMPORT_DELAY_S = 0.9
"""Time in which one stager should bring in a piece that is held elsewhere; it asks for those first.
Then it is the next one's turn."""

MAX_READ_DELAY_S = 1.2
"""Time by which one stager may be later than another in reading its part from the origin, which
serves all alike; then the next one reads what is left. Several that step in for several at once
share its link: who loses patience sooner than all of these are read makes it slower for all."""

TELL_S = 0.11  # a request for a piece is on its way as long, besides the pause of its news
IMPORT_S = 0.3
"""A piece takes as long from its holder over busy links, and until others know that it is here. Who
waits less brings in again what is on its way."""

SLACK = 2.0  # links carry requests too, and the origin serves several at once


class TakeoverDelays:
    """Waiting times of one version.

    Parameters
    ----------
    piece_bytes
        Size of its pieces.
    origin_bytes_per_s
        Gives the speed of the origin's link, 0 where it is not known.
    link_bytes_per_s
        Gives the speed of a stager's link.
    announce_interval_s
        Gives how long a stager gathers pieces before it tells of them.
    """

    __slots__ = ("_link_bytes_per_s", "_news_pause_s", "_origin_bytes_per_s", "_piece_bytes")

    def __init__(
        self,
        *,
        piece_bytes: int,
        origin_bytes_per_s: Callable[[], float],
        link_bytes_per_s: Callable[[], float],
        announce_interval_s: Callable[[], float] = lambda: MIN_ANNOUNCE_INTERVAL_S,
    ) -> None:
        self._piece_bytes = piece_bytes
        self._origin_bytes_per_s = origin_bytes_per_s
        self._link_bytes_per_s = link_bytes_per_s
        self._news_pause_s = announce_interval_s

    def read_delay_s(self, unread: int) -> float:
        """Give the patience with a reader at the origin.

        Parameters
        ----------
        unread
            Pieces that no stager holds yet.
        """
        speed = self._origin_bytes_per_s()
        if speed <= 0:
            return MAX_READ_DELAY_S
        needed_s = unread * self._piece_bytes / speed
        return min(MAX_READ_DELAY_S, TELL_S + self._news_pause_s() + SLACK * needed_s)

    def origin_piece_s(self) -> float:
        """Give the time in which the origin's link carries a piece; 0 where it is not known."""
        speed = self._origin_bytes_per_s()
        return self._piece_bytes / speed if speed > 0 else 0.0

    def import_delay_s(self, remote: int, importers: int) -> float:
        """Give the patience with one that brings pieces into a failure domain.

        Parameters
        ----------
        outside
            Pieces that are held outside the domain only.
        importers
            Stagers of the domain, among whom the pieces are dealt out.
        """
        each = -(-remote // max(1, importers))
        needed_s = each * self._piece_bytes / self._link_bytes_per_s()
        return min(MAX_IMPORT_DELAY_S, IMPORT_S + self._news_pause_s() + SLACK * needed_s)


__all__ = ["LONGEST_IMPORT_S", "LONGEST_READ_S", "TaskPatience"]
