"""When a caller that was refused should come back.

Its one later attempt is worth most where it meets an engine that is free, so callers are spread
over the time in which that becomes likely. Callers wait a third of their time at most.
"""

from __future__ import annotations

import random
from enum import Enum


class RefusalReason(Enum):
    """Why nothing was done for a request."""

    OVERLOADED = "overloaded"
    """Engines serve, and others were before it: some of their requests must end first."""

    NOBODY_SERVES = "nobody serves"
    """No engine may take it now. Engines that load new weights or start are back in 1 to 2 s."""

    NOT_READY = "not ready"
    """This entry has just started and knows no route table; after a loss of power none does."""

    STOPPING = "stopping"
    """This entry is leaving; another one takes the request at once."""

    NO_SERVER = "no server"
    """No server of a plain service took it; their requests take a tenth of a second."""

    def retry_after_s(self, source: random.Random) -> float:
        """Choose the time in seconds after which to try again."""
        return source.uniform(*RETRY_AFTER_RANGES_S[self])


RETRY_AFTER_RANGES_S = {
    RefusalReason.OVERLOADED: (0.6, 1.8),
    RefusalReason.NOBODY_SERVES: (1.2, 2.0),
    RefusalReason.NOT_READY: (1.2, 2.0),
    RefusalReason.STOPPING: (0.1, 0.3),
    RefusalReason.NO_SERVER: (0.4, 1.0),
}
"""Shortest and longest time of each, by how long its cause lasts."""


RANK_STEP_S = 0.15  # by which callers of one rank come back before those of the next
MOST_RANKS = 3  # that are told apart


def retry_after_backoff_s(left_s: float, *, rank: int, source: random.Random) -> float:
    """Choose the time in seconds after which to try again where all servers rest.

    Parameters
    ----------
    left_s
        Time until the first of them takes requests.
    rank
        Urgency of the request, 0 first.
    """
    return left_s + (min(rank, MOST_RANKS) + source.random()) * RANK_STEP_S


__all__ = ["Refusal", "after_rest_s"]
