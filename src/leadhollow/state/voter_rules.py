"""Which voter set should follow the one in force: one change at a time, never fewer in reach."""

from __future__ import annotations

from collections.abc import Sequence

from leadhollow.state.voters import Voter, VoterSet


class ReplicaHealth:
    """What a leader knows of another replica.

    Parameters
    ----------
    caught_up
        Whether it holds all that was committed a moment ago.
    silence_s
        How long it has not answered.
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

    A learner at the address of a voter proves that the voter's disk is gone: nobody can vote in
    its name again, so one change exchanges them. Any other learner is added first, and a voter
    that is silent is removed afterwards, because two majorities must always share a replica.

    Parameters
    ----------
    wanted
        Voters that the log should have.
    gone_after_s
        Silence after which a voter is given up where another replica can take its place.

    Returns
    -------
    tuple of Voter or None
        The new set; None where nothing has to change.
    """
    learners = [
        standing
        for standing in replicas
        if standing.peer.replica not in current
        and standing.caught_up
        and standing.silence_s < lost_after_s
    ]
    silent = [
        standing.peer
        for standing in replicas
        if standing.peer.replica in current and standing.silence_s >= lost_after_s
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
        chosen = min(learners, key=lambda found: _crowd(current, found.peer, silent))
        return (*current.voters, chosen.peer)
    return None


def _without(current: VoterSet, dropped: Voter) -> tuple[Voter, ...]:
    return tuple(voter for voter in current.voters if voter.replica != dropped.replica)


def _crowd(current: VoterSet, peer: Voter, silent: Sequence[Voter]) -> int:
    """Count the live voters of a replica's failure domain."""
    gone = {voter.replica for voter in silent}
    return sum(
        1
        for voter in current.voters
        if voter.failure_domain == peer.failure_domain and voter.replica not in gone
    )


__all__ = ["ReplicaStanding", "next_voters"]
