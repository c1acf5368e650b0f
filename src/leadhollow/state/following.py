"""Handlers of the requests that replicas send to each other: votes, entries, snapshots, probes.

Every replica registers them, whatever its role.
"""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.observe.logs import get_logger
from leadhollow.state.leadership import Leadership
from leadhollow.state.log_contents import Entry, Snapshot
from leadhollow.state.log_store import Vote
from leadhollow.state.replica_state import VOTE_BLOCKED, ReplicaRole, ReplicaState, now_s
from leadhollow.state.request_parts import PartAssembler
from leadhollow.state.rules import first_conflict, log_is_current, may_grant_vote
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import (
    AppendReply,
    AppendRequest,
    RequestPart,
    SnapshotRequest,
    StateProbe,
    StateProbeReply,
    VoteReply,
    VoteRequest,
)
from leadhollow.wire.handlers import HandlerTable

log = get_logger("state")


class FollowerHandlers:
    """Handles vote, append, snapshot and probe requests for one replica."""

    __slots__ = ("_caught_up_target", "_leadership", "_parts", "_state")

    def __init__(self, *, state: ReplicaState, leadership: Leadership) -> None:
        self._state = state
        self._leadership = leadership
        self._caught_up_target = 0
        self._parts = PartAssembler()

    def register(self, handlers: HandlerTable) -> None:
        """Register the handlers of requests from other replicas."""
        handlers.on_call(VoteRequest, self._on_vote)
        handlers.on_call(AppendRequest, self._on_append)
        handlers.on_call(SnapshotRequest, self._on_snapshot)
        handlers.on_call(RequestPart, self._on_part)
        handlers.on_call(StateProbe, self._on_probe)

    async def _on_probe(
        self, request: StateProbe, connection: Connection
    ) -> Result[StateProbeReply, Failure]:
        state = self._state
        blank = state.store.never_used
        return Ok(StateProbeReply(blank, state.term, state.leader_vm, state.store.last_index))

    async def _on_vote(
        self, request: VoteRequest, connection: Connection
    ) -> Result[VoteReply, Failure]:
        state = self._state
        if self._is_misaddressed(request.voter):
            return Err(Failure(code=Code.REPLICA_OTHER))
        if state.failed or state.store.vote is None:
            return Ok(VoteReply(state.term, False))
        return Ok(await state.transitions.run(lambda: self._handle_vote(request)))

    async def _handle_vote(self, request: VoteRequest) -> VoteReply:
        state = self._state
        granted = self._may_grant(request)
        if not granted or request.pre_vote:
            return VoteReply(state.term, granted)
        state.become_follower("")
        vote = Vote(term=request.term, voted_for=request.candidate, voter=True)
        if not await state.save_vote(vote):
            return VoteReply(state.term, False)
        state.election_timer_reset_s = active_time.active_s()
        return VoteReply(request.term, True)

    def _is_misaddressed(self, replica: str | None) -> bool:
        """Return whether a request is for the replica whose lost disk this address had before."""
        return bool(replica) and replica != self._state.vm

    def _may_grant(self, request: VoteRequest) -> bool:
        state = self._state
        if request.transfer:
            leader_heard = False  # the leader itself requested this election
        elif state.role is ReplicaRole.LEADER:
            leader_heard = self._leadership.lease_valid()
        else:
            leader_heard = state.leader_heard_recently()
        return may_grant_vote(
            request_term=request.term,
            own_term=state.term,
            voted_for=state.vote.voted_for,
            candidate=request.candidate,
            candidate_log_current=log_is_current(
                candidate_term=request.last_term,
                candidate_index=request.last_index,
                own_term=state.store.last_term,
                own_index=state.store.last_index,
            ),
            own_voter=state.vote.voter,
            leader_heard=leader_heard,
        )

    async def _on_append(
        self, request: AppendRequest, connection: Connection
    ) -> Result[AppendReply, Failure]:
        state = self._state
        if self._is_misaddressed(request.replica):
            return Err(Failure(code=Code.REPLICA_OTHER))
        if state.failed:
            return Err(Failure(code=Code.DISK_FAILED))
        self._parts.clear()  # a leader sends one request at a time
        return await state.transitions.run(lambda: self._append(request))

    async def _append(self, request: AppendRequest) -> Result[AppendReply, Failure]:
        state = self._state
        if not await self._accept_leader(request.term, request.leader):
            return Ok(AppendReply(state.term, False, 0))
        snapshot_index = state.store.snapshot.last_index
        if request.previous_index < snapshot_index:
            return Ok(AppendReply(state.term, True, snapshot_index))  # snapshots are committed
        previous_term = state.store.term_at(request.previous_index)
        if previous_term != request.previous_term:
            last_match = min(state.store.last_index, request.previous_index - 1)
            return Ok(AppendReply(state.term, False, max(last_match, snapshot_index)))
        offered = [Entry(entry.index, entry.term, entry.command) for entry in request.entries]
        if not await self._store_entries(offered):
            return Err(Failure(code=Code.DISK_FAILED))
        matched = request.previous_index + len(offered)
        if state.heard_commit_index is None:
            state.heard_commit_index = int(request.commit_index)
        state.advance_commit(min(request.commit_index, matched))
        await self._restore_voting(request.commit_index, matched)
        return Ok(AppendReply(state.term, True, matched))

    async def _on_snapshot(
        self, request: SnapshotRequest, connection: Connection
    ) -> Result[AppendReply, Failure]:
        state = self._state
        if self._is_misaddressed(request.replica):
            return Err(Failure(code=Code.REPLICA_OTHER))
        return await state.transitions.run(lambda: self._install_snapshot(request))

    async def _install_snapshot(self, request: SnapshotRequest) -> Result[AppendReply, Failure]:
        state = self._state
        if state.failed or not await self._accept_leader(request.term, request.leader):
            return Ok(AppendReply(state.term, False, 0))
        if request.last_index > state.applied_index:
            snapshot = Snapshot(
                last_index=request.last_index,
                last_term=request.last_term,
                data=request.data,
                voters=request.voters or b"",
            )
            saved = await state.disk.run(lambda: state.store.save_snapshot(snapshot))
            if saved.is_err():
                return Err(state.fail(saved.unwrap_err()))
            state.restore_voters(snapshot)
            state.apply_voter_changes(state.store.entries)
            state.commit_index = max(state.commit_index, request.last_index)
            if request.last_index > state.applied_index:  # entries were applied during the write
                state.machine.restore(request.data)
                state.applied_index = request.last_index
            state.wake_apply.set()  # for entries after the snapshot that are committed
        return Ok(AppendReply(state.term, True, request.last_index))

    async def _on_part(
        self, part: RequestPart, connection: Connection
    ) -> Result[AppendReply, Failure]:
        if self._is_misaddressed(part.replica):
            return Err(Failure(code=Code.REPLICA_OTHER))
        if self._state.failed:
            return Err(Failure(code=Code.DISK_FAILED))
        return await self._state.transitions.run(lambda: self._receive_part(part))

    async def _receive_part(self, part: RequestPart) -> Result[AppendReply, Failure]:
        state = self._state
        if not await self._accept_leader(part.term, part.leader):
            return Ok(AppendReply(state.term, False, 0))
        added = self._parts.add(part)
        if added.is_err():
            log.warning("part of a request rejected", failure=str(added.unwrap_err()))
            return Err(added.unwrap_err())
        request = added.unwrap()
        if isinstance(request, AppendRequest):
            return await self._append(request)
        if isinstance(request, SnapshotRequest):
            return await self._install_snapshot(request)
        return Ok(AppendReply(state.term, True, 0, self._parts.received_bytes))

    async def _accept_leader(self, term: int, leader: str) -> bool:
        """Follow the sender of a request of the current or a later term.

        Returns
        -------
        bool
            False if the term is outdated or could not be written to disk.
        """
        state = self._state
        if term < state.term:
            return False
        if term > state.term or state.store.vote is None:
            voter = state.store.vote is not None and state.vote.voter
            vote = Vote(term=term, voted_for="" if voter else VOTE_BLOCKED, voter=voter)
            if not await state.save_vote(vote):
                return False
        if state.role is not ReplicaRole.FOLLOWER or state.leader_vm != leader:
            state.become_follower(leader)
        state.election_timer_reset_s = active_time.active_s()
        state.leader_heard_s = now_s()
        return True

    async def _store_entries(self, offered: list[Entry]) -> bool:
        """Cut off entries that conflict with the leader's log and append the missing ones.

        Returns
        -------
        bool
            False if the disk failed.
        """
        store = self._state.store
        offered = [entry for entry in offered if entry.index > store.snapshot.last_index]
        if not offered:
            return True
        start = offered[0].index
        own = store.entries_from(start, limit=len(offered))
        conflict = first_conflict(
            own_terms=[entry.term for entry in own],
            offered_terms=[entry.term for entry in offered],
        )
        if conflict is not None:
            index = start + conflict
            truncated = await self._state.disk.run(lambda: store.truncate_from(index))
            if truncated.is_err():
                self._state.fail(truncated.unwrap_err())
                return False
            self._state.revert_voter_changes(index)
        missing = [entry for entry in offered if entry.index > store.last_index]
        if not missing:
            return True
        written = await self._state.disk.run(lambda: store.append(missing))
        if written.is_err():
            self._state.fail(written.unwrap_err())
            return False
        self._state.apply_voter_changes(missing)
        return True

    async def _restore_voting(self, leader_commit: int, matched: int) -> None:
        """Let this replica vote again once it has caught up after the loss of its disk.

        The target is the leader's commit index at the first append request since the start.
        """
        state = self._state
        if state.vote.voter:
            return
        if self._caught_up_target == 0:
            self._caught_up_target = max(leader_commit, 1)
        target = self._caught_up_target
        if matched >= target and state.commit_index >= target:
            log.info("caught up after the loss of the disk: voting again", index=matched)
            await state.save_vote(Vote(term=state.term, voted_for=VOTE_BLOCKED, voter=True))


__all__ = ["FollowerHandlers"]
