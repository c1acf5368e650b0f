"""Choice of the next voter set: one change at a time, without reducing the reachable voters."""

from __future__ import annotations

from collections.abc import Sequence

from leadhollow.state.voters import Voter, VoterSet


class ReplicaHealth:
    """State of another replica as the leader sees it.

    Parameters
    ----------
    caught_up
        Whether it has all entries that were committed when this was recorded.
    silence_s
        How long it has not answered, in active time.
    """

    __slots__ = ("caught_up", "peer", "silence_s")

    def __init__(self, *, peer: Voter, caught_up: bool, silence_s: float) -> None:
        self.peer = peer
        self.caught_up = caught_up
        self.silence_s = silence_s


def choose_voters(
    current: VoterSet,
    replicas: Sequence[ReplicaHealth],
    *,
    voter_count: int,
    lost_after_s: float,
) -> tuple[Voter, ...] | None:
    """Choose the next voter set.

    A learner at the address of a voter proves that the voter's disk is lost. Nothing can vote
    under the voter's identity again, so one change replaces it by the learner. Any other learner is
    added first and a silent voter removed by a later change: the majorities before and after a
    change must share a replica.

    Parameters
    ----------
    voter_count
        Number of voters that the log should have.
    lost_after_s
        Silence after which a voter counts as lost if another replica can replace it.

    Returns
    -------
    tuple of Voter or None
        The new set; None if no change is needed.
    """
    learners = [
        replica
        for replica in replicas
        if replica.peer.replica not in current
        and replica.caught_up
        and replica.silence_s < lost_after_s
    ]
    silent = [
        replica.peer
        for replica in replicas
        if replica.peer.replica in current and replica.silence_s >= lost_after_s
    ]
    by_address = {voter.address: voter for voter in current.voters}
    for learner in learners:
        lost = by_address.get(learner.peer.address)
        if lost is not None:
            return (*_without(current, lost), learner.peer)
    if len(current) > voter_count and silent:
        return _without(current, silent[0])
    room = len(current) < voter_count or (silent and len(current) == voter_count)
    if learners and room:
        chosen = min(learners, key=lambda found: _count_live_voters(current, found.peer, silent))
        return (*current.voters, chosen.peer)
    return None


def _without(current: VoterSet, dropped: Voter) -> tuple[Voter, ...]:
    return tuple(voter for voter in current.voters if voter.replica != dropped.replica)


def _count_live_voters(current: VoterSet, peer: Voter, silent: Sequence[Voter]) -> int:
    """Count the voters in the failure domain of a replica that are not silent."""
    silent_replicas = {voter.replica for voter in silent}
    return sum(
        1
        for voter in current.voters
        if voter.failure_domain == peer.failure_domain and voter.replica not in silent_replicas
    )


__all__ = ["ReplicaHealth", "choose_voters"]
