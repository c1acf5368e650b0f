"""The voter sets of a log and the choice of the next one."""

from __future__ import annotations

import pytest

from leadhollow.state.commands import TermStart, encode
from leadhollow.state.log_contents import Entry
from leadhollow.state.voter_rules import ReplicaHealth, choose_voters
from leadhollow.state.voters import (
    ChangeVoters,
    Voter,
    VoterHistory,
    VoterSet,
    decode_voters,
    encode_voters,
)

LOST_S = 1.5


def voter(name: str, *, address: str = "", domain: str = "") -> Voter:
    return Voter(replica=name, address=address or f"at-{name}", failure_domain=domain or name)


def change(index: int, *names: str) -> Entry:
    command = ChangeVoters(voters=tuple(voter(name) for name in names))
    return Entry(index, 1, encode(command))


def names(voters) -> list[str]:
    return [found.replica for found in voters]


class TestVoterHistory:
    def test_current_set_is_the_newest_of_the_log(self):
        history = VoterHistory(initial=[voter("a")])
        assert history.record_entries([Entry(1, 1, encode(TermStart())), change(2, "a", "b")])
        assert names(history.current.voters) == ["a", "b"]
        assert history.current.index == 2

    def test_former_set_is_in_force_after_its_entry_is_cut_off(self):
        history = VoterHistory(initial=[voter("a")])
        history.record_entries([change(2, "a", "b"), change(5, "a", "b", "c")])
        assert history.revert_from(5)
        assert names(history.current.voters) == ["a", "b"]
        assert history.revert_from(1)
        assert names(history.current.voters) == ["a"]

    def test_other_commands_do_not_change_the_set(self):
        history = VoterHistory(initial=[voter("a")])
        assert not history.record_entries([Entry(1, 1, encode(TermStart()))])

    def test_set_at_an_index_is_found(self):
        history = VoterHistory(initial=[voter("a")])
        history.record_entries([change(2, "a", "b"), change(5, "b")])
        assert names(history.at(4).voters) == ["a", "b"]
        history.compact_before(4)
        assert names(history.at(4).voters) == ["a", "b"]
        assert names(history.current.voters) == ["b"]

    def test_set_is_restored_from_a_snapshot(self):
        saved = encode_voters([voter("a"), voter("b")])
        history = VoterHistory(initial=[])
        history.reset(index=9, voters=decode_voters(saved))
        assert names(history.current.voters) == ["a", "b"]


def health(
    name: str,
    *,
    caught_up: bool = True,
    silence_s: float = 0.0,
    address: str = "",
    domain: str = "",
) -> ReplicaHealth:
    peer = voter(name, address=address, domain=domain)
    return ReplicaHealth(peer=peer, caught_up=caught_up, silence_s=silence_s)


def choose(current, replicas, wanted: int = 3):
    found = choose_voters(
        VoterSet(index=1, voters=[voter(name) for name in current]),
        replicas,
        voter_count=wanted,
        lost_after_s=LOST_S,
    )
    return None if found is None else names(found)


class TestChooseVoters:
    def test_no_change_while_all_voters_answer(self):
        assert choose("abc", [health("b"), health("c")]) is None

    def test_silent_voter_stays_without_a_replacement(self):
        assert choose("abc", [health("b"), health("c", silence_s=9)]) is None

    def test_voter_with_a_lost_disk_is_replaced_in_one_change(self):
        learner = health("new", address="at-c")
        assert choose("abc", [health("b"), health("c"), learner]) == ["a", "b", "new"]

    def test_learner_that_has_not_caught_up_is_not_added(self):
        learner = health("new", address="at-c", caught_up=False)
        assert choose("abc", [health("b"), health("c", silence_s=9), learner]) is None

    def test_replacement_at_another_address_is_added_before_the_silent_voter_is_removed(self):
        silent = health("c", silence_s=9)
        assert choose("abc", [health("b"), silent, health("d")]) == ["a", "b", "c", "d"]
        assert choose("abcd", [health("b"), silent, health("d")]) == ["a", "b", "d"]

    def test_spare_replica_is_not_added_while_all_voters_answer(self):
        assert choose("abc", [health("b"), health("c"), health("d")]) is None

    def test_learners_are_added_while_there_are_too_few_voters(self):
        assert choose("abc", [health("b"), health("c"), health("d")], wanted=5) == [
            "a",
            "b",
            "c",
            "d",
        ]

    def test_learner_in_the_failure_domain_with_fewer_voters_is_preferred(self):
        replicas = [
            health("b"),
            health("c", silence_s=9),
            health("x", domain="b"),
            health("y", domain="c"),
        ]
        assert choose("abc", replicas) == ["a", "b", "c", "y"]

    @pytest.mark.parametrize("silence_s", [LOST_S, 60.0])
    def test_silent_learner_is_not_added(self, silence_s):
        learner = health("new", silence_s=silence_s)
        assert choose("abc", [health("b"), health("c", silence_s=9), learner]) is None

    def test_successive_sets_differ_by_one_voter(self):
        """Majorities of successive sets share a replica, except where a lost disk is replaced."""
        current = ["a", "b", "c"]
        following = choose(current, [health("b"), health("c", silence_s=9), health("d")])
        assert len(set(current) ^ set(following)) == 1
