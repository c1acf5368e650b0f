"""Leader election of a replica, including its start with an empty disk.

A replica runs an :class:`Election` for as long as it lives. Votes of other replicas are answered
in :mod:`leadhollow.state.following`.
"""

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
# A reply takes a few milliseconds, and start times of replicas differ by more than that.
ELECTION_PROBE_INTERVAL_S = 0.05

log = get_logger("state")


class Election:
    """Campaigns for leadership when no leader has been heard for an election timeout.

    Parameters
    ----------
    seed
        Seed of the random part of the election timeout.
    """

    __slots__ = ("_leadership", "_random", "_state")

    def __init__(self, *, state: ReplicaState, leadership: Leadership, seed: int) -> None:
        self._state = state
        self._leadership = leadership
        self._random = random.Random(seed)

    async def run(self, *, empty_disk: bool) -> None:
        """Run elections until the task is cancelled.

        Parameters
        ----------
        empty_disk
            Whether the disk was empty when this replica started.
        """
        state = self._state
        if empty_disk and state.fixed_voters:
            await self._initialise_empty_disk()
        elif empty_disk:
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
        """Campaign at once: the leader is about to stop and hands over its lead."""
        state = self._state
        if (
            request.term == state.term
            and request.leader == state.leader_vm
            and self._may_campaign()
        ):
            log.info("leader hands over: campaigning", replica=state.vm, leader=request.leader)
            await self._campaign(transfer=True)
        return Ok(Done())

    def _may_campaign(self) -> bool:
        state = self._state
        healthy = not state.failed and state.disk.busy_s < DISK_STALL_S
        return healthy and state.is_voter and state.vote.voter

    async def _initialise_empty_disk(self) -> None:
        """Find out whether all replicas are new or only this one lost its disk.

        The vote is created only if all replicas answer and each is empty or at most in term 1.
        Otherwise the loop ends once a leader is accepted, which writes a blocked vote.
        """
        state = self._state
        while state.store.vote is None:
            probe = StateProbe(state.vm)
            replies = await asyncio.gather(
                *(
                    state.peers.call(peer.address, probe, timeout_ms=CALL_TIMEOUT_MS)
                    for peer in state.others
                )
            )
            probes = [reply.unwrap() for reply in replies if reply.is_ok()]
            all_new = all(found.blank or found.term <= 1 for found in probes)
            if len(probes) == len(state.others) and all_new:
                await state.transitions.run(self._initialise_vote)
                return
            if any(not found.blank for found in probes):
                log.warning(
                    "disk is empty while other replicas have state: not voting until caught up"
                )
            await asyncio.sleep(state.timing.heartbeat_ms / 1000)

    async def _hold_first_election(self) -> None:
        """Campaign without waiting for the election timeout if all voters have just started.

        A restarted voter may have forgotten a leader whose lease still relies on that voter's
        acknowledgement. It therefore grants no vote for one election timeout, unless the leader
        itself requested the election. If all voters answer that they know no leader, no lease
        can be valid. Only a replica with the longest log campaigns, to avoid a split vote.
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
        """Return whether all voters answer, know no leader and have no longer log than this one.

        A replica with an empty disk cannot vote or lead. A leader that ran at its address has
        lost its state and no longer leads, so the empty replica does not block the election.
        """
        state = self._state
        able_voters = 1
        probe = StateProbe(state.vm)
        others = state.others
        replies = await asyncio.gather(
            *(state.peers.call(peer.address, probe, timeout_ms=CALL_TIMEOUT_MS) for peer in others)
        )
        for peer, reply in zip(others, replies, strict=True):
            if reply.is_err():
                return False
            found = reply.unwrap()
            if found.leader or found.term > state.term:
                return False
            if found.blank:
                continue
            able_voters += 1
            if (found.last_index, peer.replica) > (state.store.last_index, state.vm):
                return False
        return able_voters >= quorum_size(len(others) + 1)

    async def _initialise_vote(self) -> None:
        state = self._state
        if state.store.vote is None:
            log.info("all replicas are new: starting at term 1")
            await state.save_vote(Vote(term=1, voted_for="", voter=True))

    async def _campaign(self, *, transfer: bool = False) -> None:
        """Run for leader in a new term.

        Parameters
        ----------
        transfer
            Whether to skip the pre-vote and the check for a live leader: the leader itself
            requested the election, or no voter knows a leader.
        """
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
        """Start a new term as candidate and vote for this replica.

        Returns
        -------
        int or None
            The new term; None if a leader was heard meanwhile or the vote could not be written.
        """
        state = self._state
        leader_alive = state.leader_heard_recently() and not transfer
        if leader_alive or state.role is ReplicaRole.LEADER:
            return None
        term = state.term + 1
        if not await state.save_vote(Vote(term=term, voted_for=state.vm, voter=True)):
            return None
        state.role = ReplicaRole.CANDIDATE
        state.leader_vm = ""
        return term

    async def _request_votes(self, term: int, *, pre_vote: bool, transfer: bool = False) -> bool:
        """Ask all other voters for their votes; return whether a majority grants them.

        Parameters
        ----------
        pre_vote
            Whether to ask only if they would vote; a voter then records nothing.
        """
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
            call = state.peers.call(peer.address, request, timeout_ms=timeout_ms)
            calls.append(asyncio.ensure_future(call))
        granted = 0
        try:
            for completed in asyncio.as_completed(calls):
                reply = await completed
                if reply.is_err():
                    continue
                vote_reply = reply.unwrap()
                if vote_reply.term > term:
                    await state.adopt_term(vote_reply.term)
                    return False
                granted += 1 if vote_reply.granted else 0
                if granted >= needed:
                    return True
        finally:
            for pending in calls:
                pending.cancel()
        return False


__all__ = ["Election"]
