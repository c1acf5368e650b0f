"""What the parts of one replica share: term and vote, log, commit index, who leads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum

from result import Result

from leadhollow.failure import Failure
from leadhollow.kernel import active_time, clocks
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import StateSettings
from leadhollow.state.commands import AnyAnswer
from leadhollow.state.disk_thread import DiskThread
from leadhollow.state.log_store import Entry, LogStore, Snapshot, Vote
from leadhollow.state.machine import StateMachine
from leadhollow.state.transition_queue import TransitionQueue
from leadhollow.state.voters import Voter, VoterHistory, decode_voters
from leadhollow.wire.peers import PeerPool

CALL_TIMEOUT_MS = 1_000
VOTE_BLOCKED = "*"  # stands as the vote of a term in which a wiped replica must not vote

log = get_logger("state")


class ReplicaRole(Enum):
    """Place of a replica in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class AppliedCommand:
    """Answer to a proposal, with its place in the log."""

    __slots__ = ("answer", "index")

    def __init__(self, *, index: int, answer: AnyAnswer) -> None:
        self.index = index
        self.answer = answer


class ReplicaState:
    """State of one replica.

    Whatever changes the log, the vote or the term is one of its ``steps``.

    Parameters
    ----------
    vm
        Our own name among the replicas: the identity of our disk where voters change.
    voters
        The voter sets of the log.
    named
        Whether the settings name all replicas, so that the set never changes; a replica that
        lost its disk then keeps its name, and may not vote until it has caught up.

    Attributes
    ----------
    heard_s
        Heard time at which a leader or a candidate was last given time to lead: what our patience
        with them is measured by.
    leader_heard_s
        When a leader was last heard, by the clock of leads: what others rely on.
    """

    __slots__ = (
        "_step_down",
        "_voters_changed",
        "applied_index",
        "commit_index",
        "disk",
        "failed",
        "election_timer_reset_s",
        "leader_heard_s",
        "leader_vm",
        "machine",
        "fixed_voters",
        "peers",
        "role",
        "transitions",
        "store",
        "timing",
        "vm",
        "voters",
        "pending",
        "wake_apply",
    )

    def __init__(
        self,
        *,
        vm: str,
        voters: VoterHistory,
        fixed_voters: bool,
        timing: StateSettings,
        store: LogStore,
        peers: PeerPool,
    ) -> None:
        self.vm = vm
        self.voters = voters
        self.fixed_voters = fixed_voters
        self.timing = timing
        self.store = store
        self.peers = peers
        self.disk = DiskThread()
        self.transitions = TransitionQueue()
        self.machine = StateMachine()
        self.role = ReplicaRole.FOLLOWER
        self.leader_vm = ""
        self.commit_index = 0
        self.applied_index = 0
        self.failed = False
        self.election_timer_reset_s = 0.0
        self.leader_heard_s = 0.0
        self.pending: dict[int, asyncio.Future[Result[Applied, Failure]]] = {}
        self.wake_apply = asyncio.Event()
        self._step_down: Callable[[], None] = _nothing
        self._voters_changed: Callable[[], None] = _nothing

    @property
    def vote(self) -> Vote:
        """Our term and vote as they stand on disk."""
        return self.store.vote or Vote(voter=False)

    @property
    def term(self) -> int:
        """Current term."""
        return self.vote.term

    @property
    def election_timeout_s(self) -> float:
        """Shortest time without a leader after which a replica stands for election."""
        return self.timing.election_timeout_ms / 1000

    @property
    def others(self) -> list[Voter]:
        """All voters but ourselves."""
        return self.voters.current.others(self.vm)

    @property
    def is_voter(self) -> bool:
        """Whether we are in the voter set in force."""
        return self.vm in self.voters.current

    def on_step_down(self, work: Callable[[], None]) -> None:
        """Call a function when we stop leading."""
        self._step_down = work

    def on_voters_changed(self, work: Callable[[], None]) -> None:
        """Call a function when the voter set in force changes."""
        self._voters_changed = work

    def apply_voter_changes(self, entries: list[Entry]) -> None:
        """Take over the voter sets of entries that the log took."""
        if self.voters.record_entries(entries):
            self._notify_voters_changed()

    def revert_voter_changes(self, index: int) -> None:
        """Drop the voter sets of entries that were cut off the log."""
        if self.voters.revert_from(index):
            self._notify_voters_changed()

    def restore_voters(self, snapshot: Snapshot) -> None:
        """Begin with the voter set of a snapshot."""
        if snapshot.voters:
            self.voters.reset(index=snapshot.last_index, voters=decode_voters(snapshot.voters))
            self._notify_voters_changed()

    def _notify_voters_changed(self) -> None:
        current = self.voters.current
        log.info(
            "voters changed",
            replica=self.vm,
            index=current.index,
            voters=[f"{voter.replica}@{voter.address}" for voter in current.voters],
        )
        self._voters_changed()

    def become_follower(self, leader: str) -> None:
        """Stop leading or standing; the leader's name is empty while it is not known."""
        if self.role is ReplicaRole.LEADER:
            self._step_down()
        self.role = ReplicaRole.FOLLOWER
        self.leader_vm = leader

    def leader_heard_recently(self) -> bool:
        """Tell whether a leader was heard within the shortest election timeout."""
        return now_s() - self.leader_heard_s < self.election_timeout_s

    def advance_commit(self, index: int) -> None:
        """Take a higher commit index and wake the applying."""
        if index > self.commit_index:
            self.commit_index = index
            self.wake_apply.set()

    async def save_vote(self, vote: Vote) -> bool:
        """Write a term and vote to disk before anybody is told."""
        saved = await self.disk.run(lambda: self.store.save_vote(vote))
        if saved.is_err():
            self.fail(saved.unwrap_err())
        return saved.is_ok()

    async def adopt_term(self, term: int) -> None:
        """Follow a higher term that somebody named."""
        await self.transitions.run(lambda: self._adopt_term(term))

    async def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self.become_follower("")
            await self.save_vote(Vote(term=term, voted_for="", voter=self.vote.voter))

    def fail(self, failure: Failure) -> Failure:
        """Take no part until the whole log could be written anew; see :meth:`recover`."""
        log.error("replica stops taking part", replica=self.vm, failure=str(failure))
        self.failed = True
        self.become_follower("")
        return failure

    async def recover(self) -> None:
        """Try to write the log and the vote anew, and take part again where that succeeds."""
        await self.transitions.run(self._recover)

    async def _recover(self) -> None:
        written = await self.disk.run(self.store.recover)
        if written.is_ok():
            written = await self.disk.run(lambda: self.store.save_vote(self.vote))
        if written.is_err():
            return
        self.failed = False
        self.election_timer_reset_s = active_time.active_s()
        log.warning("replica takes part again", replica=self.vm, last_index=self.store.last_index)


def resolve_proposal(
    done: asyncio.Future[Result[Applied, Failure]] | None, result: Result[Applied, Failure]
) -> None:
    """Answer a proposal once, if anybody still waits for it."""
    if done is not None and not done.done():
        done.set_result(result)


def start_task(tasks: list[asyncio.Task[None]], work: Coroutine[object, object, None]) -> None:
    """Start a task whose crash is logged."""
    task = asyncio.get_running_loop().create_task(work)
    tasks.append(task)
    task.add_done_callback(_log_crash)


def now_s() -> float:
    """Give the time by which votes and leads count: a suspension ends a lead like any silence."""
    return clocks.elapsed_s()


def _nothing() -> None:
    return


def _log_crash(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("task ended by an error", error=repr(task.exception()))


__all__ = [
    "CALL_TIMEOUT_MS",
    "VOTE_BLOCKED",
    "AppliedCommand",
    "ReplicaRole",
    "ReplicaState",
    "answer_proposal",
    "now_s",
    "start_task",
]
