"""Responses to callers whose deadline passes while an engine runs their request."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.node.crashing import CrashingEngine, CrashLog
from tests.node.site import Site, route
from tests.support import eventually

FIELDS = {"X-Model": "m", "X-Token-Usage": "10,3"}
TIMEOUT_MS = 300
SILENCE_S = 1.5


class SilentEngine(CrashingEngine):
    """Engine that can delay its responses for a long time."""

    slow = False

    async def _answer_normally(self, request: web.Request) -> web.StreamResponse:
        if self.slow:
            self.crash_log.arrivals_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(SILENCE_S)
        return await super()._answer_normally(request)


class TestStreamPastItsDeadlineBeforeTheFirstEvent:
    def test_is_not_reported_as_not_executed(self, tmp_path):
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
