"""Limits with three control replicas: two of three entries ask a leader elsewhere for shares."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from leadhollow.decide.send_limiter import UNLEASED_SHARE
from tests.soak.traffic import Callers, Operator
from tests.soak.world import World

LIMIT_PER_S = 3.0
SETTLE_S = 3.0
WATCHED_S = 8.0


async def arrivals_at_limited_engines(folder: Path) -> tuple[int, list[bool]]:
    """Give what arrives while all engines name a limit, and whether each got too much."""
    world = World(seed=77, folder=folder)
    operator = Operator(world=world)
    try:
        await world.start()
        assert await operator.change()
        assert await world.ready()
        load = asyncio.create_task(Callers(world=world).run())
        await asyncio.sleep(SETTLE_S)
        for engine in world.engines:
            engine.name_limit(LIMIT_PER_S)
        limits = [engine.limit for engine in world.engines if engine.limit is not None]
        await asyncio.sleep(SETTLE_S)
        before = sum(len(limit.arrivals_s) for limit in limits)
        await asyncio.sleep(WATCHED_S)
        arrived = sum(len(limit.arrivals_s) for limit in limits) - before
        load.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await load
        return arrived, [limit.most() > limit.allowed() for limit in limits]
    finally:
        await world.stop()


class TestSharesOfOtherDomains:
    # Guards against: entries whose replica does not lead get no leases, and leave limits unused.
    def test_are_leased_and_kept(self, tmp_path):
        arrived, exceeded = asyncio.run(arrivals_at_limited_engines(tmp_path))
        without_leases = 3 * UNLEASED_SHARE * LIMIT_PER_S * WATCHED_S
        assert exceeded == [False, False, False]
        assert arrived > 1.5 * without_leases
