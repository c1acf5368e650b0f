"""A backend server restarts under the same name, tested with whole processes."""

from __future__ import annotations

import asyncio

from tests.node.site import PlainServer, Site, route
from tests.support import eventually

FIRST_START_MS, SECOND_START_MS = 1_000, 2_000


class TestRestartedServer:
    def test_is_used_after_its_former_life_deregistered(self, tmp_path):
        server = PlainServer(instance="i-0", service="status")
        server.born_ms = FIRST_START_MS

        async def run() -> None:
            async with Site(folder=tmp_path, servers=[server]) as site:
                await site.put_routes(route("/first/", "status"))
                await eventually(lambda: served(site), "the first answer")
                server.silent = True
                await site.deregister(server)
                await eventually(lambda: refused(site), "nobody to serve")
                server.sequence = 0
                server.born_ms = SECOND_START_MS
                server.silent = False
                await eventually(lambda: served(site), "an answer of the second life")
                await site.deregister(server, born_ms=FIRST_START_MS)
                await site.pause()
                assert await site.get("/first/a") == 200

        asyncio.run(asyncio.wait_for(run(), 60))


async def served(site: Site) -> bool:
    return await site.get("/first/a") == 200


async def refused(site: Site) -> bool:
    return await site.get("/first/a") == 503
