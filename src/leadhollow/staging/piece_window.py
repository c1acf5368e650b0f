"""How many pieces may be on their way to this VM at a time."""

from __future__ import annotations

from collections.abc import Callable

WINDOW = 5
"""Slices on their way, each of another piece: enough to keep our link full while senders are busy
with others, and no more, because the requests for the engine come over the same link."""

URGENT_WINDOW = 7  # where the version would come too late otherwise

ORIGIN_WINDOW = 2  # of them, further ones from the origin: one on its way, one to follow it at once
SLOW_SLICE_S = 0.25  # on its way; with a full window and pieces of the origin it is a tenth
FAST_SLICE_S = 0.12
STEP = 0.25


class PieceWindow:
    """Shrinks while pieces take long, as over a narrowed link, whatever version they are of.

    Parameters
    ----------
    link_share
        Gives what part of its declared speed this VM's link is thought to carry.

    Attributes
    ----------
    hurries
        Whether pieces go before requests, since the version would come too late.
    """

    __slots__ = ("_link_share", "_size", "urgent")

    def __init__(self, *, link_share: Callable[[], float]) -> None:
        self._link_share = link_share
        self._size = float(WINDOW)
        self.urgent = False

    @property
    def size(self) -> int:
        """Pieces of which a slice may be on its way; at least one."""
        most = URGENT_WINDOW / WINDOW if self.urgent else 1.0
        return max(1, round(self._size * most * self._link_share()))

    @property
    def link_slow(self) -> bool:
        """Whether this VM's link is thought to carry less than it should."""
        return self._link_share() < 1.0

    @property
    def reduced(self) -> bool:
        """Whether the link is thought to be slow; what the origin sends then counts too."""
        return self.size < WINDOW

    def record_slice(self, took_s: float) -> None:
        """Take the time that a slice was on its way, without its wait at the sender."""
        if took_s > SLOW_SLICE_S:
            self._size = max(1.0, self._size / 2)
        elif took_s < FAST_SLICE_S:
            self._size = min(float(WINDOW), self._size + STEP)

    def allows_stager(self, *, from_stagers: int, from_origin: int) -> bool:
        """Tell whether another stager may be asked for one more piece."""
        return from_stagers + (from_origin if self.reduced else 0) < self.size

    def allows_origin(self, *, from_stagers: int, from_origin: int) -> bool:
        """Tell whether the origin may be asked for one more piece.

        Over a slow link one piece at a time, whether stagers owe us more or not: they may have
        nothing that we need.
        """
        if not self.reduced:
            return from_origin < ORIGIN_WINDOW
        return from_origin == 0 and from_stagers <= self.size


__all__ = [
    "FROM_ORIGIN",
    "HURRIED_WINDOW",
    "QUICK_SLICE_S",
    "SLOW_SLICE_S",
    "WINDOW",
    "PieceWindow",
]
