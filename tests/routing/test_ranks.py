"""Tests of the ranks that the requests for a service may have."""

from __future__ import annotations

from leadhollow.routing.model import Organisation, Target
from leadhollow.routing.ranks import Rank, ServiceRanks, rank_of
from tests.routing.test_tables import route


def ranks_of(*groups: Organisation, keyed: bool = True) -> tuple[Rank, ...]:
    """Return the ranks for a service with routes of ranks 0 and 2, and a public one of rank 4."""
    ranks = ServiceRanks()
    for priority in (0, 2, 4):
        ranks.add_route(route(priority=priority, public=priority == 4))
    ranks.add_route(route(priority=7, targets=(Target(service="t", weight=1.0),)))
    for group in groups:
        ranks.add_group(group)
    return ranks.of("s", keyed=keyed)


def group(priority: int | None) -> Organisation:
    return Organisation(name="g", key_sha256s=(), priority=priority)


class TestRankOf:
    def test_priority_of_a_group_takes_precedence(self):
        assert rank_of(route(priority=0), group(1)) > rank_of(route(priority=2), group(0))

    def test_priority_of_the_route_decides_among_groups_of_the_same_priority(self):
        assert rank_of(route(priority=0), group(1)) < rank_of(route(priority=2), group(1))

    def test_priority_of_the_route_counts_without_a_group(self):
        assert rank_of(route(priority=2), None) == rank_of(route(priority=2), group(None)) == (2, 2)


class TestServiceRanks:
    def test_routes_count_for_groups_without_a_priority(self):
        assert ranks_of(group(None)) == ((0, 0), (2, 2), (4, 4))

    def test_routes_count_within_groups_that_have_a_priority(self):
        assert ranks_of(group(1), group(1)) == ((1, 0), (1, 2), (4, 4))
        assert ranks_of(group(None), group(1)) == ((0, 0), (1, 0), (1, 2), (2, 2), (4, 4))

    def test_every_route_counts_if_no_key_is_needed(self):
        assert ranks_of(keyed=False) == ((0, 0), (2, 2), (4, 4))

    def test_a_service_without_routes_has_no_ranks(self):
        assert ServiceRanks().of("s", keyed=True) == ()

    def test_the_ranks_of_a_service_include_that_of_each_request(self):
        groups = (group(None), group(0), group(3))
        for priority in (0, 2):
            for each in groups:
                assert rank_of(route(priority=priority), each) in ranks_of(*groups)
