"""Tests that the server handles what callers sent during a stall of its event loop."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from leadhollow.http1.headers import Headers
from leadhollow.http1.incoming_request import HttpLimits, IncomingRequest
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.kernel import active_time
from leadhollow.settings.address import Address
from tests.other_loop import LOOPS, run_on

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
STALL_S = 1.2
TIMEOUT_MS = 500  # header timeout and idle timeout


async def respond(request: IncomingRequest, reply: ReplyWriter) -> None:
    await reply.send(200, Headers(), b"done")


async def start_server() -> HttpServer:
    limits = HttpLimits(header_timeout_ms=TIMEOUT_MS, idle_timeout_ms=TIMEOUT_MS)
    server = HttpServer(
        address=Address(host="127.0.0.1", port=0), handler=respond, limits=lambda: limits
    )
    assert (await server.start()).is_ok()
    active_time.clock()
    return server


async def connect(server: HttpServer) -> socket.socket:
    caller = socket.create_connection((server.address.host, server.address.port))
    caller.setblocking(False)
    await asyncio.sleep(0.15)
    return caller


async def read(caller: socket.socket) -> bytes:
    """Read the next bytes; return no bytes if the connection was closed."""
    async with asyncio.timeout(5):
        return await asyncio.get_running_loop().sock_recv(caller, 4096)


@pytest.mark.parametrize("loop_name", LOOPS)
class TestStalledServer:
    # Guards against: a request in the socket buffer gets a 408 because the server stalled.
    def test_accepts_head_completed_during_stall(self, loop_name):
        async def work() -> None:
            server = await start_server()
            caller = await connect(server)
            caller.send(REQUEST[:10])
            await asyncio.sleep(0.05)
            caller.send(REQUEST[10:])
            time.sleep(STALL_S)
            assert (await read(caller)).startswith(b"HTTP/1.1 200")
            caller.close()
            await server.stop()

        run_on(loop_name, work)

    # Guards against: a keep-alive connection is closed with a request in its socket buffer.
    def test_serves_request_received_during_stall_on_idle_connection(self, loop_name):
        async def work() -> None:
            server = await start_server()
            caller = await connect(server)
            for _ in range(3):
                caller.send(REQUEST)
                time.sleep(STALL_S)
                assert (await read(caller)).startswith(b"HTTP/1.1 200")
                await asyncio.sleep(0.1)
            caller.close()
            await server.stop()

        run_on(loop_name, work)

    def test_closes_idle_connection_after_timeout(self, loop_name):
        async def work() -> None:
            server = await start_server()
            caller = await connect(server)
            caller.send(REQUEST)
            assert (await read(caller)).startswith(b"HTTP/1.1 200")
            began_s = asyncio.get_running_loop().time()
            assert await read(caller) == b""
            assert asyncio.get_running_loop().time() - began_s > 0.8 * TIMEOUT_MS / 1000
            caller.close()
            await server.stop()

        run_on(loop_name, work)

    def test_refuses_slow_head_with_408(self, loop_name):
        async def work() -> None:
            server = await start_server()
            caller = await connect(server)
            caller.send(REQUEST[:10])
            assert (await read(caller)).startswith(b"HTTP/1.1 408")
            caller.close()
            await server.stop()

        run_on(loop_name, work)
