"""Tests that a stage is verified shortly before the engine loads it."""

from __future__ import annotations

import asyncio

from tests.staging.engine_model import InstallerSite, play, stand_still


async def run_and_check(site: InstallerSite) -> None:
    """Check that version 2 is installed from undamaged pieces."""
    await site.run(10.0)
    assert site.engine.loads
    assert site.wrong_loads == []
    assert site.serving == [2]


class TestStageVerification:
    # Guards against: a piece that turns bad while requests finish is loaded.
    def test_is_repeated_after_a_long_drain(self):
        async def work() -> None:
            site = InstallerSite(serving=1)
            site.name(2)
            now_s = asyncio.get_running_loop().time()
            site.engine.busy_with_requests_until_s = now_s + 60.0
            # Verified by 0.6 s, before the switch is announced.
            site.engine.at(now_s + 0.65, lambda: site.engine.damage(5))
            await run_and_check(site)

        play(work)

    # Guards against: a piece that turns bad while the process stands still is loaded.
    def test_is_repeated_after_the_process_stood_still(self):
        async def work() -> None:
            site = InstallerSite()
            site.name(2)
            reads = 0

            def before_call(name: str) -> None:
                nonlocal reads
                reads += name == "read"
                if name == "read" and reads == 8:
                    now_s = asyncio.get_running_loop().time()
                    site.engine.at(now_s + 0.1, lambda: site.engine.damage(2))
                    stand_still(4.0)

            site.engine.before_call = before_call
            await run_and_check(site)

        play(work)

    # Guards against: a check of the engine's former life is taken for one of its present life.
    def test_is_repeated_after_the_engine_lost_its_stage(self):
        async def work() -> None:
            site = InstallerSite()
            site.name(2)

            def before_call(name: str) -> None:
                if name == "publish" and site.monitor.switching and not site.engine.orders:
                    site.engine.before_call = lambda name: None
                    now_s = asyncio.get_running_loop().time()
                    site.engine.at(
                        now_s + 0.1, lambda: site.engine.crash(down_s=0.2, power_lost=True)
                    )
                    stand_still(0.5)

            site.engine.before_call = before_call
            await run_and_check(site)

        play(work)

    # Guards against: an order is sent although its connection took longer than the check is valid.
    def test_is_repeated_after_the_process_stood_still_while_it_connected(self):
        async def work() -> None:
            site = InstallerSite()
            site.name(2)

            def before_call(name: str) -> None:
                if name == "connect" and not site.engine.orders:
                    site.engine.before_call = lambda name: None
                    now_s = asyncio.get_running_loop().time()
                    site.engine.at(now_s + 0.1, lambda: site.engine.damage(7))
                    stand_still(4.0)

            site.engine.before_call = before_call
            await run_and_check(site)

        play(work)
