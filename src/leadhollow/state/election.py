"""When a replica stands for election, and how it begins with an empty disk."""

from __future__ import annotations

import asyncio
import random

from result import Ok, Result

from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.observe.logs import get_logger
from leadhollow.state.leadership import DISK_STALL_S, Leadership
from leadhollow.state.log_store import Vote
from leadhollow.state.replica_state import CALL_TIMEOUT_MS, ReplicaRole, ReplicaState, now_s
from leadhollow.state.rules import quorum_size
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import Done, StandNow, StateProbe, VoteRequest

MAX_TIMEOUT_FACTOR = 1.8
ELECTION_PROBE_INTERVAL_S = (
    0.05  # an answer takes a few milliseconds; replicas that start together differ by more
)

log = get_logger("state")


class Election:
    """Watches for a leader and stands when there is none.

    Parameters
    ----------
    seed
        Seed of the timeout's random part.
    """

    __slots__ = ("_leadership", "_random", "_state")

    def __init__(self, *, state: ReplicaState, leadership: Leadership, seed: int) -> None:
        self._state = state
        self._leadership = leadership
        self._random = random.Random(seed)

    async def run(self, *, fresh: bool) -> None:
        """Watch for as long as the replica runs.

        Parameters
        ----------
        fresh
            Whether our disk was empty when we started.
        """
        state = self._state
        if fresh and state.fixed_voters:
            await self._initialise_empty_disk()
        elif fresh:
            await state.save_vote(Vote(term=0, voted_for="", voter=True))
        await self._hold_first_election()
        while True:
            factor = self._random.uniform(1.0, MAX_TIMEOUT_FACTOR)
            timeout_s = state.election_timeout_s * factor
            await active_time.active_sleep(timeout_s / 4)
            if state.role is ReplicaRole.LEADER:
                self._leadership.check_quorum(timeout_s)
                continue
            if state.failed:
                await state.recover()
                continue
            if (
                active_time.active_s() - state.election_timer_reset_s < timeout_s
                or not self._may_campaign()
            ):
                continue
            await self._campaign()

    async def on_stand_now(
        self, request: StandNow, connection: Connection
    ) -> Result[Done, Failure]:
        """Stand at once, because the leader is about to stop."""
        state = self._state
        if (
            request.term == state.term
            and request.leader == state.leader_vm
            and self._may_campaign()
        ):
            log.info("standing on the leader's word", replica=state.vm, leader=request.leader)
            await self._campaign(transfer=True)
        return Ok(Done())

    def _may_campaign(self) -> bool:
        state = self._state
        healthy = not state.failed and state.disk.busy_s < DISK_STALL_S
        return healthy and state.is_voter and state.vote.voter

    async def _initialise_empty_disk(self) -> None:
        """Find out whether all replicas are new, or ours alone lost its disk."""
        state = self._state
        while state.store.vote is None:
            probe = StateProbe(state.vm)
            replies = await asyncio.gather(
                *(
                    state.peers.call(peer.address, probe, timeout_ms=CALL_TIMEOUT_MS)
                    for peer in state.others
                )
            )
            answers = [reply.unwrap() for reply in replies if reply.is_ok()]
            all_new = all(answer.blank or answer.term <= 1 for answer in answers)
            if len(answers) == len(state.others) and all_new:
                await state.transitions.run(self._initialise_vote)
                return
            if any(not answer.blank for answer in answers):
                log.warning("this replica's disk is empty, it learns before it votes")
            await asyncio.sleep(state.timing.heartbeat_ms / 1000)

    async def _hold_first_election(self) -> None:
        """Stand at once where every voter has just started too, so that nobody can lead.

        A voter that has restarted may have forgotten a leader whose lease still counts on its
        answer. That is why it grants no vote for a timeout, unless the leader itself asks for it.
        Where all voters answer that they know no leader, there is none that a lease could belong
        to. Of those that stand, only one with the longest log does, lest votes be split.
        """
        state = self._state
        began_s = now_s()
        while now_s() - began_s < state.election_timeout_s:
            if state.leader_vm or state.role is not ReplicaRole.FOLLOWER:
                return
            term = state.term
            if self._may_campaign() and await self._no_leader_known():
                unchanged = state.term == term and not state.leader_vm
                if unchanged and state.role is ReplicaRole.FOLLOWER:
                    log.info("no voter knows a leader", replica=state.vm, term=term)
                    await self._campaign(transfer=True)
                return
            await asyncio.sleep(ELECTION_PROBE_INTERVAL_S)

    async def _no_leader_known(self) -> bool:
        """Tell whether all voters answer, know no leader, and hold no longer log than ours.

        One with an empty disk has lost its vote, and cannot lead: what led at its address is gone.
        """
        state = self._state
        able = 1
        probe = StateProbe(state.vm)
        others = state.others
        replies = await asyncio.gather(
            *(state.peers.call(peer.address, probe, timeout_ms=CALL_TIMEOUT_MS) for peer in others)
        )
        for peer, reply in zip(others, replies, strict=True):
            if reply.is_err():
                return False
            answer = reply.unwrap()
            if answer.leader or answer.term > state.term:
                return False
            if answer.blank:
                continue
            able += 1
            if (answer.last_index, peer.replica) > (state.store.last_index, state.vm):
                return False
        return able >= quorum_size(len(others) + 1)

    async def _initialise_vote(self) -> None:
        state = self._state
        if state.store.vote is None:
            log.info("all replicas are new, state begins")
            await state.save_vote(Vote(term=1, voted_for="", voter=True))

    async def _campaign(self, *, transfer: bool = False) -> None:
        state = self._state
        if not transfer and not await self._request_votes(state.term + 1, pre_vote=True):
            state.election_timer_reset_s = active_time.active_s()
            return
        term = await state.transitions.run(lambda: self._start_candidacy(transfer=transfer))
        if term is None:
            return
        won = await self._request_votes(term, pre_vote=False, transfer=transfer)
        if won and state.term == term and state.role is ReplicaRole.CANDIDATE:
            self._leadership.start()
        else:
            state.election_timer_reset_s = active_time.active_s()

    async def _start_candidacy(self, *, transfer: bool) -> int | None:
        """Begin a term as its candidate; None where somebody leads or the disk fails."""
        state = self._state
        heard = state.leader_heard_recently() and not transfer
        if heard or state.role is ReplicaRole.LEADER:
            return None
        term = state.term + 1
        if not await state.save_vote(Vote(term=term, voted_for=state.vm, voter=True)):
            return None
        state.role = ReplicaRole.CANDIDATE
        state.leader_vm = ""
        return term

    async def _request_votes(self, term: int, *, pre_vote: bool, transfer: bool = False) -> bool:
        state = self._state
        store = state.store
        needed = quorum_size(len(state.voters.current)) - 1
        if needed == 0:
            return True
        timeout_ms = state.timing.election_timeout_ms
        calls = []
        for peer in state.others:
            request = VoteRequest(
                term,
                state.vm,
                store.last_index,
                store.last_term,
                pre_vote,
                transfer or None,
                peer.replica,
            )
            asked = state.peers.call(peer.address, request, timeout_ms=timeout_ms)
            calls.append(asyncio.ensure_future(asked))
        granted = 0
        try:
            for call in asyncio.as_completed(calls):
                reply = await call
                if reply.is_err():
                    continue
                answer = reply.unwrap()
                if answer.term > term:
                    await state.adopt_term(answer.term)
                    return False
                granted += 1 if answer.granted else 0
                if granted >= needed:
                    return True
        finally:
            for pending in calls:
                pending.cancel()
        return False


__all__ = ["Election"]
