"""Maintenance of the voter set by the leader: adds learners and removes lost voters.

Used where replicas are found from seeds, so that lost ones can be replaced.
"""

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
"""Longer than an election and a restart. A voter is removed only if a replacement is ready."""

CHANGE_TIMEOUT_S = 2.0

log = get_logger("roster")


class VoterManager(TaskService):
    """Proposes changes of the voter set while this replica leads.

    Parameters
    ----------
    voter_count
        Number of voters that the log should have.
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
        """Return whether the last change is committed; only one may be in progress at a time."""
        return self._replica.commit_index >= self._replica.voters.index

    async def _change_if_needed(self) -> None:
        replica = self._replica
        current = replica.voters
        health = self._replica_health()
        voters = choose_voters(
            current, health, voter_count=self._voter_count, lost_after_s=VOTER_LOST_S
        )
        if voters is None:
            return
        log_decision(
            "voter set",
            before=[voter.replica for voter in current.voters],
            after=[voter.replica for voter in voters],
            silent={
                replica_health.peer.replica: round(replica_health.silence_s, 2)
                for replica_health in health
                if replica_health.silence_s >= VOTER_LOST_S
            },
        )
        try:
            async with active_timeout(CHANGE_TIMEOUT_S):
                changed = await replica.propose(ChangeVoters(voters=voters))
        except TimeoutError:
            log.warning("voter set change not committed in time", wanted=len(voters))
            return
        if changed.is_err():
            log.warning("voter set change failed", failure=str(changed.unwrap_err()))

    def _replica_health(self) -> list[ReplicaHealth]:
        replica = self._replica
        leadership = replica.leadership
        return [
            ReplicaHealth(
                peer=follower.peer,
                caught_up=follower.match_index >= replica.commit_index,
                silence_s=leadership.silence_s(follower.peer.replica),
            )
            for follower in leadership.followers()
        ]


__all__ = ["VoterManager"]
