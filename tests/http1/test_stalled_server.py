"""A server that was held up serves what callers sent meanwhile."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from leadhollow.http1.headers import Headers
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.http1.server_connection import HttpLimits, IncomingRequest
from leadhollow.kernel import active_time
from leadhollow.settings.address import Address
from tests.other_loop import LOOPS, run_on

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
HOLD_S = 1.2
TIMEOUT_MS = 500  # of heads and idle connections


async def answer(request: IncomingRequest, reply: ReplyWriter) -> None:
    await reply.send(200, Headers(), b"done")


async def started() -> HttpServer:
    limits = HttpLimits(header_timeout_ms=TIMEOUT_MS, idle_timeout_ms=TIMEOUT_MS)
    server = HttpServer(
        address=Address(host="127.0.0.1", port=0), handler=answer, limits=lambda: limits
    )
    assert (await server.start()).is_ok()
    active_time.clock()
    return server


async def connected(server: HttpServer) -> socket.socket:
    caller = socket.create_connection((server.address.host, server.address.port))
    caller.setblocking(False)
    await asyncio.sleep(0.15)
    return caller


async def read(caller: socket.socket) -> bytes:
    """Read what comes next; nothing where the connection was closed."""
    async with asyncio.timeout(5):
        return await asyncio.get_running_loop().sock_recv(caller, 4096)


@pytest.mark.parametrize("loop_name", LOOPS)
class TestHeldUpServer:
    # Guards against: a request that lay in the socket is refused with 408 for our own delay.
    def test_takes_a_head_whose_rest_came_meanwhile(self, loop_name):
        async def work() -> None:
            server = await started()
            caller = await connected(server)
            caller.send(REQUEST[:10])
            await asyncio.sleep(0.05)
            caller.send(REQUEST[10:])
            time.sleep(HOLD_S)
            assert (await read(caller)).startswith(b"HTTP/1.1 200")
            caller.close()
            await server.stop()

        run_on(loop_name, work)

    # Guards against: a kept connection is closed though its next request lay in the socket.
    def test_serves_a_kept_connection_whose_request_came_meanwhile(self, loop_name):
        async def work() -> None:
            server = await started()
            caller = await connected(server)
            for _ in range(3):
                caller.send(REQUEST)
                time.sleep(HOLD_S)
                assert (await read(caller)).startswith(b"HTTP/1.1 200")
                await asyncio.sleep(0.1)
            caller.close()
            await server.stop()

        run_on(loop_name, work)

    def test_closes_connections_that_stay_idle(self, loop_name):
        async def work() -> None:
            server = await started()
            caller = await connected(server)
            caller.send(REQUEST)
            assert (await read(caller)).startswith(b"HTTP/1.1 200")
            began_s = asyncio.get_running_loop().time()
            assert await read(caller) == b""
            assert asyncio.get_running_loop().time() - began_s > 0.8 * TIMEOUT_MS / 1000
            caller.close()
            await server.stop()

        run_on(loop_name, work)

    def test_refuses_a_head_that_is_slow(self, loop_name):
        async def work() -> None:
            server = await started()
            caller = await connected(server)
            caller.send(REQUEST[:10])
            assert (await read(caller)).startswith(b"HTTP/1.1 408")
            caller.close()
            await server.stop()

        run_on(loop_name, work)
