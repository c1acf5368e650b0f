"""Tests of the HTTP server: requests, responses, and the shutdown."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import pytest

from leadhollow.http1.headers import Headers
from leadhollow.http1.incoming_request import HttpLimits, IncomingRequest
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.settings.address import Address
from tests.raw_http import RawCaller
from tests.support import eventually


class Recorder:
    """Records each request and echoes its target and body."""

    def __init__(self) -> None:
        self.requests: list[tuple[bytes, bytes, bytes]] = []
        self.cancelled = 0

    async def handle(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        body = b""
        while data := (await request.body.read()).unwrap_or(b""):
            body += data
        self.requests.append((request.head.method, request.head.target, body))
        await reply.send(200, Headers(items=[(b"X-Seen", request.head.target)]), body)


@pytest.fixture
async def recorder():
    return Recorder()


@pytest.fixture
async def server(recorder):
    limits = HttpLimits(
        header_bytes=1024, body_bytes=10_000, header_timeout_ms=200, idle_timeout_ms=5_000
    )
    made = HttpServer(
        address=Address(host="127.0.0.1", port=0), handler=recorder.handle, limits=lambda: limits
    )
    assert (await made.start()).is_ok()
    yield made
    await made.stop()


class TestRequests:
    async def test_with_content_length_are_read(self, server, recorder):
        caller = await RawCaller.connect(server.address)
        await caller.send(b"POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
        head, body = await caller.read_answer()
        assert head.startswith(b"HTTP/1.1 200 OK")
        assert body == b"abc"
        assert recorder.requests == [(b"POST", b"/a?b=c", b"abc")]

    async def test_with_chunked_body_are_read(self, server, recorder):
        caller = await RawCaller.connect(server.address)
        await caller.send(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
        await caller.send(b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        assert (await caller.read_answer())[1] == b"abc"

    async def test_in_sequence_share_a_connection(self, server, recorder):
        caller = await RawCaller.connect(server.address)
        for number in range(3):
            await caller.send(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % number)
            await caller.read_answer()
        assert [target for _, target, _ in recorder.requests] == [b"/0", b"/1", b"/2"]

    async def test_that_are_pipelined_are_answered_in_order(self, server, recorder):
        caller = await RawCaller.connect(server.address)
        await caller.send(b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\nGET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
        first, _ = await caller.read_answer()
        second, _ = await caller.read_answer()
        assert b"X-Seen: /0" in first
        assert b"X-Seen: /1" in second

    async def test_that_expect_100_continue_get_it(self, server, recorder):
        caller = await RawCaller.connect(server.address)
        await caller.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        assert (await caller.read_until(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        await caller.send(b"ok")
        assert (await caller.read_answer())[1] == b"ok"


class TestBadRequests:
    @pytest.mark.parametrize(
        ("sent", "status"),
        [
            (b"nothing\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400),
            (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
            (
                b"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
                400,
            ),
            (b"GET / HTTP/1.1\r\nX-Long: " + b"a" * 2_000 + b"\r\n\r\n", 431),
            (b"GET / HTTP/1.1\r\nX-Slow: ", 408),
        ],
    )
    async def test_are_refused_and_connection_is_closed(self, server, recorder, sent, status):
        caller = await RawCaller.connect(server.address)
        await caller.send(sent)
        response = await caller.read_to_end()
        assert response.startswith(b"HTTP/1.1 %d " % status)
        assert response.count(b"HTTP/1.1") == 1
        assert [target for _, target, _ in recorder.requests if target == b"/smuggled"] == []


class TestCallerDisconnects:
    @pytest.mark.parametrize("leave", ["close", "reset"])
    async def test_cancel_the_request(self, leave):
        started = asyncio.Event()
        cancelled = asyncio.Event()

        async def handle(request: IncomingRequest, reply: ReplyWriter) -> None:
            started.set()
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        server = HttpServer(address=Address(host="127.0.0.1", port=0), handler=handle)
        await server.start()
        caller = await RawCaller.connect(server.address)
        await caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await started.wait()
        getattr(caller, leave)()
        async with asyncio.timeout(10):
            await cancelled.wait()
        await server.stop()


async def respond_with(write):
    """Handle one request with a function that writes the response; return all bytes received."""

    async def handle(request: IncomingRequest, reply: ReplyWriter) -> None:
        await write(reply)

    server = HttpServer(address=Address(host="127.0.0.1", port=0), handler=handle)
    await server.start()
    caller = await RawCaller.connect(server.address)
    await caller.send(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    try:
        return await caller.read_to_end()
    finally:
        await server.stop()


class TestResponses:
    async def test_of_unknown_length_are_chunked(self):
        async def write(reply: ReplyWriter) -> None:
            reply.start(200, Headers())
            await reply.write(b"ab")
            await reply.write(b"c")
            reply.finish()

        response = await respond_with(write)
        assert response.endswith(b"\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")

    async def test_that_are_aborted_do_not_look_complete(self):
        async def write(reply: ReplyWriter) -> None:
            reply.start(200, Headers())
            await reply.write(b"ab")
            reply.abort()

        assert b"0\r\n\r\n" not in await respond_with(write)

    async def test_shorter_than_declared_do_not_look_complete(self):
        async def write(reply: ReplyWriter) -> None:
            reply.start(200, Headers(), content_length=5)
            await reply.write(b"ab")
            reply.finish()

        response = await respond_with(write)
        assert response.endswith(b"ab")
        assert b"Content-Length: 5" in response

    async def test_of_unknown_length_to_http_1_0_end_with_connection(self):
        async def handle(request: IncomingRequest, reply: ReplyWriter) -> None:
            reply.start(200, Headers())
            await reply.write(b"abc")
            reply.finish()

        server = HttpServer(address=Address(host="127.0.0.1", port=0), handler=handle)
        await server.start()
        caller = await RawCaller.connect(server.address)
        await caller.send(b"GET / HTTP/1.0\r\n\r\n")
        response = await caller.read_to_end()
        assert response.endswith(b"\r\n\r\nabc")
        assert b"chunked" not in response
        await server.stop()

    async def test_of_failed_handler_have_status_502(self):
        async def write(reply: ReplyWriter) -> None:
            raise RuntimeError

        assert (await respond_with(write)).startswith(b"HTTP/1.1 %d" % HTTPStatus.BAD_GATEWAY)


class TestEarlyResponses:
    """Responses that are sent before the body of the request is in."""

    @staticmethod
    async def start(limits: HttpLimits) -> HttpServer:
        async def handle(request: IncomingRequest, reply: ReplyWriter) -> None:
            reading = asyncio.create_task(request.body.read_all(10**9))
            await asyncio.sleep(0.02)
            reading.cancel()  # its end comes only after the response
            await reply.send(413 if request.head.method == b"POST" else 200, Headers())

        server = HttpServer(
            address=Address(host="127.0.0.1", port=0), handler=handle, limits=lambda: limits
        )
        assert (await server.start()).is_ok()
        return server

    # Guards against a cancelled reader of a body that clears the waiter of the next reader.
    async def test_leave_the_connection_in_use(self):
        server = await self.start(HttpLimits())
        caller = await RawCaller.connect(server.address)
        for _ in range(3):
            await caller.send(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
            assert (await caller.read_answer())[0].startswith(b"HTTP/1.1 413")
            await asyncio.sleep(0.05)
            await caller.send(b"cd")
            await caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await caller.read_answer())[0].startswith(b"HTTP/1.1 200")
        caller.close()
        await server.stop()

    # Guards against a caller that never sends the rest of its body and keeps the connection.
    async def test_close_the_connection_if_the_rest_does_not_come(self):
        server = await self.start(HttpLimits(idle_timeout_ms=300))
        caller = await RawCaller.connect(server.address)
        await caller.send(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
        await caller.read_answer()
        assert await caller.read_to_end() == b""
        await server.stop()

    # Guards against a stop that waits for the rest of a body whose response was sent.
    async def test_do_not_hold_up_a_stop(self):
        server = await self.start(HttpLimits(idle_timeout_ms=60_000))
        caller = await RawCaller.connect(server.address)
        await caller.send(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
        await caller.read_answer()
        server.announce_close()
        server.stop_accepting()
        assert await server.wait_idle(asyncio.get_running_loop().time() + 3.0)
        await server.stop()


class TestShutdown:
    async def test_announces_end_of_connection_to_callers(self, server, recorder):
        caller = await RawCaller.connect(server.address)
        await caller.send(b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n")
        head, _ = await caller.read_answer()
        assert b"Connection: close" not in head
        server.announce_close()
        await caller.send(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
        head, _ = await caller.read_answer()
        assert b"Connection: close" in head
        assert await caller.read_to_end() == b""

    async def test_closes_idle_connections_and_accepts_no_new_ones(self, server, recorder):
        caller = await RawCaller.connect(server.address)
        await caller.send(b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n")
        await caller.read_answer()
        await eventually(lambda: server.busy_count == 0)
        server.stop_accepting()
        assert await caller.read_to_end() == b""
        with pytest.raises(OSError):
            await RawCaller.connect(server.address)

    # Guards against: stopping the server drops the part of a response that was not read yet.
    async def test_waits_for_caller_that_reads_slowly(self):
        sent = 0

        async def handle(request: IncomingRequest, reply: ReplyWriter) -> None:
            nonlocal sent
            reply.start(200, Headers())
            while not any(connection.has_unsent_bytes for connection in server._connections):
                await reply.write(bytes(4096))
                sent += 4096
            reply.finish()

        server = HttpServer(address=Address(host="127.0.0.1", port=0), handler=handle)
        assert (await server.start()).is_ok()
        reader, writer = await asyncio.open_connection(server.address.host, server.address.port)
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.0\r\nHost: x\r\n\r\n")
        await eventually(lambda: sent and not any(one.busy for one in server._connections))

        async def read() -> bytes:
            await asyncio.sleep(0.3)
            writer.transport.resume_reading()
            return await reader.read()

        reading = asyncio.create_task(read())
        assert await server.wait_idle(asyncio.get_running_loop().time() + 10.0)
        await server.stop()
        assert len(await reading) > sent
        writer.close()
