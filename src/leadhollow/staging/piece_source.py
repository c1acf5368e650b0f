"""Another stager as a source of pieces: what it holds and which requests are pending there."""

from __future__ import annotations

import asyncio

from leadhollow.staging.piece_assignment import Stager
from leadhollow.weights.bitmap import Bitmap

AVOID_S = 1.5  # how long no requests are sent to a source that did not answer
CONNECT_GRACE_S = 0.5  # a stager that could not be reached within it counts as unreachable
SILENT_AFTER_S = 0.7  # a source with pending slices that sends none for so long gets no requests
INITIAL_SLICE_S = 0.05  # assumed slice time of a source that has not sent anything yet
SLICE_TIME_WEIGHT = 0.3  # weight of the newest slice in the moving average


class PieceSource:
    """Another stager from which pieces of one version can be requested.

    Parameters
    ----------
    count
        Number of pieces of the version.

    Attributes
    ----------
    followed_s
        When this stager began to follow its announcements.
    contacted
        Whether it announced what it holds, or a connection attempt failed.
    requested
        Pieces whose requests are pending.
    slice_s
        Moving average of the time from a request to its slice.
    """

    __slots__ = (
        "avoided_until_s",
        "connected",
        "contacted",
        "followed_s",
        "held",
        "progress_s",
        "requested",
        "slice_s",
        "stager",
        "tasks",
    )

    def __init__(self, *, stager: Stager, count: int) -> None:
        self.stager = stager
        self.held = Bitmap(count=count)
        self.requested: set[int] = set()
        self.connected = False
        self.followed_s = 0.0
        self.contacted = False
        self.progress_s = 0.0
        self.slice_s = INITIAL_SLICE_S
        self.avoided_until_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()

    def is_usable(self, now_s: float) -> bool:
        """Return whether pieces can be requested from it."""
        silent = bool(self.requested) and now_s - self.progress_s > SILENT_AFTER_S
        return self.connected and now_s >= self.avoided_until_s and not silent

    def is_unreachable(self, now_s: float) -> bool:
        """Return whether it cannot be reached."""
        return not self.connected and (self.contacted or now_s - self.followed_s > CONNECT_GRACE_S)

    def record_request(self, index: int, now_s: float) -> None:
        """Record that a piece was requested from it."""
        if not self.requested:
            self.progress_s = now_s
        self.requested.add(index)

    def record_slice(self, took_s: float, now_s: float) -> None:
        """Record the time from a request to its slice."""
        self.progress_s = now_s
        self.slice_s += SLICE_TIME_WEIGHT * (took_s - self.slice_s)

    def avoid(self, now_s: float) -> None:
        """Request nothing from it for ``AVOID_S``."""
        self.avoided_until_s = now_s + AVOID_S


__all__ = ["CONNECT_GRACE_S", "PieceSource"]
