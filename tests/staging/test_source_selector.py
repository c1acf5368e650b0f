"""Tests of whom a stager asks for a piece."""

from __future__ import annotations

import pytest

from leadhollow.staging.piece_assignment import PieceAssignment, Stager
from leadhollow.staging.piece_source import SILENT_AFTER_S, PieceSource
from leadhollow.staging.source_selector import (
    MAX_REQUESTS_PER_SOURCE,
    ORIGIN_FAILURE_VALID_S,
    ORIGIN_RETRY_S,
    Origin,
    SourceSelector,
)
from leadhollow.staging.takeover_delays import MAX_IMPORT_DELAY_S, MAX_READ_DELAY_S, TakeoverDelays

PIECES = 24
OWN = Stager(address="127.0.0.1:1", failure_domain="a")
NEIGHBOUR = Stager(address="127.0.0.1:2", failure_domain="a")
FAR = Stager(address="127.0.0.1:3", failure_domain="b")

SLOW = TakeoverDelays(
    piece_bytes=1_000, origin_bytes_per_s=lambda: 1.0, link_bytes_per_s=lambda: 1.0
)
"""Links on which even one piece takes longer than anybody is waited for."""

A_MOMENT_S = 0.001
ALL_DUE_S = PIECES * 1_000.0  # such an origin has had time for every piece


def a_source(stager: Stager, *held: int) -> PieceSource:
    source = PieceSource(stager=stager, count=PIECES)
    source.connected = source.contacted = True
    source.held.add_all(held)
    return source


def a_choice(*sources: PieceSource) -> SourceSelector:
    choice = SourceSelector(own=OWN, number=1, seed=1, delays=SLOW)
    choice.update(sources, number=1, now_s=0.0)
    return choice


def read_by(stager: Stager) -> int:
    sharing = PieceAssignment(number=1, stagers=[OWN, NEIGHBOUR, FAR])
    return next(index for index in range(PIECES) if sharing.origin_reader(index) == stager)


class TestSourceChoice:
    def test_takes_from_a_neighbour_what_it_holds(self):
        neighbour, far = a_source(NEIGHBOUR, 5), a_source(FAR, 5)
        assert a_choice(neighbour, far).choose(5, 0.0) is neighbour

    def test_asks_nobody_who_owes_enough(self):
        neighbour = a_source(NEIGHBOUR, 5, 6)
        neighbour.requested.update(range(10, 10 + MAX_REQUESTS_PER_SOURCE))
        assert a_choice(neighbour, a_source(FAR, 5)).choose(5, 0.0) is None

    def test_reads_its_own_pieces_from_the_origin(self):
        choice = a_choice(a_source(NEIGHBOUR), a_source(FAR))
        assert choice.choose(read_by(OWN), 0.0) is Origin.ORIGIN
        assert choice.choose(read_by(NEIGHBOUR), 0.0) is None

    def test_brings_in_what_another_one_should_have_brought(self):
        sharing = PieceAssignment(number=1, stagers=[OWN, NEIGHBOUR, FAR])
        index = next(
            index
            for index in range(PIECES)
            if sharing.origin_reader(index) == FAR and sharing.importer(index, "a") == NEIGHBOUR
        )
        far = a_source(FAR, index)
        choice = a_choice(a_source(NEIGHBOUR), far)
        assert choice.choose(index, 0.0) is None
        assert choice.choose(index, MAX_IMPORT_DELAY_S) is far

    def test_reads_what_another_one_should_have_read_once_its_own_part_is_read(self):
        choice = a_choice(a_source(NEIGHBOUR), a_source(FAR))
        index = read_by(NEIGHBOUR)
        choice.prioritise([index, read_by(OWN)], 0.0)
        assert choice.choose(index, 60.0) is None
        choice.prioritise([index], 60.0)
        assert choice.choose(index, 60.0) is None
        assert choice.choose(index, 60.0 + 2 * MAX_READ_DELAY_S + A_MOMENT_S) is Origin.ORIGIN

    def test_one_after_the_other_steps_in(self):
        stagers = [OWN, NEIGHBOUR, FAR]
        sharing = PieceAssignment(number=1, stagers=stagers)
        for index in range(PIECES):
            places = {sharing.reader_rank(index, stager) for stager in stagers}
            assert places == {0, 1, 2}
            assert sharing.reader_rank(index, sharing.origin_reader(index)) == 0
            inside = {sharing.importer_rank(index, stager) for stager in (OWN, NEIGHBOUR)}
            assert inside == {0, 1}
            assert sharing.importer_rank(index, sharing.importer(index, "a")) == 0

    def test_asks_no_source_that_owes_us_something_and_hangs(self):
        neighbour, far = a_source(NEIGHBOUR, 5), a_source(FAR, 5)
        neighbour.record_request(7, 0.0)
        choice = SourceSelector(own=OWN, number=1, seed=1, delays=SLOW)
        choice.update([neighbour, far], number=1, now_s=SILENT_AFTER_S + 0.1)
        choice.choose(5, SILENT_AFTER_S + 0.1)
        assert choice.choose(5, SILENT_AFTER_S + MAX_IMPORT_DELAY_S + 0.2) is far
        neighbour.record_slice(1.0, SILENT_AFTER_S + 0.1)
        assert neighbour.is_usable(SILENT_AFTER_S + 0.2)

    @pytest.mark.parametrize("outage_s", [1.0, 6.0, 60.0])
    def test_leaves_the_pieces_of_others_to_them_after_the_origin_was_away(self, outage_s):
        choice = a_choice(a_source(NEIGHBOUR), a_source(FAR))
        index = read_by(NEIGHBOUR)
        choice.prioritise([index], 0.0)
        choice.record_origin_failure(outage_s)
        choice.prioritise([index], outage_s)
        assert choice.choose(index, outage_s + 0.9 * MAX_READ_DELAY_S) is None
        assert choice.choose(index, outage_s + 2 * MAX_READ_DELAY_S + A_MOMENT_S) is Origin.ORIGIN

    def test_does_the_tasks_of_those_that_are_gone(self):
        index = read_by(NEIGHBOUR)
        choice = SourceSelector(own=OWN, number=1, seed=1, delays=SLOW)
        choice.update([], number=1, now_s=0.0)
        assert choice.choose(index, 0.0) is Origin.ORIGIN

    def test_asks_first_for_what_neighbours_wait_for(self):
        held = [index for index in range(PIECES) if index % 2]
        order = a_choice(a_source(NEIGHBOUR, *held), a_source(FAR)).prioritise(
            list(range(PIECES)), 0.0
        )
        assert sorted(order) == list(range(PIECES))
        assert set(order[PIECES // 2 :]) == set(held)
        assert (
            PieceAssignment(number=1, stagers=[OWN, NEIGHBOUR, FAR]).origin_reader(order[0]) == OWN
        )

    def test_asks_an_origin_that_did_not_answer_again_after_a_pause(self):
        choice = a_choice(a_source(NEIGHBOUR), a_source(FAR))
        choice.record_origin_failure(1.0)
        assert choice.choose(read_by(OWN), 1.0 + ORIGIN_RETRY_S / 2) is None
        assert choice.choose(read_by(OWN), 1.0 + ORIGIN_RETRY_S) is Origin.ORIGIN

    def test_waits_for_others_no_longer_than_what_is_left_takes(self):
        quick = TakeoverDelays(
            piece_bytes=1_000, origin_bytes_per_s=lambda: 1e5, link_bytes_per_s=lambda: 1e5
        )
        choice = SourceSelector(own=OWN, number=1, seed=1, delays=quick)
        choice.update([a_source(NEIGHBOUR), a_source(FAR)], number=1, now_s=0.0)
        index = read_by(NEIGHBOUR)
        choice.prioritise([index], 0.0)
        assert choice.choose(index, 0.1) is None
        assert choice.choose(index, 2 * quick.read_delay_s(1)) is Origin.ORIGIN
        assert 2 * quick.read_delay_s(1) < MAX_READ_DELAY_S


class TestACutOffDomain:
    def test_is_taken_for_lost_with_those_that_are_not_followed(self):
        followed = [a_source(Stager(address=f"127.0.0.2:{n}", failure_domain="b")) for n in (1, 2)]
        unfollowed = [Stager(address=f"127.0.0.2:{n}", failure_domain="b") for n in (3, 4)]
        choice = SourceSelector(own=OWN, number=1, seed=1, delays=SLOW)
        choice.update(followed, number=1, now_s=0.0, unfollowed=unfollowed)
        waited = [index for index in range(PIECES) if choice.choose(index, ALL_DUE_S) is None]
        assert waited
        followed[0].connected = False
        choice.update(followed, number=1, now_s=0.0, unfollowed=unfollowed)
        assert [index for index in waited if choice.choose(index, ALL_DUE_S) is None]
        followed[1].connected = False
        choice.update(followed, number=1, now_s=0.0, unfollowed=unfollowed)
        assert all(choice.choose(index, ALL_DUE_S) is Origin.ORIGIN for index in range(PIECES))


class TestTaskPatience:
    PATIENCE = TakeoverDelays(
        piece_bytes=24_576,
        origin_bytes_per_s=lambda: 912_500.0,
        link_bytes_per_s=lambda: 456_250.0,
    )

    def test_grows_with_what_is_left_up_to_a_bound(self):
        reads = [self.PATIENCE.read_delay_s(unread) for unread in (1, 3, 9, 96)]
        imports = [self.PATIENCE.import_delay_s(outside, 3) for outside in (1, 6, 30, 96)]
        assert reads == sorted(reads)
        assert imports == sorted(imports)
        assert reads[-1] == MAX_READ_DELAY_S
        assert imports[-1] == MAX_IMPORT_DELAY_S
        assert reads[0] < MAX_READ_DELAY_S / 2
        assert imports[0] < MAX_IMPORT_DELAY_S / 2

    def test_is_the_longest_where_the_origin_does_not_say_its_speed(self):
        unknown = TakeoverDelays(
            piece_bytes=24_576, origin_bytes_per_s=lambda: 0.0, link_bytes_per_s=lambda: 1.0
        )
        assert unknown.read_delay_s(1) == MAX_READ_DELAY_S


class TestOriginAway:
    def test_blocks_a_version_of_which_nobody_holds_some_pieces(self):
        choice = a_choice(a_source(NEIGHBOUR, 5))
        assert not choice.blocked([5, 6], 1.0)
        choice.record_origin_failure(1.0)
        assert choice.blocked([5, 6], 1.1)
        assert not choice.blocked([5], 1.1)

    def test_no_more_once_it_answers_or_was_not_asked_for_long(self):
        choice = a_choice(a_source(NEIGHBOUR))
        choice.record_origin_failure(1.0)
        assert not choice.blocked([6], 1.1 + ORIGIN_FAILURE_VALID_S)
        choice.record_origin_success(1.2)
        assert not choice.blocked([6], 1.1)

    def test_a_slow_holder_is_left_where_another_one_or_the_origin_has_the_piece(self):
        slow, other = a_source(NEIGHBOUR, 5), a_source(FAR, 5)
        alone = a_choice(slow)
        assert alone.available_elsewhere(5, slow, 1.0)
        alone.record_origin_failure(1.0)
        assert not alone.available_elsewhere(5, slow, 1.1)
        assert a_choice(slow, other).available_elsewhere(5, slow, 1.0)
