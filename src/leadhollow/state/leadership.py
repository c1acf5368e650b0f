"""The leader's work: group commit, replication to followers, and the leader lease.

The leader lease lasts one election timeout after the latest time at which a majority followed
this leader. No other replica can be elected before it ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.kernel.active_time import active_timeout
from leadhollow.observe.logs import get_logger
from leadhollow.state.commands import Command, TermStart, encode, encode_bounded
from leadhollow.state.follower_progress import FollowerProgress
from leadhollow.state.follower_requests import FollowerRequests
from leadhollow.state.log_contents import Entry, fitting_count
from leadhollow.state.replica_state import (
    AppliedCommand,
    ReplicaRole,
    ReplicaState,
    now_s,
    resolve_proposal,
    start_task,
)
from leadhollow.state.rules import committed_index, majority_index, quorum_size
from leadhollow.state.voters import ChangeVoters, Voter
from leadhollow.wire.generated.ttypes import StandNow

ENTRIES_PER_WRITE = 256
WRITE_BYTES = 1024 * 1024  # written and synced at once
LEARNER_TIMEOUT_S = 10.0  # replication to a learner stops this long after its last join request
DISK_STALL_S = 0.4  # far above the time of a sync: 0.5 ms, on a slow disk 12 ms

log = get_logger("state")


class _Proposal:
    """A command that waits to be written, encoded, and the future of its result."""

    __slots__ = ("command", "done")

    def __init__(
        self, *, command: bytes, done: asyncio.Future[Result[AppliedCommand, Failure]]
    ) -> None:
        self.command = command
        self.done = done


class Leadership:
    """The leader role of a replica; idle while another replica leads.

    Attributes
    ----------
    since_s
        Time at which this replica was last elected, see :func:`now_s`.
    """

    __slots__ = (
        "_active_since_s",
        "_confirmations",
        "_followers",
        "_proposals",
        "_requests",
        "_state",
        "_tasks",
        "_transferring",
        "_wake_followers",
        "_wake_writer",
        "since_s",
    )

    def __init__(self, *, state: ReplicaState) -> None:
        self._state = state
        self._requests = FollowerRequests(state=state)
        self._followers: dict[str, FollowerProgress] = {}
        self._proposals: list[_Proposal] = []
        self._confirmations: list[tuple[float, asyncio.Future[bool]]] = []
        self._wake_writer = asyncio.Event()
        self._wake_followers = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._transferring = False
        self.since_s = 0.0
        self._active_since_s = 0.0  # since_s in active time
        state.on_step_down(self.stop)
        state.on_voters_changed(self.sync_followers)

    def lease_valid(self) -> bool:
        """Return whether this replica leads and no other one can have been elected."""
        state = self._state
        if state.role is not ReplicaRole.LEADER or self._transferring:
            return False
        return now_s() < self._majority_acknowledged_s() + state.election_timeout_s

    def check_quorum(self, timeout_s: float) -> None:
        """Step down if the disk hangs, this replica is no longer a voter, or no majority answers.

        A stall of the event loop ends the lease, as the lease counts elapsed time. The silence of
        the majority is measured in active time, since no answer can be read during a stall.

        Parameters
        ----------
        timeout_s
            Shortest time of leadership after which silence counts, in active time.
        """
        state = self._state
        if state.disk.busy_s > DISK_STALL_S:
            log.warning("leader steps down: disk hangs", busy_s=round(state.disk.busy_s, 3))
            state.become_follower("")
        elif not state.is_voter and state.commit_index >= state.voters.current.index:
            log.info("leader steps down: removed from the voter set", term=state.term)
            state.become_follower("")
        elif not self.lease_valid() and self._majority_silent(timeout_s):
            log.warning("leader steps down: no answer from a majority", term=state.term)
            state.become_follower("")

    async def propose(self, command: Command) -> Result[AppliedCommand, Failure]:
        """Append a command to the log and wait until it is applied.

        Errors
        ------
        NOT_LEADER
            Nothing was written.
        EDIT_UNKNOWN
            The lead was lost before the entry was committed; it may still be committed.
        COMMAND_TOO_LARGE
            Nothing was written.
        """
        if self._state.role is not ReplicaRole.LEADER or self._state.failed or self._transferring:
            return Err(Failure(code=Code.NOT_LEADER))
        encoded = encode_bounded(command)
        if encoded.is_err():
            return Err(encoded.unwrap_err())
        return await self._enqueue(encoded.unwrap())

    async def confirm_leadership(self, timeout_s: float) -> Result[int, Failure]:
        """Confirm the leadership by a round trip to a majority that starts now.

        Returns
        -------
        Result
            Commit index that covers everything acknowledged before the call.

        Errors
        ------
        NOT_LEADER
            This replica does not lead or has not yet committed an entry of its term.
        NO_MAJORITY
            No majority answered in time.
        """
        state = self._state
        if state.role is not ReplicaRole.LEADER or self._transferring:
            return Err(Failure(code=Code.NOT_LEADER))
        index = state.commit_index
        if state.store.term_at(index) != state.term:
            return Err(Failure(code=Code.NOT_LEADER, detail="the term has not begun yet"))
        started_s = now_s()
        confirmed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._confirmations.append((started_s, confirmed))
        self._resolve_confirmations()
        self._wake_all_followers()
        try:
            async with active_timeout(timeout_s):
                leads = await confirmed
        except TimeoutError:
            return Err(Failure(code=Code.NO_MAJORITY))
        return Ok(index) if leads else Err(Failure(code=Code.NOT_LEADER))

    def add_learner(self, peer: Voter) -> None:
        """Replicate to a learner for as long as it sends join requests."""
        if self._state.role is not ReplicaRole.LEADER or peer.replica == self._state.vm:
            return
        follower = self._followers.get(peer.replica)
        if follower is None:
            log.info("learner added", replica=peer.replica, address=peer.address)
            follower = self._add_follower(peer)
        follower.last_join_s = active_time.active_s()

    def followers(self) -> list[FollowerProgress]:
        """Return the progress of the other replicas."""
        return list(self._followers.values())

    def silence_s(self, replica: str) -> float:
        """Return how long a replica has not answered, at most the time since the election.

        Counted in active time, in seconds.
        """
        follower = self._followers.get(replica)
        answered_s = 0.0 if follower is None else follower.acknowledged_active_s
        return active_time.active_s() - max(answered_s, self._active_since_s)

    async def transfer_leadership(self, timeout_s: float) -> bool:
        """Hand the lead over to a voter whose log is complete.

        Returns
        -------
        bool
            Whether this replica does not lead any more.
        """
        state = self._state
        if state.role is not ReplicaRole.LEADER:
            return True
        self._transferring = True
        deadline_s = now_s() + timeout_s
        term = state.term
        while now_s() < deadline_s and state.role is ReplicaRole.LEADER:
            target = self._transfer_target()
            if target is not None:
                request = StandNow(term, state.vm)
                await state.peers.call(target.address, request, timeout_ms=timeout_s * 1000)
            await asyncio.sleep(state.timing.heartbeat_ms / 4000)
        self._transferring = False
        return state.role is not ReplicaRole.LEADER

    def start(self) -> None:
        """Start to lead in the current term."""
        state = self._state
        last_index = state.store.last_index
        log.info("elected leader", vm=state.vm, term=state.term, last_index=last_index)
        state.role = ReplicaRole.LEADER
        state.leader_vm = state.vm
        self.since_s = now_s()
        self._active_since_s = active_time.active_s()
        self._transferring = False
        self._followers = {}
        self._proposals = []
        self._wake_writer = asyncio.Event()
        self._wake_followers = asyncio.Event()
        self._enqueue(encode(TermStart()))
        if not state.fixed_voters and state.voters.current.index == 0:
            self._enqueue(encode(ChangeVoters(voters=state.voters.current.voters)))
        start_task(self._tasks, self._write_proposals(state.term))
        self.sync_followers()

    def stop(self) -> None:
        """Stop leading and fail all proposals and confirmations that are pending."""
        current = asyncio.current_task()
        followers = [follower.task for follower in self._followers.values()]
        for task in [*self._tasks, *followers]:
            if task is not None and task is not current:
                task.cancel()
        self._tasks = []
        self._followers = {}
        for proposal in self._proposals:
            resolve_proposal(proposal.done, Err(Failure(code=Code.NOT_LEADER)))
        self._proposals = []
        for done in self._state.pending.values():
            resolve_proposal(done, Err(Failure(code=Code.EDIT_UNKNOWN)))
        self._state.pending = {}
        for _, confirmed in self._confirmations:
            if not confirmed.done():
                confirmed.set_result(False)
        self._confirmations = []

    def _enqueue(self, command: bytes) -> asyncio.Future[Result[AppliedCommand, Failure]]:
        done: asyncio.Future[Result[AppliedCommand, Failure]] = (
            asyncio.get_running_loop().create_future()
        )
        self._proposals.append(_Proposal(command=command, done=done))
        self._wake_writer.set()
        return done

    def _leads(self, term: int) -> bool:
        return self._state.role is ReplicaRole.LEADER and self._state.term == term

    def _transfer_target(self) -> Voter | None:
        for voter in self._state.others:
            follower = self._followers.get(voter.replica)
            if follower is not None and follower.match_index == self._state.store.last_index:
                return voter
        return None

    def sync_followers(self) -> None:
        """Start replication to new voters and stop it for replicas that have left."""
        if self._state.role is not ReplicaRole.LEADER:
            return
        for voter in self._state.others:
            if voter.replica not in self._followers:
                self._add_follower(voter)
        for replica, follower in list(self._followers.items()):
            joining = active_time.active_s() - follower.last_join_s < LEARNER_TIMEOUT_S
            if replica not in self._state.voters.current and not joining:
                del self._followers[replica]
                if follower.task is not None:
                    follower.task.cancel()

    def _add_follower(self, peer: Voter) -> FollowerProgress:
        follower = FollowerProgress(peer=peer, next_index=self._state.store.last_index + 1)
        self._followers[peer.replica] = follower
        running: list[asyncio.Task[None]] = []
        start_task(running, self._replicate(follower, self._state.term))
        follower.task = running[0]
        return follower

    async def _write_proposals(self, term: int) -> None:
        """Write pending proposals to the log: all that wait are synced together (group commit)."""
        state = self._state
        while self._leads(term):
            await self._wake_writer.wait()
            self._wake_writer.clear()
            if not await state.transitions.run(lambda: self._write_batch(term)):
                return
            if self._proposals:
                self._wake_writer.set()
            self._wake_all_followers()
            self._advance_commit(term)

    async def _write_batch(self, term: int) -> bool:
        """Append and sync the next proposals; False if the lead is lost or the disk failed."""
        state = self._state
        if not self._leads(term):
            return False
        entries = self._next_batch(term)
        if not entries:
            return True
        written = await state.disk.run(lambda: state.store.append(entries))
        if written.is_err():
            state.fail(written.unwrap_err())
            return False
        state.apply_voter_changes(entries)
        return True

    def _next_batch(self, term: int) -> list[Entry]:
        sizes = [len(proposal.command) for proposal in self._proposals[:ENTRIES_PER_WRITE]]
        count = fitting_count(sizes, WRITE_BYTES)
        batch = self._proposals[:count]
        self._proposals = self._proposals[count:]
        first = self._state.store.last_index + 1
        entries = []
        for index, proposal in enumerate(batch, start=first):
            entries.append(Entry(index, term, proposal.command))
            self._state.pending[index] = proposal.done
        return entries

    def _wake_all_followers(self) -> None:
        self._wake_followers.set()
        self._wake_followers = asyncio.Event()

    async def _replicate(self, follower: FollowerProgress, term: int) -> None:
        """Replicate the log to one follower until the term ends."""
        while self._leads(term):
            wake = self._wake_followers
            sent_s, sent_active_s = now_s(), active_time.active_s()
            answered = await self._requests.send_next(follower, term)
            if not self._leads(term):
                return
            self._log_distance(follower)
            if answered.is_ok():
                reply = answered.unwrap()
                if reply.term > term:
                    await self._state.adopt_term(reply.term)
                    return
                follower.acknowledged_s = sent_s
                follower.acknowledged_active_s = sent_active_s
                self._resolve_confirmations()
                if self._requests.record_reply(follower, reply):
                    self._advance_commit(term)
                if follower.parted or follower.next_index <= self._state.store.last_index:
                    continue
            try:
                async with asyncio.timeout(self._state.timing.heartbeat_ms / 1000):
                    await wake.wait()
            except TimeoutError:
                continue

    def _log_distance(self, follower: FollowerProgress) -> None:
        store = self._state.store
        follower.log_distance(store.last_index, store.bytes_after(follower.match_index))

    def _majority_acknowledged_s(self) -> float:
        """Return the latest time at which a majority of voters is known to have followed."""
        return self._majority_time_s(now_s(), lambda follower: follower.acknowledged_s)

    def _majority_silent(self, timeout_s: float) -> bool:
        """Return whether no majority has answered for an election timeout of active time."""
        active_s = active_time.active_s()
        if active_s <= self._active_since_s + timeout_s:
            return False
        answered_s = self._majority_time_s(
            active_s, lambda follower: follower.acknowledged_active_s
        )
        return self._transferring or active_s >= answered_s + self._state.election_timeout_s

    def _majority_time_s(self, own_s: float, time_of: Callable[[FollowerProgress], float]) -> float:
        """Return the latest time that a majority of the voters has reached.

        Parameters
        ----------
        own_s
            Time that counts for this replica if it is a voter.
        time_of
            Returns the time of a follower.
        """
        state = self._state
        times = [own_s] if state.is_voter else []
        for voter in state.others:
            follower = self._followers.get(voter.replica)
            times.append(0.0 if follower is None else time_of(follower))
        times.sort(reverse=True)
        needed = quorum_size(len(state.voters.current))
        return times[needed - 1] if len(times) >= needed else 0.0

    def _resolve_confirmations(self) -> None:
        if not self._confirmations:
            return
        confirmed_s = self._majority_acknowledged_s()
        waiting = []
        for started_s, confirmed in self._confirmations:
            if confirmed.done():
                continue
            if confirmed_s >= started_s:
                confirmed.set_result(True)
            else:
                waiting.append((started_s, confirmed))
        self._confirmations = waiting

    def _advance_commit(self, term: int) -> None:
        state = self._state
        matches = [state.store.last_index] if state.is_voter else []
        for voter in state.others:
            follower = self._followers.get(voter.replica)
            matches.append(0 if follower is None else follower.match_index)
        index = committed_index(
            match_indexes=matches,
            current_commit=state.commit_index,
            term_of_majority_index=state.store.term_at(majority_index(matches)) or 0,
            term=term,
        )
        if index > state.commit_index:
            state.advance_commit(index)
            self._wake_all_followers()  # sends the commit index before the next heartbeat


__all__ = ["Leadership"]
