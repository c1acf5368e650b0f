"""Requests that bring a follower's log up to the leader's, each bounded in bytes."""

from __future__ import annotations

import itertools
from typing import TypeAlias

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.observe.logs import get_logger
from leadhollow.state.follower_progress import FollowerProgress
from leadhollow.state.log_contents import entry_bytes
from leadhollow.state.replica_state import ReplicaState
from leadhollow.state.request_parts import PART_BYTES, PartedRequest
from leadhollow.wire.generated.ttypes import (
    AppendReply,
    AppendRequest,
    LogEntry,
    RequestPart,
    SnapshotRequest,
)

ENTRIES_PER_REQUEST = 256
ANSWER_TIMEOUT_MS = 5_000
"""Longer than an ordinary stall of a VM or a disk. A follower has one unanswered request at most,
so what waits for a silent one does not grow."""

log = get_logger("state")

FollowerRequest: TypeAlias = AppendRequest | SnapshotRequest | RequestPart


class FollowerRequests:
    """Sends a follower what it lacks, one request at a time."""

    __slots__ = ("_state", "_transfers")

    def __init__(self, *, state: ReplicaState) -> None:
        self._state = state
        self._transfers = itertools.count(1)

    async def send_next(
        self, follower: FollowerProgress, term: int
    ) -> Result[AppendReply, Failure]:
        """Send the next request and wait for its answer.

        A connection on which the answer does not come is closed, and with it what it still has to
        send.

        Errors
        ------
        PEER_LOST, PEER_REFUSED, PEER_TIMEOUT
            The follower did not answer.
        DISK_FAILED, REPLICA_OTHER
            The follower takes no part, or another replica runs at its address.
        """
        address = follower.peer.address
        connected = await self._state.peers.connection(address)
        if connected.is_err():
            return Err(connected.unwrap_err())
        connection = connected.unwrap()
        request = self._next_request(follower, term)
        answered = await connection.call(request, timeout_ms=ANSWER_TIMEOUT_MS)
        if answered.is_ok():
            follower.rejection = None
            return Ok(answered.unwrap())
        failure: Failure = answered.unwrap_err()
        if failure.code is Code.PEER_TIMEOUT:
            log.warning(
                "follower does not answer: connection closed",
                replica=follower.peer.replica,
                address=address,
                unsent_bytes=connection.backlog_bytes,
            )
            connection.close()
        elif failure.code is not Code.PEER_LOST:
            follower.parted = None
            self._log_rejection(follower, request, failure)
        return Err(failure)

    def _log_rejection(
        self, follower: FollowerProgress, request: FollowerRequest, failure: Failure
    ) -> None:
        if failure.code is follower.rejection:
            return
        follower.rejection = failure.code
        log.warning(
            "follower rejects a request",
            replica=follower.peer.replica,
            request=type(request).__name__,
            failure=str(failure),
        )

    def record_reply(self, follower: FollowerProgress, reply: AppendReply) -> bool:
        """Note what a reply tells of the follower's log; return whether a whole request ended."""
        parted = follower.parted
        if parted is not None and reply.received_bytes is not None:
            if parted.continue_at(reply.received_bytes):
                follower.progressed_s = active_time.active_s()
            return False
        follower.parted = None
        if reply.success:
            follower.record_match(reply.match_index)
        else:
            follower.next_index = max(min(follower.next_index - 1, reply.match_index + 1), 1)
        return True

    def _next_request(self, follower: FollowerProgress, term: int) -> FollowerRequest:
        if follower.parted is not None:
            return follower.parted.next_part()
        request, size_bytes = self._whole_request(follower, term)
        if size_bytes <= PART_BYTES:
            return request
        follower.parted = PartedRequest(
            request=request, transfer=next(self._transfers), replica=follower.peer.replica
        )
        return follower.parted.next_part()

    def _whole_request(
        self, follower: FollowerProgress, term: int
    ) -> tuple[AppendRequest | SnapshotRequest, int]:
        """Return the next request and its approximate size in bytes."""
        store = self._state.store
        replica = follower.peer.replica
        next_index = follower.next_index
        previous_term = store.term_at(next_index - 1)
        if previous_term is None:
            snapshot = store.snapshot
            request = SnapshotRequest(
                term,
                self._state.vm,
                snapshot.last_index,
                snapshot.last_term,
                snapshot.data,
                snapshot.voters,
                replica,
            )
            return request, len(snapshot.data) + len(snapshot.voters)
        entries = store.entries_within(next_index, limit=ENTRIES_PER_REQUEST, max_bytes=PART_BYTES)
        append = AppendRequest(
            term,
            self._state.vm,
            next_index - 1,
            previous_term,
            [LogEntry(entry.index, entry.term, entry.command) for entry in entries],
            self._state.commit_index,
            replica,
        )
        return append, sum(map(entry_bytes, entries))


__all__ = ["FollowerRequests"]
