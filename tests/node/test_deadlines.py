"""What callers are told when their time is over while an engine has their request."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.node.crashing import CrashingEngine, CrashLog
from tests.node.site import Site, route
from tests.support import eventually

FIELDS = {"X-Model": "m", "X-Token-Usage": "10,3"}
TIMEOUT_MS = 300
SILENT_S = 1.5


class SilentEngine(CrashingEngine):
    """An engine that runs what it is sent and says nothing for long."""

    slow = False

    async def _answer_well(self, request: web.Request) -> web.StreamResponse:
        if self.slow:
            self.crash_log.arrivals_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(SILENT_S)
        return await super()._answer_well(request)


class TestStreamWhoseTimeEndsBeforeItsFirstEvent:
    def test_is_not_said_not_to_have_run(self, tmp_path):
        crash_log = CrashLog()
        engine = SilentEngine(number=0, service="service", crash_log=crash_log)
        table = {**route("/ask/", "service"), "type": "streaming", "timeoutMs": TIMEOUT_MS}

        async def run() -> None:
            async with Site(folder=tmp_path, servers=[engine]) as site:
                await site.put_routes(table)
                await eventually(lambda: served(site), "an answer")
                engine.slow = True
                assert await site.post("/ask/a", b"b", fields=FIELDS) == 504
                assert len(crash_log.arrivals_s) == 1

        asyncio.run(asyncio.wait_for(run(), 60))


async def served(site: Site) -> bool:
    return await site.post("/ask/a", b"a", fields=FIELDS) == 200
