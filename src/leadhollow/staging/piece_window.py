"""Limits how many pieces a stager requests at the same time."""

from __future__ import annotations

from collections.abc import Callable

WINDOW = 5
"""Slices in flight, each of a different piece. They keep the link busy while senders serve other
stagers. More would delay the requests for the engine, which arrive over the same link."""

URGENT_WINDOW = 7  # if the version would otherwise come too late

ORIGIN_WINDOW = 2  # additional pieces from the origin: one in transfer, one queued behind it
SLOW_SLICE_S = 0.25  # 0.1 s is usual with a full window and pieces from the origin
FAST_SLICE_S = 0.12
GROWTH_STEP = 0.25


class PieceWindow:
    """Number of pieces in flight, reduced while transfers are slow; all versions share one window.

    Parameters
    ----------
    link_share
        Returns the fraction of the declared speed that this VM's link is estimated to carry.

    Attributes
    ----------
    urgent
        Whether pieces go before requests, because the version would otherwise come too late.
    """

    __slots__ = ("_link_share", "_size", "urgent")

    def __init__(self, *, link_share: Callable[[], float]) -> None:
        self._link_share = link_share
        self._size = float(WINDOW)
        self.urgent = False

    @property
    def size(self) -> int:
        """Number of pieces of which a slice may be in flight; at least one."""
        factor = URGENT_WINDOW / WINDOW if self.urgent else 1.0
        return max(1, round(self._size * factor * self._link_share()))

    @property
    def link_slow(self) -> bool:
        """Whether this VM's link is estimated to carry less than its declared speed."""
        return self._link_share() < 1.0

    @property
    def reduced(self) -> bool:
        """Whether the window is below its normal size; pieces from the origin then count too."""
        return self.size < WINDOW

    def record_slice(self, took_s: float) -> None:
        """Record the transfer time of a slice, without its time in the sender's queue."""
        if took_s > SLOW_SLICE_S:
            self._size = max(1.0, self._size / 2)
        elif took_s < FAST_SLICE_S:
            self._size = min(float(WINDOW), self._size + GROWTH_STEP)

    def allows_stager(self, *, from_stagers: int, from_origin: int) -> bool:
        """Return whether one more piece may be requested from another stager."""
        return from_stagers + (from_origin if self.reduced else 0) < self.size

    def allows_origin(self, *, from_stagers: int, from_origin: int) -> bool:
        """Return whether one more piece may be requested from the origin.

        Over a slow link the limit is one piece at a time, even while pieces from stagers are
        pending: those stagers may not hold what is missing here.
        """
        if not self.reduced:
            return from_origin < ORIGIN_WINDOW
        return from_origin == 0 and from_stagers <= self.size


__all__ = [
    "FAST_SLICE_S",
    "ORIGIN_WINDOW",
    "SLOW_SLICE_S",
    "URGENT_WINDOW",
    "WINDOW",
    "PieceWindow",
]
