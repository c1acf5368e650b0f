"""One replica of the replicated log, put together from its parts.

It follows a leader, campaigns for election, leads, and applies committed entries to its state
machine.
"""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import PeerSettings, StateSettings
from leadhollow.state.commands import Command, decode_command
from leadhollow.state.election import Election
from leadhollow.state.following import FollowerHandlers
from leadhollow.state.leadership import Leadership
from leadhollow.state.log_contents import Entry, Snapshot, entry_bytes
from leadhollow.state.log_store import LogStore, Vote
from leadhollow.state.machine import StateMachine
from leadhollow.state.replica_state import (
    AppliedCommand,
    ReplicaRole,
    ReplicaState,
    now_s,
    resolve_proposal,
    start_task,
)
from leadhollow.state.voters import Voter, VoterHistory, VoterSet, encode_voters
from leadhollow.wire.generated.ttypes import StandNow
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

LOG_BYTES = 4 * 1024 * 1024
"""A snapshot is taken once the entries since the last one reach this size, or its size if that is
larger. It bounds the disk space and the time in which a replica that lost its disk catches up."""

APPLY_SLICE_BYTES = 16 * 1024
"""Entries are applied until they have this size together; then the event loop runs other tasks, so
that a replica that catches up answers heartbeats, votes and reads meanwhile."""

MIN_SLICE_BYTES = 256  # what the smallest entry counts

log = get_logger("state")


class Replica:
    """A replica of the log on one VM.

    Parameters
    ----------
    vm
        Name of this replica; the identity of its disk if the voter set may change.
    replicas
        All replicas, including this one, if the settings name them and the voter set is fixed.
    voters
        The first voter set if it may change; empty for a replica that starts as learner.
    timing
        Heartbeat, election and snapshot settings.
    store
        Log, vote and snapshot on disk.
    peers
        Connections to the other replicas.
    seed
        Seed of the random part of the election timeout.
    """

    __slots__ = ("_caught_up", "_election", "_following", "_leadership", "_state", "_tasks")

    def __init__(
        self,
        *,
        vm: str,
        timing: StateSettings,
        store: LogStore,
        peers: PeerPool,
        seed: int,
        replicas: tuple[PeerSettings, ...] = (),
        voters: tuple[Voter, ...] = (),
    ) -> None:
        named = tuple(
            Voter(replica=peer.vm, address=peer.address, failure_domain=peer.failure_domain)
            for peer in replicas
        )
        state = ReplicaState(
            vm=vm,
            voters=VoterHistory(initial=named or voters),
            fixed_voters=bool(named),
            timing=timing,
            store=store,
            peers=peers,
        )
        self._state = state
        self._leadership = Leadership(state=state)
        self._following = FollowerHandlers(state=state, leadership=self._leadership)
        self._election = Election(state=state, leadership=self._leadership, seed=seed)
        self._tasks: list[asyncio.Task[None]] = []
        self._caught_up = False

    @property
    def vm(self) -> str:
        """Name of this replica."""
        return self._state.vm

    @property
    def machine(self) -> StateMachine:
        """State machine that applies the committed entries."""
        return self._state.machine

    @property
    def store(self) -> LogStore:
        """Log, vote and snapshot on disk."""
        return self._state.store

    @property
    def role(self) -> ReplicaRole:
        """Role of this replica in the current term."""
        return self._state.role

    @property
    def leader_vm(self) -> str:
        """Name of the leader; empty while it is unknown."""
        return self._state.leader_vm

    @property
    def vote(self) -> Vote:
        """Current term and vote as written to disk."""
        return self._state.vote

    @property
    def term(self) -> int:
        """Current term."""
        return self._state.term

    @property
    def applied_index(self) -> int:
        """Index of the last applied entry."""
        return self._state.applied_index

    @property
    def failed(self) -> bool:
        """Whether the disk failed, so that this replica takes no part until it recovers."""
        return self._state.failed

    @property
    def leader_since_s(self) -> float:
        """Time at which this replica was last elected, by the clock of leader leases."""
        return self._leadership.since_s

    @property
    def voters(self) -> VoterSet:
        """Voter set in force."""
        return self._state.voters.current

    @property
    def leadership(self) -> Leadership:
        """Leader role of this replica."""
        return self._leadership

    @property
    def leader_silence_s(self) -> float:
        """Seconds since a leader was last heard; 0 while this replica leads."""
        if self._state.role is ReplicaRole.LEADER:
            return 0.0
        return now_s() - self._state.leader_heard_s

    @property
    def commit_index(self) -> int:
        """Index up to which the log is known to be committed."""
        return self._state.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last entry that this replica has synced."""
        return self._state.store.last_index

    def register(self, handlers: HandlerTable) -> None:
        """Register the handlers of requests from other replicas."""
        self._following.register(handlers)
        handlers.on_call(StandNow, self._election.on_stand_now)

    async def start(self) -> Result[None, Failure]:
        """Read the disk and start to take part in elections and replication."""
        state = self._state
        opened = await state.disk.run(state.store.open)
        if opened.is_err():
            return opened
        if state.store.snapshot.last_index:
            state.machine.restore(state.store.snapshot.data)
            state.commit_index = state.applied_index = state.store.snapshot.last_index
            state.restore_voters(state.store.snapshot)
        state.apply_voter_changes(state.store.entries)
        state.election_timer_reset_s = active_time.active_s()
        state.leader_heard_s = now_s()
        start_task(self._tasks, self._election.run(empty_disk=state.store.never_used))
        start_task(self._tasks, self._apply_committed())
        return Ok(None)

    async def stop(self) -> None:
        """Stop all tasks and close the disk."""
        self._leadership.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._state.transitions.wait_idle()
        await self._state.disk.stop()
        self._state.store.close()

    def ready(self) -> bool:
        """Return whether this replica leads and has applied all entries of earlier terms."""
        state = self._state
        applied_term = state.store.term_at(state.applied_index)
        return self._leadership.lease_valid() and applied_term == state.term

    def caught_up(self) -> bool:
        """Return whether all that was committed before the start of this replica is applied.

        A replica that has just started shows the table of its last snapshot until then. One that
        loses its leader later stays caught up.
        """
        if not self._caught_up:
            state = self._state
            heard = state.heard_commit_index
            applied = state.applied_index
            follows = heard is not None and applied >= heard
            # an entry of the current term: a new leader may know of fewer commits at first
            newest_term = state.store.term_at(applied) == state.term
            self._caught_up = self.ready() or (follows and newest_term)
        return self._caught_up

    async def propose(self, command: Command) -> Result[AppliedCommand, Failure]:
        """Append a command to the log and wait until it is applied; see :class:`Leadership`."""
        return await self._leadership.propose(command)

    async def _apply_committed(self) -> None:
        state = self._state
        while True:
            await state.wake_apply.wait()
            state.wake_apply.clear()
            slice_bytes = 0
            while state.applied_index < state.commit_index:
                entry = state.store.entry(state.applied_index + 1)
                if entry is None:
                    break  # covered by a snapshot meanwhile
                self._apply(entry)
                slice_bytes += max(MIN_SLICE_BYTES, entry_bytes(entry))
                if slice_bytes >= APPLY_SLICE_BYTES:
                    slice_bytes = 0
                    await asyncio.sleep(0)
            self.caught_up()  # remembered, as it may not show once the leader is lost
            if self._snapshot_due() and not state.failed:
                await state.transitions.run(self._take_snapshot)

    def _snapshot_due(self) -> bool:
        state = self._state
        applied = state.applied_index - state.store.snapshot.last_index
        if applied >= state.timing.snapshot_entries:
            return True
        due_bytes = max(LOG_BYTES, len(state.store.snapshot.data))
        return applied > 0 and state.store.bytes_through(state.applied_index) >= due_bytes

    def _apply(self, entry: Entry) -> None:
        state = self._state
        decoded = decode_command(entry.command)
        done = state.pending.pop(entry.index, None)
        state.applied_index = entry.index
        if decoded.is_err():
            log.error("entry cannot be decoded", index=entry.index, failure=decoded.unwrap_err())
            resolve_proposal(done, Err(decoded.unwrap_err()))
            return
        answer = state.machine.apply(entry.index, decoded.unwrap())
        resolve_proposal(done, Ok(AppliedCommand(index=entry.index, answer=answer)))

    async def _take_snapshot(self) -> None:
        state = self._state
        index = state.applied_index
        snapshot = Snapshot(
            last_index=index,
            last_term=state.store.term_at(index) or 0,
            data=state.machine.snapshot(),
            voters=b"" if state.fixed_voters else encode_voters(state.voters.at(index).voters),
        )
        saved = await state.disk.run(lambda: state.store.save_snapshot(snapshot))
        if saved.is_err():
            state.fail(saved.unwrap_err())
            return
        state.voters.compact_before(index)
        log.info("snapshot taken", index=index, size_bytes=len(snapshot.data))


__all__ = ["AppliedCommand", "Replica", "ReplicaRole"]
