"""Tests of whom a stager asks for a piece."""

from __future__ import annotations

import pytest

from leadhollow.staging.choice import (
    AWAY_S,
    FAILED_RECENTLY_S,
    PER_SOURCE,
    Origin,
    SourceChoice,
)
from leadhollow.staging.patience import LONGEST_IMPORT_S, LONGEST_READ_S, TaskPatience
from leadhollow.staging.piece_source import HANGS_AFTER_S, PieceSource
from leadhollow.staging.sharing import Sharing, Stager

PIECES = 24
OWN = Stager(address="127.0.0.1:1", failure_domain="a")
NEIGHBOUR = Stager(address="127.0.0.1:2", failure_domain="a")
FAR = Stager(address="127.0.0.1:3", failure_domain="b")

SLOW = TaskPatience(piece_bytes=1_000, origin_bytes_per_s=lambda: 1.0, link_bytes_per_s=lambda: 1.0)
"""Links on which even one piece takes longer than anybody is waited for."""

A_MOMENT_S = 0.001
ALL_DUE_S = PIECES * 1_000.0  # such an origin has had time for every piece


def a_source(stager: Stager, *held: int) -> PieceSource:
    source = PieceSource(stager=stager, count=PIECES)
    source.connected = source.tried = True
    source.held.add_all(held)
    return source


def a_choice(*sources: PieceSource) -> SourceChoice:
    choice = SourceChoice(own=OWN, number=1, seed=1, patience=SLOW)
    choice.look(sources, number=1, now_s=0.0)
    return choice


def read_by(stager: Stager) -> int:
    sharing = Sharing(number=1, stagers=[OWN, NEIGHBOUR, FAR])
    return next(index for index in range(PIECES) if sharing.origin_reader(index) == stager)


class TestSourceChoice:
    def test_takes_from_a_neighbour_what_it_holds(self):
        neighbour, far = a_source(NEIGHBOUR, 5), a_source(FAR, 5)
        assert a_choice(neighbour, far).source(5, 0.0) is neighbour

    def test_asks_nobody_who_owes_enough(self):
        neighbour = a_source(NEIGHBOUR, 5, 6)
        neighbour.ordered.update(range(10, 10 + PER_SOURCE))
        assert a_choice(neighbour, a_source(FAR, 5)).source(5, 0.0) is None

    def test_reads_its_own_pieces_from_the_origin(self):
        choice = a_choice(a_source(NEIGHBOUR), a_source(FAR))
        assert choice.source(read_by(OWN), 0.0) is Origin.ORIGIN
        assert choice.source(read_by(NEIGHBOUR), 0.0) is None

    def test_brings_in_what_another_one_should_have_brought(self):
        sharing = Sharing(number=1, stagers=[OWN, NEIGHBOUR, FAR])
        index = next(
            index
            for index in range(PIECES)
            if sharing.origin_reader(index) == FAR and sharing.importer(index, "a") == NEIGHBOUR
        )
        far = a_source(FAR, index)
        choice = a_choice(a_source(NEIGHBOUR), far)
        assert choice.source(index, 0.0) is None
        assert choice.source(index, LONGEST_IMPORT_S) is far

    def test_reads_what_another_one_should_have_read_once_its_own_part_is_read(self):
        choice = a_choice(a_source(NEIGHBOUR), a_source(FAR))
        index = read_by(NEIGHBOUR)
        choice.in_order([index, read_by(OWN)], 0.0)
        assert choice.source(index, 60.0) is None
        choice.in_order([index], 60.0)
        assert choice.source(index, 60.0) is None
        assert choice.source(index, 60.0 + 2 * LONGEST_READ_S + A_MOMENT_S) is Origin.ORIGIN

    def test_one_after_the_other_steps_in(self):
        stagers = [OWN, NEIGHBOUR, FAR]
        sharing = Sharing(number=1, stagers=stagers)
        for index in range(PIECES):
            places = {sharing.reader_place(index, stager) for stager in stagers}
            assert places == {0, 1, 2}
            assert sharing.reader_place(index, sharing.origin_reader(index)) == 0
            inside = {sharing.importer_place(index, stager) for stager in (OWN, NEIGHBOUR)}
            assert inside == {0, 1}
            assert sharing.importer_place(index, sharing.importer(index, "a")) == 0

    def test_asks_no_source_that_owes_us_something_and_hangs(self):
        neighbour, far = a_source(NEIGHBOUR, 5), a_source(FAR, 5)
        neighbour.order(7, 0.0)
        choice = SourceChoice(own=OWN, number=1, seed=1, patience=SLOW)
        choice.look([neighbour, far], number=1, now_s=HANGS_AFTER_S + 0.1)
        choice.source(5, HANGS_AFTER_S + 0.1)
        assert choice.source(5, HANGS_AFTER_S + LONGEST_IMPORT_S + 0.2) is far
        neighbour.note_slice(1.0, HANGS_AFTER_S + 0.1)
        assert neighbour.usable(HANGS_AFTER_S + 0.2)

    @pytest.mark.parametrize("outage_s", [1.0, 6.0, 60.0])
    def test_leaves_the_pieces_of_others_to_them_after_the_origin_was_away(self, outage_s):
        choice = a_choice(a_source(NEIGHBOUR), a_source(FAR))
        index = read_by(NEIGHBOUR)
        choice.in_order([index], 0.0)
        choice.origin_failed(outage_s)
        choice.in_order([index], outage_s)
        assert choice.source(index, outage_s + 0.9 * LONGEST_READ_S) is None
        assert choice.source(index, outage_s + 2 * LONGEST_READ_S + A_MOMENT_S) is Origin.ORIGIN

    def test_does_the_tasks_of_those_that_are_gone(self):
        index = read_by(NEIGHBOUR)
        choice = SourceChoice(own=OWN, number=1, seed=1, patience=SLOW)
        choice.look([], number=1, now_s=0.0)
        assert choice.source(index, 0.0) is Origin.ORIGIN

    def test_asks_first_for_what_neighbours_wait_for(self):
        held = [index for index in range(PIECES) if index % 2]
        order = a_choice(a_source(NEIGHBOUR, *held), a_source(FAR)).in_order(
            list(range(PIECES)), 0.0
        )
        assert sorted(order) == list(range(PIECES))
        assert set(order[PIECES // 2 :]) == set(held)
        assert Sharing(number=1, stagers=[OWN, NEIGHBOUR, FAR]).origin_reader(order[0]) == OWN

    def test_asks_an_origin_that_did_not_answer_again_after_a_pause(self):
        choice = a_choice(a_source(NEIGHBOUR), a_source(FAR))
        choice.origin_failed(1.0)
        assert choice.source(read_by(OWN), 1.0 + AWAY_S / 2) is None
        assert choice.source(read_by(OWN), 1.0 + AWAY_S) is Origin.ORIGIN

    def test_waits_for_others_no_longer_than_what_is_left_takes(self):
        quick = TaskPatience(
            piece_bytes=1_000, origin_bytes_per_s=lambda: 1e5, link_bytes_per_s=lambda: 1e5
        )
        choice = SourceChoice(own=OWN, number=1, seed=1, patience=quick)
        choice.look([a_source(NEIGHBOUR), a_source(FAR)], number=1, now_s=0.0)
        index = read_by(NEIGHBOUR)
        choice.in_order([index], 0.0)
        assert choice.source(index, 0.1) is None
        assert choice.source(index, 2 * quick.read_s(1)) is Origin.ORIGIN
        assert 2 * quick.read_s(1) < LONGEST_READ_S


class TestACutOffDomain:
    def test_is_taken_for_lost_with_those_that_are_not_followed(self):
        followed = [a_source(Stager(address=f"127.0.0.2:{n}", failure_domain="b")) for n in (1, 2)]
        unfollowed = [Stager(address=f"127.0.0.2:{n}", failure_domain="b") for n in (3, 4)]
        choice = SourceChoice(own=OWN, number=1, seed=1, patience=SLOW)
        choice.look(followed, number=1, now_s=0.0, others=unfollowed)
        waited = [index for index in range(PIECES) if choice.source(index, ALL_DUE_S) is None]
        assert waited
        followed[0].connected = False
        choice.look(followed, number=1, now_s=0.0, others=unfollowed)
        assert [index for index in waited if choice.source(index, ALL_DUE_S) is None]
        followed[1].connected = False
        choice.look(followed, number=1, now_s=0.0, others=unfollowed)
        assert all(choice.source(index, ALL_DUE_S) is Origin.ORIGIN for index in range(PIECES))


class TestTaskPatience:
    PATIENCE = TaskPatience(
        piece_bytes=24_576,
        origin_bytes_per_s=lambda: 912_500.0,
        link_bytes_per_s=lambda: 456_250.0,
    )

    def test_grows_with_what_is_left_up_to_a_bound(self):
        reads = [self.PATIENCE.read_s(unread) for unread in (1, 3, 9, 96)]
        imports = [self.PATIENCE.import_s(outside, 3) for outside in (1, 6, 30, 96)]
        assert reads == sorted(reads)
        assert imports == sorted(imports)
        assert reads[-1] == LONGEST_READ_S
        assert imports[-1] == LONGEST_IMPORT_S
        assert reads[0] < LONGEST_READ_S / 2
        assert imports[0] < LONGEST_IMPORT_S / 2

    def test_is_the_longest_where_the_origin_does_not_say_its_speed(self):
        unknown = TaskPatience(
            piece_bytes=24_576, origin_bytes_per_s=lambda: 0.0, link_bytes_per_s=lambda: 1.0
        )
        assert unknown.read_s(1) == LONGEST_READ_S


class TestOriginAway:
    def test_blocks_a_version_of_which_nobody_holds_some_pieces(self):
        choice = a_choice(a_source(NEIGHBOUR, 5))
        assert not choice.blocked([5, 6], 1.0)
        choice.origin_failed(1.0)
        assert choice.blocked([5, 6], 1.1)
        assert not choice.blocked([5], 1.1)

    def test_no_more_once_it_answers_or_was_not_asked_for_long(self):
        choice = a_choice(a_source(NEIGHBOUR))
        choice.origin_failed(1.0)
        assert not choice.blocked([6], 1.1 + FAILED_RECENTLY_S)
        choice.origin_answered(1.2)
        assert not choice.blocked([6], 1.1)

    def test_a_slow_holder_is_left_where_another_one_or_the_origin_has_the_piece(self):
        slow, other = a_source(NEIGHBOUR, 5), a_source(FAR, 5)
        alone = a_choice(slow)
        assert alone.elsewhere(5, slow, 1.0)
        alone.origin_failed(1.0)
        assert not alone.elsewhere(5, slow, 1.1)
        assert a_choice(slow, other).elsewhere(5, slow, 1.0)
