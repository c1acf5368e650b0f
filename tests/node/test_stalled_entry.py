"""Requests to plain services while their entry is held up."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from aiohttp import web

from tests.node.site import HOST, PlainServer, Site, route
from tests.other_loop import LOOPS, OtherLoop, run_on
from tests.support import eventually

ANSWERS_AFTER_S = 0.15  # a quarter of the time after which another server is asked too
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


def with_servers(
    folder: Path, loop_name: str, work: Callable[[Site, list[SlowServer]], Awaitable[None]]
) -> None:
    """Run a test on a site whose entry has answered once; it gets the site and its servers."""

    async def serves(site: Site) -> bool:
        return await site.get("/plain/a") == 200

    async def run(servers: list[SlowServer]) -> None:
        async with Site(folder=folder, servers=servers) as site:
            await site.put_routes({**route("/plain/", "service"), "timeoutMs": 8_000})
            await eventually(lambda: serves(site), "an answer")
            await site.pause()
            for server in servers:
                server.asked = 0
            await work(site, servers)

    with OtherLoop() as elsewhere:
        servers = [SlowServer(instance=f"i-{at}", elsewhere=elsewhere) for at in range(2)]
        run_on(loop_name, lambda: run(servers))


def all_asked(servers: list[SlowServer]) -> int:
    return sum(server.asked for server in servers)


@pytest.mark.parametrize("loop_name", LOOPS)
class TestHeldUpEntry:
    # Guards against: a second server is asked though the first one's answer lay in the socket.
    def test_asks_no_other_server_for_its_own_delay(self, tmp_path, loop_name):
        async def work(site: Site, servers: list[SlowServer]) -> None:
            asking = [asyncio.create_task(site.get("/plain/a")) for _ in range(10)]
            await eventually(lambda: all_asked(servers) == 10, "all to be asked")
            time.sleep(HOLD_S)
            assert await asyncio.gather(*asking) == [200] * 10
            assert all_asked(servers) == 10

        with_servers(tmp_path, loop_name, work)

    # Guards against: a hold before a request is sent counts as its server's delay.
    def test_gives_the_first_server_its_time_after_a_hold(self, tmp_path, loop_name):
        async def work(site: Site, servers: list[SlowServer]) -> None:
            host, _, port = site.callers.rpartition(":")
            caller = socket.create_connection((host, int(port)))
            caller.setblocking(False)
            fields = f"Host: {HOST}\r\nX-Attempt-Id: 00000000000000aa\r\nContent-Length: 4\r\n"
            caller.send(f"POST /plain/a HTTP/1.1\r\n{fields}\r\ngo".encode())
            await asyncio.sleep(0.05)
            time.sleep(HOLD_S)
            caller.send(b"od")
            answer = await asyncio.get_running_loop().sock_recv(caller, 64)
            caller.close()
            assert answer.startswith(b"HTTP/1.1 200")
            assert all_asked(servers) == 1

        with_servers(tmp_path, loop_name, work)
