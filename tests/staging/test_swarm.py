"""A version on its way to fifteen stagers of three failure domains, in virtual time."""

from __future__ import annotations

import pytest

from tests.staging.swarm import PIECE_BYTES, PIECES, STAGER_BYTES_PER_S, Swarm, play

PER_DOMAIN = 5
LINK_S = PIECES * PIECE_BYTES / STAGER_BYTES_PER_S  # that one stager's link takes for all pieces


@pytest.fixture(scope="module")
def calm() -> Swarm:
    return play(seed=0, per_domain=PER_DOMAIN)


class TestSwarm:
    def test_has_the_version_everywhere_soon(self, calm):
        assert calm.complete_s()[-1] <= 1.8 * LINK_S

    def test_reads_little_more_than_one_copy_over_few_connections(self, calm):
        assert calm.origin.sent <= 1.2 * PIECES
        assert calm.origin.most_connections <= 16
        assert calm.origin.refused == 0

    def test_brings_it_whole_though_some_links_are_narrow(self):
        swarm = play(seed=1, per_domain=PER_DOMAIN, squeezed=2)
        times = swarm.complete_s()
        assert times[len(times) // 2] <= 2 * LINK_S
        assert times[-1] < float("inf")
        assert swarm.origin.sent <= 2 * PIECES
