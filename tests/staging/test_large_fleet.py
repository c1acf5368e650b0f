"""Tests of piece assignment and announcements in fleets of up to 302 stagers."""

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
MAX_FOLLOWED_REMOTE = 24


def stagers(count: int) -> list[Stager]:
    return [
        Stager(
            address=f"10.0.{number % DOMAINS}.{number // DOMAINS}:7000",
            failure_domain=f"d{number % DOMAINS}",
        )
        for number in range(count)
    ]


def followed_by(assignment: PieceAssignment, own: Stager, *, max_rank: int = 1) -> set[str]:
    return assignment.stagers_to_follow(own, piece_count=VERSION_PIECES, max_rank=max_rank)


class TestStagersToFollow:
    @pytest.mark.parametrize("count", SIZES)
    def test_remote_ones_are_few_at_any_fleet_size(self, count):
        all_stagers = stagers(count)
        assignment = PieceAssignment(number=3, stagers=all_stagers)
        max_followed = max(len(followed_by(assignment, own)) for own in all_stagers)
        assert max_followed <= (MAX_FOLLOWED_REMOTE if count >= 100 else count)

    @pytest.mark.parametrize("count", SIZES)
    def test_include_the_readers_of_pieces_to_import(self, count):
        all_stagers = stagers(count)
        assignment = PieceAssignment(number=3, stagers=all_stagers)
        for own in all_stagers:
            known = followed_by(assignment, own)
            for index in range(VERSION_PIECES):
                reader = assignment.origin_reader(index)
                if reader.failure_domain != own.failure_domain:
                    assert assignment.importer_rank(index, own) > 1 or reader.address in known

    def test_grow_with_the_importer_rank(self):
        all_stagers = stagers(102)
        assignment = PieceAssignment(number=3, stagers=all_stagers)
        sizes = [
            len(followed_by(assignment, all_stagers[0], max_rank=max_rank))
            for max_rank in (1, 4, 20)
        ]
        assert sizes == sorted(sizes)
        assert sizes[-1] > sizes[0]

    def test_are_all_remote_stagers_in_a_small_fleet(self):
        all_stagers = stagers(10)
        assignment = PieceAssignment(number=3, stagers=all_stagers)
        own = all_stagers[0]
        remote_addresses = {
            other.address for other in all_stagers if other.failure_domain != own.failure_domain
        }
        assert followed_by(assignment, own) == remote_addresses


class TestUnreachableStager:
    @pytest.mark.parametrize("count", SIZES)
    def test_is_followed_by_all_successors_that_read_its_pieces(self, count):
        all_stagers = stagers(count)
        full_assignment = PieceAssignment(number=3, stagers=all_stagers)
        for lost in all_stagers[:20]:
            reduced_assignment = PieceAssignment(
                number=3, stagers=all_stagers, unreachable={lost.address}
            )
            for index in range(VERSION_PIECES):
                if full_assignment.origin_reader(index) != lost:
                    assert reduced_assignment.origin_reader(index) == full_assignment.origin_reader(
                        index
                    )
                    continue
                successor = reduced_assignment.origin_reader(index)
                assert successor != lost
                local = successor.failure_domain == lost.failure_domain
                assert local or lost.address in followed_by(full_assignment, successor)

    def test_has_several_successors_in_a_small_fleet(self):
        all_stagers = stagers(6)
        assignment = PieceAssignment(
            number=3, stagers=all_stagers, unreachable={all_stagers[0].address}
        )
        reads = Counter(assignment.origin_reader(index).address for index in range(VERSION_PIECES))
        assert all_stagers[0].address not in reads
        assert max(reads.values()) <= VERSION_PIECES / 6 * (1 + 1 / SUCCESSOR_COUNT) + 1

    @pytest.mark.parametrize("count", [6, 31, 102])
    def test_reader_ranks_of_the_others_are_distinct(self, count):
        all_stagers = stagers(count)
        lost = {stager.address for stager in all_stagers[::5]}
        others = [stager for stager in all_stagers if stager.address not in lost]
        assignment = PieceAssignment(number=3, stagers=all_stagers, unreachable=lost)
        for index in range(VERSION_PIECES):
            ranks = [assignment.reader_rank(index, stager) for stager in others]
            assert sorted(ranks) == list(range(len(others)))
            assert assignment.reader_rank(index, assignment.origin_reader(index)) == 0


class TestWholeFleet:
    """Thirty stagers in virtual time; on real sockets a starved process causes takeovers by all."""

    def test_reads_each_piece_about_once_and_follows_few_stagers(self):
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
        assert swarm.origin.sent <= 2 * pieces  # others may take over from a slow stager
        assert swarm.follow_streams < nodes * (nodes - 1) / 2


class TestAnnounceInterval:
    def test_is_the_minimum_in_a_small_fleet(self):
        assert announce_interval_s(9) == MIN_ANNOUNCE_INTERVAL_S

    @pytest.mark.parametrize("watchers", [16, 44, 101, 300])
    def test_bounds_the_announcements_of_a_stager_for_any_number_of_followers(self, watchers):
        assert watchers / announce_interval_s(watchers) <= MAX_ANNOUNCEMENTS_PER_S
