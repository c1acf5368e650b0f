"""A model of three replicas that uses the real decision functions, for exhaustive search.

A state has a tuple for each replica: term, vote, log (terms), role, votes and matches received.
Former candidates and leaders continue to act in their old term, which models delayed messages. A
reply may be lost, which models a lost message. A restart keeps only what is on disk.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from types import ModuleType
from typing import NamedTuple

FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"
MAX_TERMS = 3
MAX_ENTRIES = 2


class ReplicaState(NamedTuple):
    term: int = 0
    voted_for: str = ""
    log: tuple[int, ...] = ()
    role: str = FOLLOWER
    votes: frozenset[int] = frozenset()
    matches: tuple[int, ...] = (0, 0, 0)
    commit: int = 0


State = tuple[ReplicaState, ReplicaState, ReplicaState]


class Model:
    """Transitions of the model; a test may replace decision functions by faulty ones."""

    def __init__(
        self, *, rules_module: ModuleType, replaced: dict[str, Callable] | None = None
    ) -> None:
        replaced = replaced or {}

        def rule(name: str) -> Callable:
            return replaced.get(name, getattr(rules_module, name))

        self.quorum_size = rule("quorum_size")
        self.log_is_current = rule("log_is_current")
        self.may_grant_vote = rule("may_grant_vote")
        self.committed_index = rule("committed_index")
        self.majority_index = rule("majority_index")
        self.first_conflict = rule("first_conflict")

    def next_states(self, state: State) -> Iterator[State]:
        for number, replica in enumerate(state):
            yield from self._local_transitions(state, number, replica)
            for other in range(3):
                if other != number:
                    yield from self._peer_transitions(state, number, other)

    def _local_transitions(
        self, state: State, number: int, replica: ReplicaState
    ) -> Iterator[State]:
        if replica.role != LEADER and replica.term < MAX_TERMS:
            candidate = ReplicaState(
                term=replica.term + 1,
                voted_for=str(number),
                log=replica.log,
                role=CANDIDATE,
                votes=frozenset({number}),
                commit=replica.commit,
            )
            yield put(state, number, candidate)
        if replica.role == CANDIDATE and len(replica.votes) >= self.quorum_size(3):
            matches = tuple(len(replica.log) if peer == number else 0 for peer in range(3))
            yield put(state, number, replica._replace(role=LEADER, matches=matches))
        if replica.role == LEADER and len(replica.log) < MAX_ENTRIES:
            log = (*replica.log, replica.term)
            matches = set_at(replica.matches, number, len(log))
            yield put(state, number, replica._replace(log=log, matches=matches))
        if replica.role == LEADER:
            index = self.majority_index(replica.matches)
            commit = self.committed_index(
                match_indexes=replica.matches,
                current_commit=replica.commit,
                term_of_majority_index=replica.log[index - 1] if index else 0,
                term=replica.term,
            )
            if commit != replica.commit:
                yield put(state, number, replica._replace(commit=commit))
        if replica.role != FOLLOWER:
            yield put(
                state,
                number,
                ReplicaState(term=replica.term, voted_for=replica.voted_for, log=replica.log),
            )

    def _peer_transitions(self, state: State, number: int, other: int) -> Iterator[State]:
        if state[number].role == CANDIDATE:
            yield from self._request_vote(state, number, other)
        elif state[number].role == LEADER:
            yield from self._append(state, number, other)

    def _request_vote(self, state: State, number: int, other: int) -> Iterator[State]:
        candidate, voter = state[number], state[other]
        granted = self.may_grant_vote(
            request_term=candidate.term,
            own_term=voter.term,
            voted_for=voter.voted_for,
            candidate=str(number),
            candidate_log_current=self.log_is_current(
                candidate_term=last_term(candidate),
                candidate_index=len(candidate.log),
                own_term=last_term(voter),
                own_index=len(voter.log),
            ),
            own_voter=True,
            leader_heard=False,
        )
        if not granted:
            return
        granting = ReplicaState(
            term=candidate.term, voted_for=str(number), log=voter.log, commit=voter.commit
        )
        reply_lost = put(state, other, granting)
        yield reply_lost
        yield put(reply_lost, number, candidate._replace(votes=candidate.votes | {other}))

    def _append(self, state: State, number: int, other: int) -> Iterator[State]:
        leader, follower = state[number], state[other]
        if leader.term < follower.term:
            return
        for start in range(len(leader.log) + 1):
            if start > len(follower.log) or leader.log[:start] != follower.log[:start]:
                break
            offered = leader.log[start:]
            own = follower.log[start:]
            conflict = self.first_conflict(own_terms=own, offered_terms=offered)
            kept = follower.log if conflict is None else follower.log[: start + conflict]
            log = kept if len(kept) >= len(leader.log) else leader.log
            same_term = follower.term == leader.term
            appended = ReplicaState(
                term=leader.term,
                voted_for=follower.voted_for if same_term else "",
                log=log,
                commit=max(follower.commit, min(leader.commit, len(leader.log))),
            )
            reply_lost = put(state, other, appended)
            yield reply_lost
            matches = set_at(leader.matches, other, len(leader.log))
            yield put(reply_lost, number, leader._replace(matches=matches))


def explore(model: Model, *, max_states: int) -> tuple[int, str | None]:
    """Search breadth first; return the number of states and the first violated rule, if any."""
    initial: State = (ReplicaState(), ReplicaState(), ReplicaState())
    seen = {initial}
    queue = deque([(initial, frozenset())])
    while queue and len(seen) < max_states:
        state, committed = queue.popleft()
        for successor in model.next_states(state):
            if successor in seen:
                continue
            violation, now_committed = find_violation(successor, committed)
            if violation is not None:
                return len(seen), violation
            seen.add(successor)
            queue.append((successor, now_committed))
            if len(seen) >= max_states:
                break
    return len(seen), None


def find_violation(state: State, committed: frozenset) -> tuple[str | None, frozenset]:
    """Check a state against the entries committed on the path to it."""
    leaders = [replica for replica in state if replica.role == LEADER]
    terms = [replica.term for replica in leaders]
    if len(terms) != len(set(terms)):
        return "two leaders in one term", committed
    found = set(committed)
    for replica in state:
        found |= {(index, replica.log[index], replica.term) for index in range(replica.commit)}
    entries = {(index, term) for index, term, _ in found}
    if len({index for index, _ in entries}) != len(entries):
        return "two entries were committed at one index", committed
    for leader in leaders:
        for index, term, committed_in in found:
            if committed_in < leader.term and leader.log[index : index + 1] != (term,):
                return "a leader lacks a committed entry", committed
    return None, frozenset(found)


def put(state: State, number: int, replica: ReplicaState) -> State:
    return (*state[:number], replica, *state[number + 1 :])


def set_at(values: tuple[int, ...], number: int, value: int) -> tuple[int, ...]:
    return (*values[:number], value, *values[number + 1 :])


def last_term(replica: ReplicaState) -> int:
    return replica.log[-1] if replica.log else 0
