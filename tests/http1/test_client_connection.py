"""Tests of the client connection with complete, truncated and malformed responses."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from leadhollow.codes import Code
from leadhollow.http1.client_connection import ClientConnection, open_connection
from leadhollow.settings.address import Address
from tests.raw_http import RawCaller, RawServer
from tests.support import eventually

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def send_request(connection: ClientConnection, method: bytes = b"GET"):
    """Send a request; return the status and the body, or the failure to read either."""
    connection.begin_request(REQUEST, method=method)
    received = await connection.read_response()
    if received.is_err():
        return None, received.unwrap_err()
    response = received.unwrap()
    body = b""
    while True:
        read = await response.body.read()
        if read.is_err():
            return response.head.status, read.unwrap_err()
        if not read.unwrap():
            return response.head.status, body
        body += read.unwrap()


def scripted_server(*parts: bytes, end: str = "close"):
    """Return a server that sends these bytes as its response, then ends the connection."""

    async def script(caller: RawCaller) -> None:
        await caller.read_until(b"\r\n\r\n")
        for part in parts:
            await caller.send(part)
            await asyncio.sleep(0.01)
        if end == "reset":
            caller.reset()
        elif end == "wait":
            await caller.read_to_end()

    return RawServer(script)


async def connect(server: RawServer) -> ClientConnection:
    return (await open_connection(server.address, timeout_s=5)).unwrap()


class TestCompleteResponses:
    @pytest.mark.parametrize(
        "parts",
        [
            (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"5\r\nhello\r\n0\r\n\r\n"),
            (b"HTTP/1.1 200 OK\r\n\r\nhel", b"lo"),
            (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",),
        ],
    )
    async def test_are_read(self, parts):
        async with scripted_server(*parts) as server:
            assert await send_request(await connect(server)) == (200, b"hello")

    async def test_to_head_request_have_no_body(self):
        async with scripted_server(
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", end="wait"
        ) as server:
            assert await send_request(await connect(server), method=b"HEAD") == (200, b"")


class TestIncompleteResponses:
    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n",
        ],
    )
    @pytest.mark.parametrize("end", ["close", "reset"])
    async def test_with_declared_length_are_failures(self, head, end):
        async with scripted_server(head + b"hello", end=end) as server:
            status, failure = await send_request(await connect(server))
            assert status == 200
            assert failure.code is Code.BACKEND_LOST

    async def test_without_length_are_failures_after_reset(self):
        """A response delimited by the connection is complete only after an orderly close."""
        async with scripted_server(b"HTTP/1.1 200 OK\r\n\r\nhello", end="reset") as server:
            status, failure = await send_request(await connect(server))
            assert status == 200
            assert failure.code is Code.BACKEND_LOST

    async def test_without_length_are_failures_if_socket_has_error(self):
        """Some kernels report a reset as an end of stream, with the error left on the socket."""

        class BrokenSocket:
            def setsockopt(self, *_: object) -> None:
                return

            def getsockopt(self, level: int, name: int) -> int:
                assert (level, name) == (socket.SOL_SOCKET, socket.SO_ERROR)
                return errno.ECONNRESET

        class FakeTransport:
            def write(self, data: bytes) -> None:
                return

            def get_extra_info(self, name: str) -> BrokenSocket:
                return BrokenSocket()

        connection = ClientConnection()
        connection.connection_made(FakeTransport())
        connection.begin_request(REQUEST, method=b"GET")
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nhello")
        connection.eof_received()
        response = (await connection.read_response()).unwrap()
        assert (await response.body.read()).unwrap() == b"hello"
        assert (await response.body.read()).unwrap_err().code is Code.BACKEND_LOST

    async def test_without_any_byte_are_failures(self):
        async with scripted_server(end="reset") as server:
            _, failure = await send_request(await connect(server))
            assert failure.code is Code.BACKEND_LOST

    async def test_that_are_not_http_are_failures(self):
        async with scripted_server(b"\x00\x01\x02 nothing that anybody knows\r\n\r\n") as server:
            _, failure = await send_request(await connect(server))
            assert failure.code is Code.ENGINE_FAILED


class TestUnexpectedBytes:
    async def test_after_response_close_connection(self):
        empty_response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        async with scripted_server(empty_response, empty_response, end="wait") as server:
            connection = await connect(server)
            assert await send_request(connection) == (200, b"")
            connection.end_exchange()
            await eventually(lambda: not connection.usable, "the connection to be given up")

    async def test_together_with_response_close_connection(self):
        empty_response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        async with scripted_server(empty_response + empty_response, end="wait") as server:
            connection = await connect(server)
            assert await send_request(connection) == (200, b"")
            connection.end_exchange()
            assert not connection.usable


class TestReuse:
    async def test_is_not_possible_after_connection_close(self):
        response = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        async with scripted_server(response, end="wait") as server:
            connection = await connect(server)
            await send_request(connection)
            connection.end_exchange()
            assert not connection.usable

    async def test_reads_keep_alive_timeout_of_server(self):
        response = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7\r\nContent-Length: 0\r\n\r\n"
        async with scripted_server(response, end="wait") as server:
            connection = await connect(server)
            await send_request(connection)
            connection.end_exchange()
            assert connection.usable
            assert connection.keep_alive_s == 7.0


class TestClosing:
    async def test_with_outstanding_request_sends_reset(self):
        """The server must drop request bytes in transit instead of processing them later."""
        ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        async def script(caller: RawCaller) -> None:
            await caller.read_until(b"\r\n\r\n")
            try:
                await caller.read_to_end()
                ended.set_result("closed in order")
            except ConnectionResetError:
                ended.set_result("reset")

        async with RawServer(script) as server:
            connection = await connect(server)
            connection.begin_request(REQUEST, method=b"GET")
            await asyncio.sleep(0.05)
            connection.close()
            assert await asyncio.wait_for(ended, 10) == "reset"


class TestConnecting:
    async def test_to_closed_port_returns_peer_absent(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            address = Address(host="127.0.0.1", port=taken.getsockname()[1])
            failed = await open_connection(address, timeout_s=5)
        assert failed.unwrap_err().code is Code.PEER_ABSENT
