"""Input that is costly to parse: it waits, and arrives whole and in order."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from leadhollow.http1.headers import Headers
from leadhollow.http1.incoming_request import IncomingRequest
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.settings.address import Address
from tests.raw_http import RawCaller

HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
NEXT = b"GET /next HTTP/1.1\r\nHost: x\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


async def answer_digest(request: IncomingRequest, reply: ReplyWriter) -> None:
    """Answer the digest of the body."""
    body = (await request.body.read_all(10_000_000)).unwrap()
    await reply.send(200, Headers(), hashlib.sha256(body).hexdigest().encode())


@asynccontextmanager
async def serving() -> AsyncIterator[HttpServer]:
    server = HttpServer(address=Address(host="127.0.0.1", port=0), handler=answer_digest)
    assert (await server.start()).is_ok()
    try:
        yield server
    finally:
        await server.stop()


def chunked(
    source: random.Random, *, sizes: tuple[int, ...], total_bytes: int
) -> tuple[bytes, str]:
    """Return chunks of random sizes, and the digest of their content."""
    chunks, digest, left = [], hashlib.sha256(), total_bytes
    while left > 0:
        data = source.randbytes(min(left, source.choice(sizes)))
        digest.update(data)
        chunks.append(b"%x\r\n%b\r\n" % (len(data), data))
        left -= len(data)
    return b"".join(chunks), digest.hexdigest()


class TestInputThrottle:
    # Guards against: bytes that wait for their turn are lost, doubled or overtaken.
    async def test_passes_all_bytes_on_in_order(self):
        source = random.Random(79)
        async with serving() as server:
            for sizes in ((1, 2), (1, 2, 40_000), (3, 200), (100_000,)):
                data, digest = chunked(source, sizes=sizes, total_bytes=150_000)
                caller = await RawCaller.connect(server.address)
                await caller.send(HEAD + data + LAST_CHUNK + NEXT)
                _, body = await caller.read_answer()
                assert body.decode() == digest
                _, body = await caller.read_answer()
                assert body.decode() == hashlib.sha256().hexdigest()
                caller.close()

    async def test_serves_others_while_some_wait(self):
        source = random.Random(80)
        data, digest = chunked(source, sizes=(2,), total_bytes=60_000)
        async with serving() as server:
            callers = [await RawCaller.connect(server.address) for _ in range(8)]
            for caller in callers:
                await caller.send(HEAD + data + LAST_CHUNK)
            ordinary = await RawCaller.connect(server.address)
            await ordinary.send(NEXT)
            assert (await ordinary.read_answer())[0][9:12] == b"200"
            for caller in callers:
                assert (await caller.read_answer())[1].decode() == digest
                caller.close()
            ordinary.close()

    async def test_callers_may_leave_while_they_wait(self):
        source = random.Random(81)
        data, _ = chunked(source, sizes=(2,), total_bytes=60_000)
        async with serving() as server:
            for _ in range(5):
                caller = await RawCaller.connect(server.address)
                await caller.send(HEAD + data)
                await asyncio.sleep(0.005)
                caller.reset()
            ordinary = await RawCaller.connect(server.address)
            await ordinary.send(NEXT)
            assert (await ordinary.read_answer())[0][9:12] == b"200"
            ordinary.close()


__all__: list[str] = []
