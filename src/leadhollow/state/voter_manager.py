"""Keeps the voter set whole: a leader takes learners in and drops voters that are gone."""

from __future__ import annotations

import asyncio

from leadhollow.kernel.active_time import active_timeout
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.state.replica import Replica
from leadhollow.state.voter_rules import ReplicaHealth, choose_voters
from leadhollow.state.voters import ChangeVoters

CHECK_INTERVAL_S = 0.2
VOTER_LOST_S = 1.5
"""Longer than an election and a restart; a voter is only given up where another is ready."""

CHANGE_TIMEOUT_S = 2.0

log = get_logger("roster")


class VoterManager(TaskService):
    """Proposes changes of the voter set while this replica leads.

    Parameters
    ----------
    wanted
        Voters that the log should have.
    """

    __slots__ = ("_replica", "_voter_count")

    def __init__(self, *, replica: Replica, voter_count: int) -> None:
        self._replica = replica
        self._voter_count = voter_count
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._replica.leadership.sync_followers()
            if self._replica.ready() and self._settled():
                await self._change_if_needed()

    def _settled(self) -> bool:
        """Tell whether the last change is committed; there is never more than one on its way."""
        return self._replica.commit_index >= self._replica.voters.index

    async def _change_if_needed(self) -> None:
        replica = self._replica
        current = replica.voters
        standings = self._replica_health()
        voters = choose_voters(
            current, standings, voter_count=self._voter_count, lost_after_s=VOTER_LOST_S
        )
        if voters is None:
            return
        log_decision(
            "voter set",
            before=[voter.replica for voter in current.voters],
            after=[voter.replica for voter in voters],
            silent={
                standing.peer.replica: round(standing.silence_s, 2)
                for standing in standings
                if standing.silence_s >= VOTER_LOST_S
            },
        )
        try:
            async with active_timeout(CHANGE_TIMEOUT_S):
                changed = await replica.propose(ChangeVoters(voters=voters))
        except TimeoutError:
            log.warning("voter change not committed yet", wanted=len(voters))
            return
        if changed.is_err():
            log.warning("voter change failed", failure=str(changed.unwrap_err()))

    def _replica_health(self) -> list[ReplicaHealth]:
        replica = self._replica
        leadership = replica.leadership
        return [
            ReplicaHealth(
                peer=follower.peer,
                caught_up=follower.match >= replica.commit_index,
                silence_s=leadership.silence_s(follower.peer.replica),
            )
            for follower in leadership.followers()
        ]


__all__ = ["RosterKeeper"]
