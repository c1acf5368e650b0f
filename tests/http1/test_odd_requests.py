"""Callers' requests that are joined, pipelined without end, or have a rest without end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from leadhollow.http1.headers import Headers
from leadhollow.http1.incoming_request import HttpLimits, IncomingRequest
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.settings.address import Address
from tests.raw_http import RawCaller

LIMITS = HttpLimits(header_bytes=1024, body_bytes=10_000, header_timeout_ms=2_000)
HOST = b"Host: x\r\n"
CHUNKED = b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
ENOUGH_BYTES = 40 * 1024 * 1024  # more than sockets buffer


class Handler:
    """Answers each request with its target, once ``gate`` is set.

    Attributes
    ----------
    fields
        Names of the header fields of each request, after its body was read.
    """

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.gate.set()
        self.targets: list[bytes] = []
        self.fields: list[list[bytes]] = []
        self.replies: list[ReplyWriter] = []

    async def __call__(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        self.targets.append(request.head.target)
        self.replies.append(reply)
        await self.gate.wait()
        while (await request.body.read()).unwrap_or(b""):
            pass
        self.fields.append([name for name, _ in request.head.headers])
        reply.start(200, Headers())
        await reply.write(request.head.target)
        reply.finish()


@pytest.fixture
async def handler() -> Handler:
    return Handler()


@pytest.fixture
async def caller(handler) -> AsyncIterator[RawCaller]:
    address = Address(host="127.0.0.1", port=0)
    server = HttpServer(address=address, handler=handler, limits=lambda: LIMITS)
    assert (await server.start()).is_ok()
    connected = await RawCaller.connect(server.address)
    yield connected
    connected.close()
    handler.gate.set()
    await server.stop()


async def status_and_rest(caller: RawCaller) -> tuple[bytes, bytes]:
    response = await caller.read_to_end()
    return response[9:12], response


async def send_without_end(caller: RawCaller, piece: bytes) -> int:
    """Send a piece again and again until the connection ends; return how many bytes went out."""
    sent = 0
    try:
        async with asyncio.timeout(5):
            while sent < ENOUGH_BYTES:
                await caller.send(piece)
                sent += len(piece)
    except (OSError, TimeoutError):
        pass
    return sent


class TestJoinedHeads:
    # Guards against: a head that was cut and the next one become one request, with the target of
    # the first and the fields of the second.
    @pytest.mark.parametrize("cut", range(len(b"GET /1 HTTP/1.1\r\nHost: x\r\nX-A: b\r\n\r\n")))
    async def test_are_refused(self, caller, handler, cut):
        first = b"GET /1 HTTP/1.1\r\nHost: x\r\nX-A: b\r\n\r\n"[:cut]
        await caller.send(first + b"GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        await caller.read_to_end()
        assert handler.targets in ([], [b"/2"])

    # Guards against: common field values are taken for a request line.
    @pytest.mark.parametrize("value", [b"HTTP/1.1", b"1.1 proxy", b"see HTTP/1.1 and more", b"a"])
    async def test_are_not_seen_in_common_values(self, caller, handler, value):
        head = b"GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nVia: " + value + b"\r\n\r\n"
        await caller.send(head)
        assert (await status_and_rest(caller))[0] == b"200"


class TestEmptyLines:
    # Guards against: empty lines without end keep an entry busy for ever.
    async def test_without_end_are_refused(self, caller, handler):
        sent = await send_without_end(caller, b"\r\n" * 2_000)
        assert sent < ENOUGH_BYTES
        assert handler.targets == []

    async def test_before_a_request_are_skipped(self, caller):
        await caller.send(b"\r\n" * 20 + b"GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        assert (await status_and_rest(caller))[0] == b"200"


class TestPipelinedRequests:
    # Guards against: requests behind one that waits fill an entry's memory.
    async def test_have_a_bound(self, caller, handler):
        handler.gate.clear()
        await caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 500)
        handler.gate.set()
        response = await caller.read_to_end()
        assert response.count(b"HTTP/1.1 200 ") == len(handler.targets) < 100
        assert response.count(b"HTTP/1.1 429 ") == 1
        assert response.rindex(b"HTTP/1.1 429 ") == response.rindex(b"HTTP/1.1 ")

    # Guards against: a head behind another request passes the limit of heads.
    async def test_have_the_limit_of_heads(self, caller, handler):
        long = b"GET /2 HTTP/1.1\r\nHost: x\r\nX-Long: " + b"a" * 20_000 + b"\r\n\r\n"
        await caller.send(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n" + long)
        response = await caller.read_to_end()
        assert handler.targets == [b"/1"]
        assert b"HTTP/1.1 431 " in response


class TestRestOfABody:
    # Guards against: trailers get to the backend as header fields, past all checks of a head.
    async def test_adds_no_header_fields(self, caller, handler):
        await caller.send(CHUNKED + b"1\r\na\r\n0\r\nX-Tenant: other\r\nHost: y\r\n\r\n")
        await caller.read_until(b"0\r\n\r\n")
        assert handler.fields == [[b"Host", b"Transfer-Encoding"]]

    # Guards against: trailers or extensions of chunks without end are read on and on.
    @pytest.mark.parametrize(
        ("start", "piece"),
        [
            (b"1\r\na\r\n0\r\n", b"X-Trailer: a\r\n" * 100),
            (b"1\r\na\r\n0\r\nX-Long: ", b"a" * 1_000),
            (b"1\r\na\r\n1;", b"a" * 1_000),
            (b"1\r\na\r\n1;a=", b"b" * 1_000),
        ],
    )
    async def test_has_a_bound(self, caller, handler, start, piece):
        await caller.send(CHUNKED + start)
        assert await send_without_end(caller, piece) < ENOUGH_BYTES


class TestLateAnswer:
    # Guards against: an answer that is written after its request has ended becomes a part of the
    # answer to the next request.
    async def test_is_not_written(self, caller, handler):
        await caller.send(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
        await caller.read_until(b"0\r\n\r\n")
        late = handler.replies[0]
        await late.write(b"late")
        late.start(200, Headers(), content_length=0)
        await late.send(504, Headers())
        await caller.send(b"GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        response = await caller.read_to_end()
        assert response.count(b"HTTP/1.1") == 1
        assert response.endswith(b"\r\n\r\n2\r\n/2\r\n0\r\n\r\n")


__all__: list[str] = []
