"""Another stager as a source of pieces: what it holds and what is ordered there."""

from __future__ import annotations

import asyncio

from leadhollow.staging.sharing import Stager
from leadhollow.weights.bitmap import Bitmap

STALLED_AFTER_S = 2.0  # a source that sends nothing of what was ordered is left alone
AVOIDED_S = 1.5  # for this long


class PieceSource:
    """Another stager.

    Parameters
    ----------
    count
        Pieces of the version.
    """

    __slots__ = (
        "avoided_until_s",
        "connected",
        "held",
        "ordered",
        "progress_s",
        "receiving",
        "stager",
        "tasks",
        "tried",
    )

    def __init__(self, *, stager: Stager, count: int) -> None:
        self.stager = stager
        self.held = Bitmap(count=count)
        self.ordered: set[int] = set()
        self.connected = False
        self.tried = False
        self.progress_s = 0.0
        self.avoided_until_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        self.receiving: set[asyncio.Task[None]] = set()

    def usable(self, now_s: float) -> bool:
        """Tell whether it can be asked."""
        return self.connected and now_s >= self.avoided_until_s

    def stalled(self, now_s: float) -> bool:
        """Tell whether it owes us pieces and has sent nothing for long."""
        return bool(self.ordered) and now_s - self.progress_s > STALLED_AFTER_S

    def avoid(self, now_s: float) -> None:
        """Ask it for nothing for a while, and wait no longer for what was ordered."""
        self.avoided_until_s = now_s + AVOIDED_S
        for task in self.receiving:
            task.cancel()


__all__ = ["PieceSource"]
