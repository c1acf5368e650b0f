"""State that the parts of one replica share: vote, log, commit index, role and leader."""

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
from leadhollow.state.log_contents import Entry, Snapshot
from leadhollow.state.log_store import LogStore, Vote
from leadhollow.state.machine import StateMachine
from leadhollow.state.transition_queue import TransitionQueue
from leadhollow.state.voters import Voter, VoterHistory, decode_voters
from leadhollow.wire.peers import PeerPool

CALL_TIMEOUT_MS = 1_000
VOTE_BLOCKED = "*"  # recorded as vote where a replica that lost its disk must not vote

log = get_logger("state")


class ReplicaRole(Enum):
    """Role of a replica in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class AppliedCommand:
    """Result of a committed and applied command, with its log index."""

    __slots__ = ("answer", "index")

    def __init__(self, *, index: int, answer: AnyAnswer) -> None:
        self.index = index
        self.answer = answer


class ReplicaState:
    """Shared state of one replica.

    Every change of the log, the vote or the term runs in ``transitions``.

    Parameters
    ----------
    vm
        Name of this replica; the identity of its disk if the voter set may change.
    voters
        The voter sets of the log.
    fixed_voters
        Whether the settings name all replicas and the voter set never changes. A replica that
        lost its disk then keeps its name and must not vote until it has caught up.

    Attributes
    ----------
    election_timer_reset_s
        Active time at which the election timer was last reset: a leader was heard, a vote was
        granted, or a campaign of this replica failed.
    leader_heard_s
        Time at which a leader was last heard, see :func:`now_s`. Leader leases rely on it.
    heard_commit_index
        Commit index that the first leader heard since the start named, None before.
    """

    __slots__ = (
        "_step_down",
        "_voters_changed",
        "applied_index",
        "commit_index",
        "disk",
        "election_timer_reset_s",
        "failed",
        "fixed_voters",
        "heard_commit_index",
        "leader_heard_s",
        "leader_vm",
        "machine",
        "peers",
        "pending",
        "role",
        "store",
        "timing",
        "transitions",
        "vm",
        "voters",
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
        self.heard_commit_index: int | None = None
        self.pending: dict[int, asyncio.Future[Result[AppliedCommand, Failure]]] = {}
        self.wake_apply = asyncio.Event()
        self._step_down: Callable[[], None] = _do_nothing
        self._voters_changed: Callable[[], None] = _do_nothing

    @property
    def vote(self) -> Vote:
        """Current term and vote as written to disk."""
        return self.store.vote or Vote(voter=False)

    @property
    def term(self) -> int:
        """Current term."""
        return self.vote.term

    @property
    def election_timeout_s(self) -> float:
        """Shortest time without a leader after which a replica campaigns."""
        return self.timing.election_timeout_ms / 1000

    @property
    def others(self) -> list[Voter]:
        """All voters except this replica."""
        return self.voters.current.others(self.vm)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is in the voter set in force."""
        return self.vm in self.voters.current

    def on_step_down(self, listener: Callable[[], None]) -> None:
        """Call a function when this replica stops leading."""
        self._step_down = listener

    def on_voters_changed(self, listener: Callable[[], None]) -> None:
        """Call a function when the voter set in force changes."""
        self._voters_changed = listener

    def apply_voter_changes(self, entries: list[Entry]) -> None:
        """Adopt the voter sets in entries that were appended to the log."""
        if self.voters.record_entries(entries):
            self._notify_voters_changed()

    def revert_voter_changes(self, index: int) -> None:
        """Return to the voter set before an index from which the log was cut off."""
        if self.voters.revert_from(index):
            self._notify_voters_changed()

    def restore_voters(self, snapshot: Snapshot) -> None:
        """Adopt the voter set of a snapshot."""
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
        """Stop leading or campaigning; ``leader`` is empty while the leader is unknown."""
        if self.role is ReplicaRole.LEADER:
            self._step_down()
        self.role = ReplicaRole.FOLLOWER
        self.leader_vm = leader

    def leader_heard_recently(self) -> bool:
        """Return whether a leader was heard within the shortest election timeout."""
        return now_s() - self.leader_heard_s < self.election_timeout_s

    def advance_commit(self, index: int) -> None:
        """Raise the commit index and wake the task that applies entries."""
        if index > self.commit_index:
            self.commit_index = index
            self.wake_apply.set()

    async def save_vote(self, vote: Vote) -> bool:
        """Write a term and vote to disk; must be done before any other replica learns of them."""
        saved = await self.disk.run(lambda: self.store.save_vote(vote))
        if saved.is_err():
            self.fail(saved.unwrap_err())
        return saved.is_ok()

    async def adopt_term(self, term: int) -> None:
        """Become a follower in a higher term that another replica named."""
        await self.transitions.run(lambda: self._adopt_term(term))

    async def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self.become_follower("")
            await self.save_vote(Vote(term=term, voted_for="", voter=self.vote.voter))

    def fail(self, failure: Failure) -> Failure:
        """Take no part until the log has been rewritten; see :meth:`recover`."""
        log.error("replica stops taking part: disk failed", replica=self.vm, failure=str(failure))
        self.failed = True
        self.become_follower("")
        return failure

    async def recover(self) -> None:
        """Try to rewrite the log and the vote; take part again if that succeeds."""
        await self.transitions.run(self._recover)

    async def _recover(self) -> None:
        written = await self.disk.run(self.store.recover)
        if written.is_ok():
            written = await self.disk.run(lambda: self.store.save_vote(self.vote))
        if written.is_err():
            return
        self.failed = False
        self.election_timer_reset_s = active_time.active_s()
        log.warning(
            "disk recovered: replica takes part again",
            replica=self.vm,
            last_index=self.store.last_index,
        )


def resolve_proposal(
    done: asyncio.Future[Result[AppliedCommand, Failure]] | None,
    result: Result[AppliedCommand, Failure],
) -> None:
    """Set the result of a proposal if its caller still waits for it."""
    if done is not None and not done.done():
        done.set_result(result)


def start_task(tasks: list[asyncio.Task[None]], coroutine: Coroutine[object, object, None]) -> None:
    """Start a task and log its exception if it fails."""
    task = asyncio.get_running_loop().create_task(coroutine)
    tasks.append(task)
    task.add_done_callback(_log_crash)


def now_s() -> float:
    """Return the clock of votes and leader leases.

    It includes time in which the VM was suspended: a suspension ends a lease like any silence.
    """
    return clocks.elapsed_s()


def _do_nothing() -> None:
    return


def _log_crash(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("task failed", error=repr(task.exception()))


__all__ = [
    "CALL_TIMEOUT_MS",
    "VOTE_BLOCKED",
    "AppliedCommand",
    "ReplicaRole",
    "ReplicaState",
    "resolve_proposal",
    "now_s",
    "start_task",
]
