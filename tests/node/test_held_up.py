"""Requests to plain services while their entry is held up."""

from __future__ import annotations

import asyncio
import time

import pytest
from aiohttp import web

from tests.node.site import PlainServer, Site, route
from tests.other_loop import LOOPS, OtherLoop, run_on
from tests.support import eventually

ANSWERS_AFTER_S = 0.3  # half of the time after which another server is asked beside the first
HOLD_S = 1.0
BODY = b"x" * 400_000  # is read in several turns of the loop


class SlowServer(PlainServer):
    """Answers after a while, on a loop of its own, and counts what it is asked."""

    def __init__(self, *, instance: str, elsewhere: OtherLoop) -> None:
        super().__init__(instance=instance, service="service")
        self._elsewhere = elsewhere
        self.asked = 0

    async def start(self) -> None:
        self._elsewhere.run(super().start())

    async def stop(self) -> None:
        await asyncio.to_thread(self._elsewhere.run, super().stop())

    async def _answer(self, request: web.Request) -> web.Response:
        self.asked += 1
        await asyncio.sleep(ANSWERS_AFTER_S)
        answer = await super()._answer(request)
        answer.body = BODY
        return answer


class TestHeldUpEntry:
    # Guards against: a second server is asked though the first one's answer lay in the socket.
    @pytest.mark.parametrize("loop_name", LOOPS)
    def test_asks_no_other_server_for_its_own_delay(self, tmp_path, loop_name):
        with OtherLoop() as elsewhere:
            servers = [SlowServer(instance=f"i-{at}", elsewhere=elsewhere) for at in range(2)]

            async def serves(site: Site) -> bool:
                return await site.get("/plain/a") == 200

            async def work() -> None:
                async with Site(folder=tmp_path, servers=servers) as site:
                    await site.put_routes(
                        {**route("/plain/", "service"), "timeoutMs": 8_000, "maxAttempts": 2}
                    )
                    await eventually(lambda: serves(site), "an answer")
                    await site.pause()
                    for server in servers:
                        server.asked = 0
                    asking = [asyncio.create_task(site.get("/plain/a")) for _ in range(10)]
                    await eventually(
                        lambda: sum(server.asked for server in servers) == 10, "all to be asked"
                    )
                    time.sleep(HOLD_S)
                    assert await asyncio.gather(*asking) == [200] * 10
                    assert sum(server.asked for server in servers) == 10

            run_on(loop_name, work)
