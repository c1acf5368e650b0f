"""Tests of the fetch of a version by 15 stagers of three failure domains, in virtual time."""

from __future__ import annotations

import pytest

from tests.staging.swarm import (
    ORIGIN_BYTES_PER_S,
    PIECE_BYTES,
    PIECES,
    STAGER_BYTES_PER_S,
    Swarm,
    play,
)

PER_DOMAIN = 5
LINK_S = PIECES * PIECE_BYTES / STAGER_BYTES_PER_S  # time of one stager's link for all pieces


@pytest.fixture(scope="module")
def fast_swarm() -> Swarm:
    return play(seed=0, per_domain=PER_DOMAIN)


class TestAddedEngines:
    # Guards against: engines that are added under load leave a part of their link to no requests.
    def test_fetch_at_the_speed_of_their_link_while_they_serve_nothing(self):
        swarm = play(seed=0, per_domain=4, holders=8, serving=False)
        assert swarm.complete_s()[-1] <= 1.05 * LINK_S
        assert swarm.origin.sent == 0


class TestHurriedVersion:
    """Pieces that go before requests, because four groups would not fit otherwise."""

    # Guards against: one narrow link delays the version at all engines.
    def test_completes_near_the_time_of_one_link_beside_a_squeezed_one(self):
        swarm = play(seed=1, per_domain=PER_DOMAIN, squeezed=1, urgent=True)
        assert swarm.complete_s()[-2] <= 1.5 * LINK_S

    # Guards against: after an outage of the origin the rest of the pieces is read one by one.
    def test_completes_soon_after_the_origin_has_returned(self):
        swarm = play(seed=0, per_domain=PER_DOMAIN, away_s=(2.4, 8.4), urgent=True)
        rest = 1 - 2.4 * ORIGIN_BYTES_PER_S / (PIECES * PIECE_BYTES)
        assert swarm.complete_s()[-1] - 8.4 <= 1.5 * (rest + 0.1) * LINK_S
        assert swarm.origin.sent <= 1.2 * PIECES


class TestSwarm:
    def test_completes_at_all_stagers_in_time(self, fast_swarm):
        assert fast_swarm.complete_s()[-1] <= 1.8 * LINK_S

    def test_reads_about_one_copy_over_few_origin_connections(self, fast_swarm):
        assert fast_swarm.origin.sent <= 1.2 * PIECES
        assert fast_swarm.origin.max_connections <= 16
        assert fast_swarm.origin.refused == 0

    def test_completes_everywhere_although_some_links_are_slow(self):
        swarm = play(seed=1, per_domain=PER_DOMAIN, squeezed=2)
        times = swarm.complete_s()
        assert times[len(times) // 2] <= 2 * LINK_S
        assert times[-1] < float("inf")
        assert swarm.origin.sent <= 2 * PIECES
