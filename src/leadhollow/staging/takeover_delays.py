"""Delays after which the next stager takes over a piece that the assigned one has not obtained.

While much is left to do, one stager may be far behind another and still finish its share in time.
When little is left, a late stager delays the whole version much sooner.
"""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.staging.announcements import MIN_ANNOUNCE_INTERVAL_S

MAX_IMPORT_DELAY_S = 0.9
"""Time in which one stager should import a piece that other failure domains hold; it requests such
pieces first. After it the next stager takes over."""

MAX_READ_DELAY_S = 1.2
"""How much later than another one a stager may finish reading its share from the origin, which
serves all equally; then the next one reads the rest. Several stagers that take over for several
others share the origin's link. A takeover before all of these pieces could be read slows down
everybody."""

ANNOUNCE_S = 0.11  # time for a piece request in addition to the announcement interval
IMPORT_S = 0.3
"""Time for a piece to arrive from its holder over busy links and for others to learn of it. With a
shorter delay, stagers would import pieces again that are already on their way."""

SLACK_FACTOR = 2.0  # links carry requests too, and the origin serves several stagers at once


class TakeoverDelays:
    """Computes the takeover delays for one version.

    Parameters
    ----------
    piece_bytes
        Size of its pieces.
    origin_bytes_per_s
        Returns the speed of the origin's link, 0 if unknown.
    link_bytes_per_s
        Returns the speed of a stager's link.
    announce_interval_s
        Returns how long a stager collects pieces before it announces them.
    """

    __slots__ = ("_announce_interval_s", "_link_bytes_per_s", "_origin_bytes_per_s", "_piece_bytes")

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
        self._announce_interval_s = announce_interval_s

    def read_delay_s(self, unread: int) -> float:
        """Return the delay before another stager reads a piece from the origin.

        Parameters
        ----------
        unread
            Number of pieces that no stager holds yet.
        """
        speed = self._origin_bytes_per_s()
        if speed <= 0:
            return MAX_READ_DELAY_S
        needed_s = unread * self._piece_bytes / speed
        return min(
            MAX_READ_DELAY_S, ANNOUNCE_S + self._announce_interval_s() + SLACK_FACTOR * needed_s
        )

    def origin_piece_s(self) -> float:
        """Return the time in which the origin's link carries one piece; 0 if unknown."""
        speed = self._origin_bytes_per_s()
        return self._piece_bytes / speed if speed > 0 else 0.0

    def import_delay_s(self, remote: int, importers: int) -> float:
        """Return the delay before another stager imports a piece into its failure domain.

        Parameters
        ----------
        remote
            Number of pieces that only stagers of other failure domains hold.
        importers
            Number of stagers of the domain, among which these pieces are divided.
        """
        pieces_each = -(-remote // max(1, importers))
        needed_s = pieces_each * self._piece_bytes / self._link_bytes_per_s()
        return min(
            MAX_IMPORT_DELAY_S, IMPORT_S + self._announce_interval_s() + SLACK_FACTOR * needed_s
        )


__all__ = ["MAX_IMPORT_DELAY_S", "MAX_READ_DELAY_S", "TakeoverDelays"]
