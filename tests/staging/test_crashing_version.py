"""Tests of what holds while a version ends each engine that loads it.

Nothing counts such ends over the fleet: each stager orders the newest version again in each life of
its engine, since no older one may serve. These tests show the limits of the harm.
"""

from __future__ import annotations

import asyncio

from tests.staging.engine_model import LOAD_S, EngineModel, InstallerSite, play

CRASHING = 2
DOWN_S = 0.5
LENGTH_S = 20.0
NAMED_AFTER_S = 5.0
SETTLED_S = 2.0  # to fetch and to stage the newer version


class CrashingEngineModel(EngineModel):
    """Engine that ends at the end of each load of one version."""

    def accept(self, order) -> bool:
        loads = len(self.loads)
        accepted = super().accept(order)
        if len(self.loads) > loads and order.version == CRASHING:

            def end() -> None:
                self.crash(down_s=DOWN_S)

            self.at(self._now_s + LOAD_S, end)
        return accepted


def crashing_site() -> InstallerSite:
    return InstallerSite(serving=1, engine=CrashingEngineModel())


class TestVersionThatEndsItsEngine:
    # An engine that ends at each load would be ordered to load without a pause.
    def test_is_loaded_at_most_once_in_each_life(self):
        async def work() -> None:
            site = crashing_site()
            site.name(CRASHING)
            await site.run(LENGTH_S)
            assert site.engine.loads
            assert len(site.engine.loads) <= LENGTH_S / (LOAD_S + DOWN_S)
            assert len(site.engine.loads) <= site.engine.born_ms
            assert site.wrong_loads == []

        play(work)

    # An operator could not get an engine out of it.
    def test_is_left_for_a_newer_version(self):
        async def work() -> None:
            site = crashing_site()
            loop = asyncio.get_running_loop()
            named_s = loop.time() + NAMED_AFTER_S
            site.name(CRASHING)
            loop.call_at(named_s, site.name, CRASHING + 1)
            await site.run(LENGTH_S)
            assert site.serving == [CRASHING + 1]
            assert site.engine.loads[-1].time_s < named_s + 2 * (LOAD_S + DOWN_S) + SETTLED_S

        play(work)
