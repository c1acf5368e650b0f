"""Tests of a load order that the engine does not answer."""

from __future__ import annotations

import asyncio

from tests.staging.engine_model import InstallerSite, play


class TestUnansweredOrder:
    # Guards against: an order that is accepted late loads pieces that were staged after it.
    def test_accepted_late_does_not_load_pieces_of_a_newer_version(self):
        async def work() -> None:
            site = InstallerSite(fetch_s=3.0)
            site.engine.accept_after_s = [2.5]
            site.name(2)
            asyncio.get_running_loop().call_later(3.2, site.name, 3)
            asyncio.get_running_loop().call_later(3.5, site.name, 4)
            await site.run(12.0)
            assert site.engine.loads
            assert site.wrong_loads == []
            assert site.serving == [4]

        play(work)

    # Guards against: an engine stays without weights because an order was never accepted.
    def test_is_repeated_until_the_engine_answers(self):
        async def work() -> None:
            site = InstallerSite()
            site.engine.accept_after_s = [None, None]
            site.name(2)
            await site.run(6.0)
            assert [(order.version, order.expected_sequence) for order in site.engine.orders] == [
                (2, 0)
            ] * 3
            assert len(site.engine.loads) == 1
            assert site.serving == [2]
            assert not site.monitor.switching

        play(work)

    # Guards against: a second order for weights that the engine has begun to load.
    def test_is_not_repeated_after_the_engine_has_accepted_it(self):
        async def work() -> None:
            site = InstallerSite()
            site.engine.answer_lost = [True]
            site.name(2)
            await site.run(6.0)
            assert len(site.engine.orders) == 1
            assert site.serving == [2]
            assert not site.monitor.switching

        play(work)

    # Guards against: requests go to an engine that may abort them at any moment.
    def test_keeps_requests_away_until_it_is_settled(self):
        async def work() -> None:
            site = InstallerSite(serving=1)
            site.engine.accept_after_s = [4.0]
            site.engine.answer_lost = [False] + [True] * 9
            site.engine.accept_after_s += [None] * 9
            site.name(2)
            seen: list[tuple[bool, int]] = []
            loop = asyncio.get_running_loop()
            for tenth in range(20, 55):
                loop.call_later(
                    tenth / 10,
                    lambda: seen.append((site.monitor.switching, len(site.engine.loads))),
                )
            await site.run(8.0)
            assert {switching for switching, loads in seen if not loads} == {True}
            assert site.serving == [2]
            assert not site.monitor.switching

        play(work)

    # Guards against: an engine that restarts gets no order for a newer version.
    def test_does_not_outlast_a_restart_of_the_engine(self):
        async def work() -> None:
            site = InstallerSite(fetch_s=1.0)
            site.engine.accept_after_s = [None]
            site.name(2)
            loop = asyncio.get_running_loop()
            loop.call_later(1.5, lambda: site.engine.crash(down_s=0.5))
            loop.call_later(1.6, site.name, 3)
            await site.run(8.0)
            assert site.wrong_loads == []
            assert site.serving == [3]

        play(work)
