"""The voter sets of a log, and which one should follow."""

from __future__ import annotations

import pytest

from leadhollow.state.commands import TermStart, encode
from leadhollow.state.log_store import Entry
from leadhollow.state.voter_rules import ReplicaHealth, choose_voters
from leadhollow.state.voters import (
    ChangeVoters,
    Voter,
    VoterHistory,
    VoterSet,
    decode_voters,
    encode_voters,
)

GONE_S = 1.5


def voter(name: str, *, address: str = "", domain: str = "") -> Voter:
    return Voter(replica=name, address=address or f"at-{name}", failure_domain=domain or name)


def change(index: int, *names: str) -> Entry:
    command = ChangeVoters(voters=tuple(voter(name) for name in names))
    return Entry(index, 1, encode(command))


def names(voters) -> list[str]:
    return [found.replica for found in voters]


class TestVoterBook:
    def test_takes_the_newest_set_of_the_log(self):
        book = VoterHistory(initial=[voter("a")])
        assert book.record_entries([Entry(1, 1, encode(TermStart())), change(2, "a", "b")])
        assert names(book.current.voters) == ["a", "b"]
        assert book.current.index == 2

    def test_goes_back_when_the_entry_is_cut_off(self):
        book = VoterHistory(initial=[voter("a")])
        book.record_entries([change(2, "a", "b"), change(5, "a", "b", "c")])
        assert book.revert_from(5)
        assert names(book.current.voters) == ["a", "b"]
        assert book.revert_from(1)
        assert names(book.current.voters) == ["a"]

    def test_ignores_other_commands(self):
        book = VoterHistory(initial=[voter("a")])
        assert not book.record_entries([Entry(1, 1, encode(TermStart()))])

    def test_gives_the_set_at_an_entry(self):
        book = VoterHistory(initial=[voter("a")])
        book.record_entries([change(2, "a", "b"), change(5, "b")])
        assert names(book.at(4).voters) == ["a", "b"]
        book.compact_before(4)
        assert names(book.at(4).voters) == ["a", "b"]
        assert names(book.current.voters) == ["b"]

    def test_survives_a_snapshot(self):
        saved = encode_voters([voter("a"), voter("b")])
        book = VoterHistory(initial=[])
        book.reset(index=9, voters=decode_voters(saved))
        assert names(book.current.voters) == ["a", "b"]


def standing(
    name: str,
    *,
    caught_up: bool = True,
    silence_s: float = 0.0,
    address: str = "",
    domain: str = "",
) -> ReplicaHealth:
    peer = voter(name, address=address, domain=domain)
    return ReplicaHealth(peer=peer, caught_up=caught_up, silence_s=silence_s)


def choose(current, standings, wanted: int = 3):
    found = choose_voters(
        VoterSet(index=1, voters=[voter(name) for name in current]),
        standings,
        voter_count=wanted,
        lost_after_s=GONE_S,
    )
    return None if found is None else names(found)


class TestNextVoters:
    def test_nothing_changes_while_all_are_there(self):
        assert choose("abc", [standing("b"), standing("c")]) is None

    def test_a_silent_voter_stays_without_a_replacement(self):
        assert choose("abc", [standing("b"), standing("c", silence_s=9)]) is None

    def test_a_lost_disk_is_exchanged_at_once(self):
        learner = standing("new", address="at-c")
        assert choose("abc", [standing("b"), standing("c"), learner]) == ["a", "b", "new"]

    def test_a_learner_that_has_not_caught_up_waits(self):
        learner = standing("new", address="at-c", caught_up=False)
        assert choose("abc", [standing("b"), standing("c", silence_s=9), learner]) is None

    def test_a_replacement_elsewhere_is_added_before_the_silent_one_goes(self):
        silent = standing("c", silence_s=9)
        assert choose("abc", [standing("b"), silent, standing("d")]) == ["a", "b", "c", "d"]
        assert choose("abcd", [standing("b"), silent, standing("d")]) == ["a", "b", "d"]

    def test_a_spare_replica_waits_while_all_voters_are_there(self):
        assert choose("abc", [standing("b"), standing("c"), standing("d")]) is None

    def test_too_few_voters_are_filled_up(self):
        assert choose("abc", [standing("b"), standing("c"), standing("d")], wanted=5) == [
            "a",
            "b",
            "c",
            "d",
        ]

    def test_of_two_spare_replicas_the_one_in_the_emptier_domain_is_taken(self):
        standings = [
            standing("b"),
            standing("c", silence_s=9),
            standing("x", domain="b"),
            standing("y", domain="c"),
        ]
        assert choose("abc", standings) == ["a", "b", "c", "y"]

    @pytest.mark.parametrize("silence_s", [GONE_S, 60.0])
    def test_a_silent_learner_is_not_taken(self, silence_s):
        learner = standing("new", silence_s=silence_s)
        assert choose("abc", [standing("b"), standing("c", silence_s=9), learner]) is None

    def test_each_change_shares_a_majority_with_the_one_before(self):
        """But for a disk that is gone, old and new majorities always have a replica in common."""
        current = ["a", "b", "c"]
        following = choose(current, [standing("b"), standing("c", silence_s=9), standing("d")])
        assert len(set(current) ^ set(following)) == 1
