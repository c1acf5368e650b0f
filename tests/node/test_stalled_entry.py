"""Requests to plain services while the event loop of their entry is stalled."""

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

RESPONSE_TIME_S = 0.15  # a quarter of the delay after which a request is hedged
STALL_S = 1.0
BODY = b"x" * 400_000  # takes several iterations of the loop to read


class SlowServer(PlainServer):
    """Plain server that responds after a delay, on its own loop, and counts requests."""

    def __init__(self, *, instance: str, server_loop: OtherLoop) -> None:
        super().__init__(instance=instance, service="service")
        self._server_loop = server_loop
        self.requests_received = 0

    async def start(self) -> None:
        self._server_loop.run(super().start())

    async def stop(self) -> None:
        await asyncio.to_thread(self._server_loop.run, super().stop())

    async def _answer(self, request: web.Request) -> web.Response:
        self.requests_received += 1
        await asyncio.sleep(RESPONSE_TIME_S)
        answer = await super()._answer(request)
        answer.body = BODY
        return answer


def with_servers(
    folder: Path, loop_name: str, work: Callable[[Site, list[SlowServer]], Awaitable[None]]
) -> None:
    """Run a test with a site and its servers, once the entry has served a request."""

    async def serves(site: Site) -> bool:
        return await site.get("/plain/a") == 200

    async def run(servers: list[SlowServer]) -> None:
        async with Site(folder=folder, servers=servers) as site:
            await site.put_routes({**route("/plain/", "service"), "timeoutMs": 8_000})
            await eventually(lambda: serves(site), "an answer")
            await site.pause()
            for server in servers:
                server.requests_received = 0
            await work(site, servers)

    with OtherLoop() as server_loop:
        servers = [SlowServer(instance=f"i-{at}", server_loop=server_loop) for at in range(2)]
        run_on(loop_name, lambda: run(servers))


def total_requests(servers: list[SlowServer]) -> int:
    return sum(server.requests_received for server in servers)


@pytest.mark.parametrize("loop_name", LOOPS)
class TestStalledEntry:
    # Guards against: hedging a request although the response of its first server has arrived.
    def test_does_not_hedge_because_of_its_own_stall(self, tmp_path, loop_name):
        async def work(site: Site, servers: list[SlowServer]) -> None:
            requests = [asyncio.create_task(site.get("/plain/a")) for _ in range(10)]
            await eventually(lambda: total_requests(servers) == 10, "all to be asked")
            time.sleep(STALL_S)
            assert await asyncio.gather(*requests) == [200] * 10
            assert total_requests(servers) == 10

        with_servers(tmp_path, loop_name, work)

    # Guards against: a stall before a request is sent counts as delay of its server.
    def test_gives_the_first_server_its_full_time_after_a_stall(self, tmp_path, loop_name):
        async def work(site: Site, servers: list[SlowServer]) -> None:
            host, _, port = site.callers.rpartition(":")
            caller = socket.create_connection((host, int(port)))
            caller.setblocking(False)
            fields = f"Host: {HOST}\r\nX-Attempt-Id: 00000000000000aa\r\nContent-Length: 4\r\n"
            caller.send(f"POST /plain/a HTTP/1.1\r\n{fields}\r\ngo".encode())
            await asyncio.sleep(0.05)
            time.sleep(STALL_S)
            caller.send(b"od")
            answer = await asyncio.get_running_loop().sock_recv(caller, 64)
            caller.close()
            assert answer.startswith(b"HTTP/1.1 200")
            assert total_requests(servers) == 1

        with_servers(tmp_path, loop_name, work)
