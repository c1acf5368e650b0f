"""Input that is costly to parse: it waits, and arrives whole and in order."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

from leadhollow.http1.headers import Headers
from leadhollow.http1.incoming_request import IncomingRequest
from leadhollow.http1.input_throttle import InputThrottle
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.overload.parsing import ParsingBudget
from leadhollow.settings.address import Address
from tests.raw_http import RawCaller
from tests.support import eventually

HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
NEXT = b"GET /next HTTP/1.1\r\nHost: x\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
STEP_BYTES = 2_000


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


class FakeParser:
    """Takes note of the steps in which it gets input; each of its bytes is a part."""

    def __init__(self) -> None:
        self.steps: list[int] = []
        self.received = b""
        self.part_count = 0
        self.step_bytes = STEP_BYTES
        self.in_body = False

    def parse(self, data: bytes | memoryview) -> None:
        self.steps.append(len(data))
        self.received += bytes(data)
        self.part_count += len(data)


class FakeBudget(ParsingBudget):
    """Tells input to wait for given times, then for none."""

    def __init__(self) -> None:
        super().__init__(clock=lambda: 0.0)
        self.waits_s: list[float] = []

    def record(self, *, parts: int, size_bytes: int, began_s: float) -> float:
        assert parts == size_bytes
        return self.waits_s.pop(0) if self.waits_s else 0.0


class FakeTransport:
    def __init__(self) -> None:
        self.reading = True
        self.closing = False

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


def make_throttle(
    parser: FakeParser, budget: ParsingBudget, transport: FakeTransport
) -> InputThrottle:
    throttle = InputThrottle(parser=parser, budget=budget)
    throttle.connect(cast("asyncio.Transport", transport))
    return throttle


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

    async def test_drops_what_waits_when_its_caller_leaves(self):
        errors: list[dict[str, object]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, error: errors.append(error))
        parser, budget, transport = FakeParser(), FakeBudget(), FakeTransport()
        throttle = make_throttle(parser, budget, transport)
        budget.waits_s = [0.01]
        throttle.feed(bytes(3 * STEP_BYTES))
        assert throttle.held_bytes() == 3 * STEP_BYTES
        transport.closing = True
        throttle.close()
        await asyncio.sleep(0.05)
        assert (throttle.held_bytes(), parser.steps, errors) == (0, [STEP_BYTES], [])

    # Guards against: a connection is read on while its input waits for its turn.
    async def test_reads_nothing_until_its_turn(self):
        parser, budget, transport = FakeParser(), FakeBudget(), FakeTransport()
        throttle = make_throttle(parser, budget, transport)
        budget.waits_s = [0.02, 0.0]
        throttle.feed(bytes(3 * STEP_BYTES))
        assert (parser.steps, transport.reading) == ([STEP_BYTES], False)
        throttle.resume()  # the reader of the body has room, which is another reason
        assert not transport.reading
        await eventually(lambda: transport.reading, "its turn")
        assert sum(parser.steps) == 3 * STEP_BYTES

    # Guards against: the end of the wait resumes reading though the reader of the body is behind.
    async def test_stays_paused_for_the_reader_of_a_body(self):
        parser, budget, transport = FakeParser(), FakeBudget(), FakeTransport()
        throttle = make_throttle(parser, budget, transport)
        budget.waits_s = [0.01]
        throttle.feed(bytes(2 * STEP_BYTES))
        throttle.pause()
        await eventually(lambda: sum(parser.steps) == 2 * STEP_BYTES, "its turn")
        assert not transport.reading
        throttle.resume()
        assert transport.reading

    # Guards against: bytes that come during a wait overtake those that wait.
    async def test_keeps_the_order_of_what_comes_during_a_wait(self):
        parser, budget = FakeParser(), FakeBudget()
        throttle = make_throttle(parser, budget, FakeTransport())
        budget.waits_s = [0.01]
        throttle.feed(b"a" * 2 * STEP_BYTES)
        throttle.feed(b"b")
        await eventually(lambda: parser.received.endswith(b"b"), "its turn")
        assert parser.received == b"a" * 2 * STEP_BYTES + b"b"


__all__: list[str] = []
