"""Pieces among a hundred stagers of five failure domains: whom each follows, and who reads what."""

from __future__ import annotations

from collections import Counter

import pytest

from leadhollow.staging.announcements import (
    MAX_ANNOUNCEMENTS_PER_S,
    MIN_ANNOUNCE_INTERVAL_S,
    announce_interval_s,
)
from leadhollow.staging.piece_assignment import SUCCESSOR_COUNT, PieceAssignment, Stager
from tests.staging.swarm import play

VERSION_PIECES = 96
DOMAINS = 5
SIZES = (31, 102, 302)
MOST_FOLLOWED_OUTSIDE = 24


def stagers(count: int) -> list[Stager]:
    return [
        Stager(
            address=f"10.0.{number % DOMAINS}.{number // DOMAINS}:7000",
            failure_domain=f"d{number % DOMAINS}",
        )
        for number in range(count)
    ]


def followed(sharing: PieceAssignment, own: Stager, *, places: int = 1) -> set[str]:
    return sharing.stagers_to_follow(own, piece_count=VERSION_PIECES, max_rank=places)


class TestFollowed:
    @pytest.mark.parametrize("count", SIZES)
    def test_are_few_outside_the_own_domain_however_many_there_are(self, count):
        everybody = stagers(count)
        sharing = PieceAssignment(number=3, stagers=everybody)
        most = max(len(followed(sharing, own)) for own in everybody)
        assert most <= (MOST_FOLLOWED_OUTSIDE if count >= 100 else count)

    @pytest.mark.parametrize("count", SIZES)
    def test_hold_what_one_is_to_bring_in(self, count):
        everybody = stagers(count)
        sharing = PieceAssignment(number=3, stagers=everybody)
        for own in everybody:
            known = followed(sharing, own)
            for index in range(VERSION_PIECES):
                reader = sharing.origin_reader(index)
                if reader.failure_domain != own.failure_domain:
                    assert sharing.importer_rank(index, own) > 1 or reader.address in known

    def test_grow_with_the_places_that_have_had_their_turn(self):
        everybody = stagers(102)
        sharing = PieceAssignment(number=3, stagers=everybody)
        sizes = [len(followed(sharing, everybody[0], places=places)) for places in (1, 4, 20)]
        assert sizes == sorted(sizes)
        assert sizes[-1] > sizes[0]

    def test_in_a_small_fleet_are_all(self):
        everybody = stagers(10)
        sharing = PieceAssignment(number=3, stagers=everybody)
        own = everybody[0]
        outside = {one.address for one in everybody if one.failure_domain != own.failure_domain}
        assert followed(sharing, own) == outside


class TestALostStager:
    @pytest.mark.parametrize("count", SIZES)
    def test_is_followed_by_all_who_read_its_pieces(self, count):
        everybody = stagers(count)
        whole = PieceAssignment(number=3, stagers=everybody)
        for lost in everybody[:20]:
            without = PieceAssignment(number=3, stagers=everybody, unreachable={lost.address})
            for index in range(VERSION_PIECES):
                if whole.origin_reader(index) != lost:
                    assert without.origin_reader(index) == whole.origin_reader(index)
                    continue
                heir = without.origin_reader(index)
                assert heir != lost
                near = heir.failure_domain == lost.failure_domain
                assert near or lost.address in followed(whole, heir)

    def test_leaves_its_pieces_to_several_in_a_small_fleet(self):
        everybody = stagers(6)
        sharing = PieceAssignment(number=3, stagers=everybody, unreachable={everybody[0].address})
        reads = Counter(sharing.origin_reader(index).address for index in range(VERSION_PIECES))
        assert everybody[0].address not in reads
        assert max(reads.values()) <= VERSION_PIECES / 6 * (1 + 1 / SUCCESSOR_COUNT) + 1

    @pytest.mark.parametrize("count", [6, 31, 102])
    def test_leaves_one_place_to_each_of_the_others(self, count):
        everybody = stagers(count)
        lost = {stager.address for stager in everybody[::5]}
        rest = [stager for stager in everybody if stager.address not in lost]
        sharing = PieceAssignment(number=3, stagers=everybody, unreachable=lost)
        for index in range(VERSION_PIECES):
            places = [sharing.reader_rank(index, stager) for stager in rest]
            assert sorted(places) == list(range(len(rest)))
            assert sharing.reader_rank(index, sharing.origin_reader(index)) == 0


class TestAWholeFleet:
    """Thirty stagers in virtual time: on real sockets a starved process makes all step in."""

    def test_reads_each_piece_once_and_tells_it_to_few(self):
        pieces, nodes = 8, 30
        swarm = play(
            seed=0,
            domains=DOMAINS,
            per_domain=nodes // DOMAINS,
            pieces=pieces,
            origin_says_speed=False,
        )
        assert all(node.staged.complete for node in swarm.nodes.values())
        assert sorted(set(swarm.origin.asked)) == list(range(pieces))
        assert swarm.origin.sent <= 2 * pieces  # others may step in for one that is slow
        assert swarm.watched < nodes * (nodes - 1) / 2


class TestNews:
    def test_in_a_small_fleet_are_told_at_once(self):
        assert announce_interval_s(9) == MIN_ANNOUNCE_INTERVAL_S

    @pytest.mark.parametrize("watchers", [16, 44, 101, 300])
    def test_cost_a_stager_no_more_the_more_follow_it(self, watchers):
        assert watchers / announce_interval_s(watchers) <= MAX_ANNOUNCEMENTS_PER_S
