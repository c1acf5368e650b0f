"""Decisions of elections and commits as pure functions.

Replicas call these functions, and so does the exhaustive search in the tests.
"""

from __future__ import annotations

from collections.abc import Sequence


def quorum_size(replicas: int) -> int:
    """Return the size of the smallest majority of a number of replicas."""
    return replicas // 2 + 1


def log_is_current(
    *, candidate_term: int, candidate_index: int, own_term: int, own_index: int
) -> bool:
    """Return whether a candidate's log is at least as recent as that of the voter."""
    return (candidate_term, candidate_index) >= (own_term, own_index)


def may_grant_vote(
    *,
    request_term: int,
    own_term: int,
    voted_for: str,
    candidate: str,
    candidate_log_current: bool,
    own_voter: bool,
    leader_heard: bool,
) -> bool:
    """Return whether to grant a vote.

    Parameters
    ----------
    own_voter
        False for a replica that has lost its disk and not yet caught up.
    leader_heard
        Whether a leader was heard within the shortest election timeout. No vote is granted then,
        so that no other replica is elected during a leader's lease.
    """
    if not own_voter or leader_heard or not candidate_log_current:
        return False
    if request_term < own_term:
        return False
    return request_term > own_term or voted_for in ("", candidate)


def committed_index(
    *, match_indexes: Sequence[int], current_commit: int, term_of_majority_index: int, term: int
) -> int:
    """Return the commit index of a leader.

    Parameters
    ----------
    match_indexes
        Highest synced index of each voter, including the leader.
    term_of_majority_index
        Term of the entry at :func:`majority_index`. An entry of an earlier term is committed
        only together with an entry of the leader's term.
    """
    index = majority_index(match_indexes)
    if index > current_commit and term_of_majority_index == term:
        return index
    return current_commit


def majority_index(match_indexes: Sequence[int]) -> int:
    """Return the highest index that a majority has synced."""
    ordered = sorted(match_indexes, reverse=True)
    return ordered[quorum_size(len(ordered)) - 1]


def first_conflict(*, own_terms: Sequence[int], offered_terms: Sequence[int]) -> int | None:
    """Find the first position at which own entries conflict with offered ones.

    Returns
    -------
    int or None
        First position at which the terms differ, None if there is no conflict.
    """
    for position, (own, offered) in enumerate(zip(own_terms, offered_terms, strict=False)):
        if own != offered:
            return position
    return None


__all__ = [
    "committed_index",
    "first_conflict",
    "log_is_current",
    "majority_index",
    "may_grant_vote",
    "quorum_size",
]
