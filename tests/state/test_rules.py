"""Election and commit rules: unit tests and an exhaustive search of a small model."""

from __future__ import annotations

import pytest

from leadhollow.state import rules
from tests.state.election_model import Model, explore


class TestQuorum:
    @pytest.mark.parametrize(("replicas", "expected"), [(1, 1), (3, 2), (4, 3), (5, 3)])
    def test_quorum_is_the_smallest_majority(self, replicas, expected):
        assert rules.quorum_size(replicas) == expected


class TestVotes:
    def grant(self, **changed):
        given = {
            "request_term": 3,
            "own_term": 2,
            "voted_for": "",
            "candidate": "a",
            "candidate_log_current": True,
            "own_voter": True,
            "leader_heard": False,
        }
        return rules.may_grant_vote(**{**given, **changed})

    def test_vote_is_granted_to_a_candidate_with_a_current_log(self):
        assert self.grant()

    @pytest.mark.parametrize(
        "changed",
        [
            {"candidate_log_current": False},
            {"own_voter": False},
            {"leader_heard": True},
            {"request_term": 1},
            {"request_term": 2, "voted_for": "b"},
        ],
    )
    def test_vote_is_refused(self, changed):
        assert not self.grant(**changed)

    def test_vote_is_repeated_for_the_same_candidate(self):
        assert self.grant(request_term=2, voted_for="a")


class TestCommit:
    def test_commit_needs_a_majority(self):
        index = rules.committed_index(
            match_indexes=[5, 2, 2], current_commit=0, term_of_majority_index=4, term=4
        )
        assert index == 2

    def test_entry_of_an_earlier_term_waits_for_an_entry_of_the_current_term(self):
        index = rules.committed_index(
            match_indexes=[5, 5, 2], current_commit=1, term_of_majority_index=3, term=4
        )
        assert index == 1


class TestExhaustiveSearch:
    """Bounded search of all orders of votes, appends, lost replies and restarts."""

    def test_no_order_of_events_violates_a_rule(self):
        visited, violation = explore(Model(rules_module=rules), max_states=40_000)
        assert violation is None
        assert visited == 40_000

    @pytest.mark.parametrize(
        "broken",
        [
            {"log_is_current": lambda **_: True},
            {"may_grant_vote": lambda **given: given["request_term"] >= given["own_term"]},
            {"quorum_size": lambda replicas: 1},
        ],
    )
    def test_an_injected_fault_is_found(self, broken):
        model = Model(rules_module=rules, replaced=broken)
        _, violation = explore(model, max_states=40_000)
        assert violation is not None
