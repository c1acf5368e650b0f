"""A few processes for some seconds; many processes are played by hand with ``tests.at_size``."""

from __future__ import annotations

import asyncio

from tests.at_size.run import RESTARTS, Plan, play
from tests.at_size.world import Size

PLAN = Plan(
    size=Size(entries=2, controls=3, stagers=2),
    seconds=4.0,
    rate_per_s=15.0,
    busy=0,
    restarts=RESTARTS[:1],
)


class TestStreamsAtSize:
    # Guards against: streams of callers are cut while their engine is at work.
    def test_end_whole_or_for_a_good_reason(self, tmp_path):
        figures = asyncio.run(play(seed=1, folder=tmp_path, plan=PLAN))
        assert figures["traces"] == []
        assert figures["violations"] == []
        assert figures["whole"] > 0
