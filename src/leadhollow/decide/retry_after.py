"""Chooses when a refused caller should try again.

A caller retries once. The retry is worth most if it finds a free engine, so retries are spread over
the time in which engines are likely to become free. Callers wait for a third of their deadline at
most.
"""

from __future__ import annotations

import random
from enum import Enum


class RefusalReason(Enum):
    """Why a request was refused before any work was done for it."""

    OVERLOADED = "overloaded"
    """All engines are busy with other requests, some of which must end first."""

    NOBODY_SERVES = "nobody serves"
    """No engine can take the request. Engines that start or load new weights need 1 to 2 s."""

    NOT_READY = "not ready"
    """This entry has just started and has no route table. After a power loss no entry has one."""

    STOPPING = "stopping"
    """This entry is shutting down. Another one takes the request at once."""

    NO_SERVER = "no server"
    """No server of a plain service took the request. Requests there take a tenth of a second."""

    def retry_after_s(self, source: random.Random) -> float:
        """Choose the delay in seconds before the caller tries again."""
        return source.uniform(*RETRY_AFTER_RANGES_S[self])


RETRY_AFTER_RANGES_S = {
    RefusalReason.OVERLOADED: (0.6, 1.8),
    RefusalReason.NOBODY_SERVES: (1.2, 2.0),
    RefusalReason.NOT_READY: (1.2, 2.0),
    RefusalReason.STOPPING: (0.1, 0.3),
    RefusalReason.NO_SERVER: (0.4, 1.0),
}
"""Shortest and longest delay for each reason, according to how long its cause lasts."""


RANK_STEP_S = 0.15  # callers of one rank retry within this time, before those of the next rank
MAX_RANK = 3  # higher ranks are treated like this one


def retry_after_backoff_s(left_s: float, *, rank: int, source: random.Random) -> float:
    """Choose the delay in seconds before a retry if all servers asked for a back-off.

    Parameters
    ----------
    left_s
        Time until the first server takes requests again.
    rank
        Urgency of the request; 0 is the most urgent.
    """
    return left_s + (min(rank, MAX_RANK) + source.random()) * RANK_STEP_S


__all__ = ["RefusalReason", "retry_after_backoff_s"]
