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

    # Guards against: a response that nobody read to its end leaves reading paused, so that the next
    # response on its connection is never read.
    @pytest.mark.parametrize("rest_kib", [57, 100, 200])
    async def test_after_an_unread_body_reads_the_next_response(self, rest_kib):
        beginning, rest = bytes(200 * 1024), bytes(rest_kib * 1024)
        beginning_received = asyncio.Event()

        async def script(caller: RawCaller) -> None:
            await caller.read_until(b"\r\n\r\n")
            size = len(beginning) + len(rest)
            await caller.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            await caller.send(beginning)
            await beginning_received.wait()
            await caller.send(rest)
            await caller.read_until(b"\r\n\r\n")
            await caller.send(b"HTTP/1.1 204 No Content\r\n\r\n")
            await caller.read_to_end()

        async with RawServer(script) as server:
            connection = await connect(server)
            connection.begin_request(REQUEST, method=b"GET")
            body = (await connection.read_response()).unwrap().body
            await eventually(lambda: body.buffered_bytes == len(beginning))
            beginning_received.set()
            await eventually(lambda: body.complete or body.buffered_bytes > 256 * 1024)
            if not body.complete:
                (await body.read()).unwrap()
            await eventually(lambda: body.complete)
            connection.end_exchange()
            assert connection.usable
            async with asyncio.timeout(10):
                assert await send_request(connection) == (204, b"")
            connection.close()


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


class TestUnacceptableResponses:
    # Guards against: a server fills the memory, or holds up the loop, with what has no end.
    @pytest.mark.parametrize(
        "sent",
        [
            b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 200_000,
            b"HTTP/1.1 200 " + b"x" * 200_000,
            b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 1_000,
            b"HTTP/1.1 200 OK\r\n" + b"x" * 200_000,
            b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 100,
            b"\r\n" * 100_000,
        ],
    )
    async def test_without_end_are_refused(self, sent):
        async with scripted_server(sent, end="wait") as server, asyncio.timeout(20):
            status, failure = await send_request(await connect(server))
            assert status is None
            assert failure.code is Code.ENGINE_FAILED

    # Guards against: what follows the last chunk has no end.
    @pytest.mark.parametrize("trailer", [b"A: b\r\n" * 1_000, b"A: " + b"x" * 200_000])
    async def test_with_trailers_without_end_are_refused(self, trailer):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        sent = head + b"2\r\nok\r\n", b"0\r\n" + trailer
        async with scripted_server(*sent, end="wait") as server, asyncio.timeout(20):
            status, failure = await send_request(await connect(server))
            assert status == 200
            assert failure.code is Code.ENGINE_FAILED

    # Guards against: a second head of another form passes for a part of the first one.
    @pytest.mark.parametrize("line", [b"HTTP/2 500 E", b"http/1.1 500 e", b"HTTP/1.1\t600 E"])
    async def test_that_hold_another_status_line_are_refused(self, line):
        sent = b"HTTP/1.1 200 OK\r\nX-A: b" + line + b"\r\nContent-Length: 2\r\n\r\nok"
        async with scripted_server(sent, end="wait") as server, asyncio.timeout(20):
            assert (await send_request(await connect(server)))[0] is None

    # Guards against: a body whose coding is not understood is passed on as it is.
    @pytest.mark.parametrize("coding", [b"gzip", b"xchunked", b"chunked;q=1", b"gzip, chunked"])
    async def test_with_another_transfer_coding_are_refused(self, coding):
        sent = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + b"\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        async with scripted_server(sent) as server, asyncio.timeout(20):
            assert (await send_request(await connect(server)))[0] is None

    # Guards against: a field that names an address of a proxy counts as a status line.
    async def test_are_told_from_proper_fields(self):
        fields = b"Via: HTTP/1.1 192.168.0.7:3128\r\nServer: a/1.1 500\r\n"
        sent = b"HTTP/1.1 200 OK\r\n" + fields + b"Content-Length: 2\r\n\r\nok"
        async with scripted_server(sent, end="wait") as server, asyncio.timeout(20):
            assert await send_request(await connect(server)) == (200, b"ok")


class TestBytesBehindAResponse:
    # Guards against: a connection is reused although another response has begun on it.
    @pytest.mark.parametrize(
        "behind", [b"H", b"HTTP/1.1 200 O", b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n"]
    )
    async def test_end_the_connection(self, behind):
        sent = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + behind
        async with scripted_server(sent, end="wait") as server:
            connection = await connect(server)
            assert await send_request(connection) == (200, b"ok")
            connection.end_exchange()
            assert not connection.usable

    # Guards against: a trailer counts as a field of the head, such as the id of another request.
    async def test_as_trailers_are_no_fields_of_the_head(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        async with scripted_server(head + b"0\r\nA: b\r\n\r\n", end="wait") as server:
            connection = await connect(server)
            connection.begin_request(REQUEST, method=b"GET")
            response = (await connection.read_response()).unwrap()
            assert (await response.body.read()).unwrap() == b""
            assert response.head.headers.get(b"a") is None

    # Guards against: a relay sends as many bytes as were declared, some of another response.
    async def test_within_its_body_are_dropped(self):
        sent = b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nok" + b"HTTP/1.1 500 E\r\n" * 3
        async with scripted_server(sent, end="wait") as server:
            connection = await connect(server)
            connection.begin_request(REQUEST, method=b"GET")
            response = (await connection.read_response()).unwrap()
            assert (await response.body.read()).unwrap_err().code is Code.ENGINE_FAILED
