"""Another stager as a source of pieces: what it holds and what is ordered there."""

from __future__ import annotations

import asyncio

from leadhollow.staging.piece_assignment import Stager
from leadhollow.weights.bitmap import Bitmap

AVOIDED_S = 1.5  # how long a source that did not answer is left alone
CONNECT_GRACE_S = (
    0.5  # time to reach another stager; who was not reached within it is taken for lost
)
SILENT_AFTER_S = 0.7  # a source that owes us slices and sent none for so long is asked for no more
USUAL_SLICE_S = 0.05  # assumed of a source that has sent nothing yet
SLICE_WEIGHT = 0.3  # of the newest slice in the running mean


class PieceSource:
    """Another stager.

    Parameters
    ----------
    count
        Pieces of the version.

    Attributes
    ----------
    followed_s
        When it was first asked what it holds.
    tried
        Whether it told what it holds, or could not be reached.
    slice_s
        Mean time from a request to its slice lately.
    """

    __slots__ = (
        "avoided_until_s",
        "connected",
        "followed_s",
        "held",
        "requested",
        "progress_s",
        "slice_s",
        "stager",
        "tasks",
        "contacted",
    )

    def __init__(self, *, stager: Stager, count: int) -> None:
        self.stager = stager
        self.held = Bitmap(count=count)
        self.requested: set[int] = set()
        self.connected = False
        self.followed_s = 0.0
        self.contacted = False
        self.progress_s = 0.0
        self.slice_s = USUAL_SLICE_S
        self.avoided_until_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()

    def is_usable(self, now_s: float) -> bool:
        """Tell whether it can be asked."""
        hangs = bool(self.requested) and now_s - self.progress_s > SILENT_AFTER_S
        return self.connected and now_s >= self.avoided_until_s and not hangs

    def is_unreachable(self, now_s: float) -> bool:
        """Tell whether it cannot be reached."""
        return not self.connected and (self.contacted or now_s - self.followed_s > CONNECT_GRACE_S)

    def record_request(self, index: int, now_s: float) -> None:
        """Note a piece that is asked for there."""
        if not self.requested:
            self.progress_s = now_s
        self.requested.add(index)

    def record_slice(self, took_s: float, now_s: float) -> None:
        """Take the time from a request to its slice."""
        self.progress_s = now_s
        self.slice_s += SLICE_WEIGHT * (took_s - self.slice_s)

    def avoid(self, now_s: float) -> None:
        """Ask it for nothing for a while."""
        self.avoided_until_s = now_s + AVOIDED_S


__all__ = ["MEET_S", "PieceSource"]
