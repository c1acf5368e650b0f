"""What the leader knows of the log of another replica."""

from __future__ import annotations

import asyncio

from leadhollow.codes import Code
from leadhollow.kernel import active_time
from leadhollow.observe.logs import get_logger
from leadhollow.state.request_parts import PartedRequest
from leadhollow.state.voters import Voter

BEHIND_LOGGED_S = 1.0  # followers are behind for moments all the time

log = get_logger("state")


class FollowerProgress:
    """What the leader knows of another replica's log and when it last answered.

    Parameters
    ----------
    peer
        The other replica, a voter or a learner.
    next_index
        Index of the first entry to send.

    Attributes
    ----------
    match_index
        Highest index up to which its log is known to match the leader's.
    parted
        Request that is being sent in parts; None if there is none.
    acknowledged_s
        Send time of the last request that it answered, by the clock of leader leases.
    acknowledged_active_s
        The same in active time.
    progressed_s
        Active time at which its log last grew or it last received a part.
    last_join_s
        Active time of its last join request.
    rejection
        Code with which it rejected the last request, None if it accepted it.
    """

    __slots__ = (
        "_behind_logged",
        "_behind_since_s",
        "acknowledged_active_s",
        "acknowledged_s",
        "last_join_s",
        "match_index",
        "next_index",
        "parted",
        "peer",
        "progressed_s",
        "rejection",
        "task",
    )

    def __init__(self, *, peer: Voter, next_index: int) -> None:
        self.peer = peer
        self.next_index = next_index
        self.match_index = 0
        self.parted: PartedRequest | None = None
        self.acknowledged_s = 0.0
        self.acknowledged_active_s = 0.0
        self.progressed_s = active_time.active_s()
        self.last_join_s = 0.0
        self.rejection: Code | None = None
        self.task: asyncio.Task[None] | None = None
        self._behind_since_s: float | None = None
        self._behind_logged = False

    def record_match(self, index: int) -> None:
        """Note that the log of the replica matches the leader's up to an index."""
        if index > self.match_index:
            self.match_index = index
            self.progressed_s = active_time.active_s()
        self.next_index = self.match_index + 1

    def log_distance(self, last_index: int, behind_bytes: int) -> None:
        """Log when the replica has been behind for a while, and when it has caught up again.

        Parameters
        ----------
        last_index
            Index of the leader's last entry.
        behind_bytes
            Size of what the replica lacks.
        """
        now_s = active_time.active_s()
        if self.match_index >= last_index:
            if self._behind_logged and self._behind_since_s is not None:
                log.info(
                    "follower has caught up",
                    replica=self.peer.replica,
                    index=self.match_index,
                    after_s=round(now_s - self._behind_since_s, 3),
                )
            self._behind_since_s, self._behind_logged = None, False
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        if not self._behind_logged and now_s - self._behind_since_s >= BEHIND_LOGGED_S:
            self._behind_logged = True
            log.warning(
                "follower is behind",
                replica=self.peer.replica,
                entries=last_index - self.match_index,
                size_bytes=behind_bytes,
                progress_age_s=round(now_s - self.progressed_s, 3),
            )


__all__ = ["FollowerProgress"]
