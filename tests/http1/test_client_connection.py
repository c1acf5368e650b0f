"""What comes back from a backend server: whole, cut, late, or not HTTP at all."""

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


async def ask(connection: ClientConnection, method: bytes = b"GET"):
    """Send a request; give the answer's status and its body, or the failure of either."""
    connection.begin_request(REQUEST, method=method)
    answered = await connection.read_response()
    if answered.is_err():
        return None, answered.unwrap_err()
    answer = answered.unwrap()
    body = b""
    while True:
        read = await answer.body.read()
        if read.is_err():
            return answer.head.status, read.unwrap_err()
        if not read.unwrap():
            return answer.head.status, body
        body += read.unwrap()


def scripted(*parts: bytes, end: str = "close"):
    """Make a server that answers one request with these bytes, then ends as told."""

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


async def opened(server: RawServer) -> ClientConnection:
    return (await open_connection(server.address, timeout_s=5)).unwrap()


class TestWholeAnswers:
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
        async with scripted(*parts) as server:
            assert await ask(await opened(server)) == (200, b"hello")

    async def test_of_a_head_request_have_no_body(self):
        async with scripted(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", end="wait") as server:
            assert await ask(await opened(server), method=b"HEAD") == (200, b"")


class TestCutAnswers:
    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n",
        ],
    )
    @pytest.mark.parametrize("end", ["close", "reset"])
    async def test_with_a_declared_end_are_told(self, head, end):
        async with scripted(head + b"hello", end=end) as server:
            status, failure = await ask(await opened(server))
            assert status == 200
            assert failure.code is Code.BACKEND_LOST

    async def test_without_a_length_are_told_by_the_reset(self):
        """An answer that ends with its connection is whole only where that was closed in order."""
        async with scripted(b"HTTP/1.1 200 OK\r\n\r\nhello", end="reset") as server:
            status, failure = await ask(await opened(server))
            assert status == 200
            assert failure.code is Code.BACKEND_LOST

    async def test_without_a_length_are_told_by_the_error_left_on_the_socket(self):
        """Some kernels tell a reset as an end of the stream, with the error on the socket."""

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
        answer = (await connection.read_response()).unwrap()
        assert (await answer.body.read()).unwrap() == b"hello"
        assert (await answer.body.read()).unwrap_err().code is Code.BACKEND_LOST

    async def test_before_any_byte_are_told(self):
        async with scripted(end="reset") as server:
            _, failure = await ask(await opened(server))
            assert failure.code is Code.BACKEND_LOST

    async def test_that_are_no_http_are_told(self):
        async with scripted(b"\x00\x01\x02 nothing that anybody knows\r\n\r\n") as server:
            _, failure = await ask(await opened(server))
            assert failure.code is Code.ENGINE_FAILED


class TestBytesOfNobody:
    async def test_after_the_answer_end_the_connection(self):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        async with scripted(whole, whole, end="wait") as server:
            connection = await opened(server)
            assert await ask(connection) == (200, b"")
            connection.end_exchange()
            await eventually(lambda: not connection.usable, "the connection to be given up")

    async def test_that_came_with_the_answer_end_the_connection(self):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        async with scripted(whole + whole, end="wait") as server:
            connection = await opened(server)
            assert await ask(connection) == (200, b"")
            connection.end_exchange()
            assert not connection.usable


class TestReuse:
    async def test_is_refused_after_connection_close(self):
        answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        async with scripted(answer, end="wait") as server:
            connection = await opened(server)
            await ask(connection)
            connection.end_exchange()
            assert not connection.usable

    async def test_knows_how_long_the_server_waits(self):
        answer = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7\r\nContent-Length: 0\r\n\r\n"
        async with scripted(answer, end="wait") as server:
            connection = await opened(server)
            await ask(connection)
            connection.end_exchange()
            assert connection.usable
            assert connection.keep_alive_s == 7.0


class TestClosing:
    async def test_with_a_request_outstanding_resets(self):
        """Bytes that are on their way must be dropped, not worked on later."""
        ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        async def script(caller: RawCaller) -> None:
            await caller.read_until(b"\r\n\r\n")
            try:
                await caller.read_to_end()
                ended.set_result("closed in order")
            except ConnectionResetError:
                ended.set_result("reset")

        async with RawServer(script) as server:
            connection = await opened(server)
            connection.begin_request(REQUEST, method=b"GET")
            await asyncio.sleep(0.05)
            connection.close()
            assert await asyncio.wait_for(ended, 10) == "reset"


class TestConnecting:
    async def test_to_nobody_is_a_result(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            address = Address(host="127.0.0.1", port=taken.getsockname()[1])
            failed = await open_connection(address, timeout_s=5)
        assert failed.unwrap_err().code is Code.PEER_ABSENT
