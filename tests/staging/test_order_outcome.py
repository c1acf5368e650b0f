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
