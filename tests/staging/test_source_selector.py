"""Tests of the selection of sources and of the takeover delays."""

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
LOCAL = Stager(address="127.0.0.1:2", failure_domain="a")
REMOTE = Stager(address="127.0.0.1:3", failure_domain="b")

SLOW_DELAYS = TakeoverDelays(
    piece_bytes=1_000, origin_bytes_per_s=lambda: 1.0, link_bytes_per_s=lambda: 1.0
)
"""Delays for links so slow that a single piece takes longer than the maximum delay."""

EPSILON_S = 0.001
ALL_DUE_S = PIECES * 1_000.0  # by then every piece of such an origin is due


def make_source(stager: Stager, *held: int) -> PieceSource:
    source = PieceSource(stager=stager, count=PIECES)
    source.connected = source.contacted = True
    source.held.add_all(held)
    return source


def make_selector(*sources: PieceSource) -> SourceSelector:
    selector = SourceSelector(own=OWN, number=1, seed=1, delays=SLOW_DELAYS)
    selector.update(sources, number=1, now_s=0.0)
    return selector


def piece_read_by(stager: Stager) -> int:
    assignment = PieceAssignment(number=1, stagers=[OWN, LOCAL, REMOTE])
    return next(index for index in range(PIECES) if assignment.origin_reader(index) == stager)


class TestSourceSelector:
    def test_prefers_a_local_holder_to_a_remote_one(self):
        local, remote = make_source(LOCAL, 5), make_source(REMOTE, 5)
        assert make_selector(local, remote).choose(5, 0.0) is local

    def test_waits_for_a_local_holder_with_the_maximum_of_pending_requests(self):
        local = make_source(LOCAL, 5, 6)
        local.requested.update(range(10, 10 + MAX_REQUESTS_PER_SOURCE))
        assert make_selector(local, make_source(REMOTE, 5)).choose(5, 0.0) is None

    def test_reads_only_its_own_pieces_from_the_origin(self):
        selector = make_selector(make_source(LOCAL), make_source(REMOTE))
        assert selector.choose(piece_read_by(OWN), 0.0) is Origin.ORIGIN
        assert selector.choose(piece_read_by(LOCAL), 0.0) is None

    def test_imports_a_piece_after_the_assigned_importer_did_not(self):
        assignment = PieceAssignment(number=1, stagers=[OWN, LOCAL, REMOTE])
        index = next(
            index
            for index in range(PIECES)
            if assignment.origin_reader(index) == REMOTE
            and assignment.importer(index, "a") == LOCAL
        )
        remote = make_source(REMOTE, index)
        selector = make_selector(make_source(LOCAL), remote)
        assert selector.choose(index, 0.0) is None
        assert selector.choose(index, MAX_IMPORT_DELAY_S) is remote

    def test_takes_over_the_read_of_another_stager_after_its_own_pieces_are_read(self):
        selector = make_selector(make_source(LOCAL), make_source(REMOTE))
        index = piece_read_by(LOCAL)
        selector.prioritise([index, piece_read_by(OWN)], 0.0)
        assert selector.choose(index, 60.0) is None
        selector.prioritise([index], 60.0)
        assert selector.choose(index, 60.0) is None
        assert selector.choose(index, 60.0 + 2 * MAX_READ_DELAY_S + EPSILON_S) is Origin.ORIGIN

    def test_stagers_take_over_one_after_the_other(self):
        stagers = [OWN, LOCAL, REMOTE]
        assignment = PieceAssignment(number=1, stagers=stagers)
        for index in range(PIECES):
            ranks = {assignment.reader_rank(index, stager) for stager in stagers}
            assert ranks == {0, 1, 2}
            assert assignment.reader_rank(index, assignment.origin_reader(index)) == 0
            import_ranks = {assignment.importer_rank(index, stager) for stager in (OWN, LOCAL)}
            assert import_ranks == {0, 1}
            assert assignment.importer_rank(index, assignment.importer(index, "a")) == 0

    def test_does_not_use_a_source_that_is_silent_with_pending_requests(self):
        local, remote = make_source(LOCAL, 5), make_source(REMOTE, 5)
        local.record_request(7, 0.0)
        selector = SourceSelector(own=OWN, number=1, seed=1, delays=SLOW_DELAYS)
        selector.update([local, remote], number=1, now_s=SILENT_AFTER_S + 0.1)
        selector.choose(5, SILENT_AFTER_S + 0.1)
        assert selector.choose(5, SILENT_AFTER_S + MAX_IMPORT_DELAY_S + 0.2) is remote
        local.record_slice(1.0, SILENT_AFTER_S + 0.1)
        assert local.is_usable(SILENT_AFTER_S + 0.2)

    @pytest.mark.parametrize("outage_s", [1.0, 6.0, 60.0])
    def test_restarts_the_takeover_delay_after_the_origin_was_unavailable(self, outage_s):
        selector = make_selector(make_source(LOCAL), make_source(REMOTE))
        index = piece_read_by(LOCAL)
        selector.prioritise([index], 0.0)
        selector.record_origin_failure(outage_s)
        selector.prioritise([index], outage_s)
        assert selector.choose(index, outage_s + 0.9 * MAX_READ_DELAY_S) is None
        assert selector.choose(index, outage_s + 2 * MAX_READ_DELAY_S + EPSILON_S) is Origin.ORIGIN

    def test_reads_the_pieces_of_stagers_that_are_gone(self):
        index = piece_read_by(LOCAL)
        selector = SourceSelector(own=OWN, number=1, seed=1, delays=SLOW_DELAYS)
        selector.update([], number=1, now_s=0.0)
        assert selector.choose(index, 0.0) is Origin.ORIGIN

    def test_requests_first_what_local_stagers_wait_for(self):
        held = [index for index in range(PIECES) if index % 2]
        order = make_selector(make_source(LOCAL, *held), make_source(REMOTE)).prioritise(
            list(range(PIECES)), 0.0
        )
        assert sorted(order) == list(range(PIECES))
        assert set(order[PIECES // 2 :]) == set(held)
        assert (
            PieceAssignment(number=1, stagers=[OWN, LOCAL, REMOTE]).origin_reader(order[0]) == OWN
        )

    def test_retries_the_origin_after_a_pause(self):
        selector = make_selector(make_source(LOCAL), make_source(REMOTE))
        selector.record_origin_failure(1.0)
        assert selector.choose(piece_read_by(OWN), 1.0 + ORIGIN_RETRY_S / 2) is None
        assert selector.choose(piece_read_by(OWN), 1.0 + ORIGIN_RETRY_S) is Origin.ORIGIN

    def test_takeover_delay_shrinks_with_the_pieces_that_are_left(self):
        fast_delays = TakeoverDelays(
            piece_bytes=1_000, origin_bytes_per_s=lambda: 1e5, link_bytes_per_s=lambda: 1e5
        )
        selector = SourceSelector(own=OWN, number=1, seed=1, delays=fast_delays)
        selector.update([make_source(LOCAL), make_source(REMOTE)], number=1, now_s=0.0)
        index = piece_read_by(LOCAL)
        selector.prioritise([index], 0.0)
        assert selector.choose(index, 0.1) is None
        assert selector.choose(index, 2 * fast_delays.read_delay_s(1)) is Origin.ORIGIN
        assert 2 * fast_delays.read_delay_s(1) < MAX_READ_DELAY_S


class TestCutOffDomain:
    def test_counts_as_unreachable_with_its_unfollowed_stagers(self):
        followed = [
            make_source(Stager(address=f"127.0.0.2:{n}", failure_domain="b")) for n in (1, 2)
        ]
        unfollowed = [Stager(address=f"127.0.0.2:{n}", failure_domain="b") for n in (3, 4)]
        selector = SourceSelector(own=OWN, number=1, seed=1, delays=SLOW_DELAYS)
        selector.update(followed, number=1, now_s=0.0, unfollowed=unfollowed)
        waiting = [index for index in range(PIECES) if selector.choose(index, ALL_DUE_S) is None]
        assert waiting
        followed[0].connected = False
        selector.update(followed, number=1, now_s=0.0, unfollowed=unfollowed)
        assert [index for index in waiting if selector.choose(index, ALL_DUE_S) is None]
        followed[1].connected = False
        selector.update(followed, number=1, now_s=0.0, unfollowed=unfollowed)
        assert all(selector.choose(index, ALL_DUE_S) is Origin.ORIGIN for index in range(PIECES))


class TestTakeoverDelays:
    DELAYS = TakeoverDelays(
        piece_bytes=24_576,
        origin_bytes_per_s=lambda: 912_500.0,
        link_bytes_per_s=lambda: 456_250.0,
    )

    def test_grow_with_the_pieces_that_are_left_up_to_a_maximum(self):
        read_delays = [self.DELAYS.read_delay_s(unread) for unread in (1, 3, 9, 96)]
        import_delays = [
            self.DELAYS.import_delay_s(remote_count, 3) for remote_count in (1, 6, 30, 96)
        ]
        assert read_delays == sorted(read_delays)
        assert import_delays == sorted(import_delays)
        assert read_delays[-1] == MAX_READ_DELAY_S
        assert import_delays[-1] == MAX_IMPORT_DELAY_S
        assert read_delays[0] < MAX_READ_DELAY_S / 2
        assert import_delays[0] < MAX_IMPORT_DELAY_S / 2

    def test_are_the_maximum_if_the_speed_of_the_origin_is_unknown(self):
        unknown_speed = TakeoverDelays(
            piece_bytes=24_576, origin_bytes_per_s=lambda: 0.0, link_bytes_per_s=lambda: 1.0
        )
        assert unknown_speed.read_delay_s(1) == MAX_READ_DELAY_S


class TestOriginUnavailable:
    def test_blocks_a_version_if_nobody_holds_some_of_its_pieces(self):
        selector = make_selector(make_source(LOCAL, 5))
        assert not selector.blocked([5, 6], 1.0)
        selector.record_origin_failure(1.0)
        assert selector.blocked([5, 6], 1.1)
        assert not selector.blocked([5], 1.1)

    def test_does_not_block_after_it_answered_or_the_failure_is_old(self):
        selector = make_selector(make_source(LOCAL))
        selector.record_origin_failure(1.0)
        assert not selector.blocked([6], 1.1 + ORIGIN_FAILURE_VALID_S)
        selector.record_origin_success(1.2)
        assert not selector.blocked([6], 1.1)

    def test_a_piece_is_available_elsewhere_from_another_holder_or_the_origin(self):
        slow, other = make_source(LOCAL, 5), make_source(REMOTE, 5)
        selector = make_selector(slow)
        assert selector.available_elsewhere(5, slow, 1.0)
        selector.record_origin_failure(1.0)
        assert not selector.available_elsewhere(5, slow, 1.1)
        assert make_selector(slow, other).available_elsewhere(5, slow, 1.0)
