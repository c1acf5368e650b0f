"""A server that bounds what its callers hold, and how many there are."""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from leadhollow.http1.headers import Headers
from leadhollow.http1.incoming_request import HttpLimits, IncomingRequest
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.kernel.active_time import deadline_at
from leadhollow.overload.memory import CallerMemory
from leadhollow.settings.address import Address
from tests.raw_http import RawCaller
from tests.support import collections_paused, eventually

HOST = b"Host: x\r\n"
LIMITS = HttpLimits(body_bytes=1_000_000, idle_timeout_ms=30_000)
LONG_BYTES = 500_000


class Handler:
    """Reads each body whole, answers its failure or its size, or waits for ``gate``."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.begun = 0

    async def __call__(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        self.begun += 1
        if request.head.path == "/early":
            await reply.send(413, Headers())
            return
        if request.head.path == "/wait":
            await self.gate.wait()
        read = await request.body.read_all(LIMITS.body_bytes)
        if read.is_err():
            failure = read.unwrap_err()
            await reply.send(failure.code.http_status, Headers(), str(int(failure.code)).encode())
            return
        await reply.send(200, Headers(), b"%d" % len(read.unwrap()))


@asynccontextmanager
async def serving(
    handler: Handler, *, limit_bytes: int = 64 * 1024 * 1024, max_connections: int | None = None
) -> AsyncIterator[HttpServer]:
    server = HttpServer(
        address=Address(host="127.0.0.1", port=0),
        handler=handler,
        limits=lambda: LIMITS,
        memory=CallerMemory(limit_bytes=limit_bytes),
        max_connections=max_connections,
    )
    assert (await server.start()).is_ok()
    try:
        yield server
    finally:
        handler.gate.set()
        await server.stop()


async def start_long(server: HttpServer) -> RawCaller:
    """Send half of a long body and stop."""
    caller = await RawCaller.connect(server.address)
    await caller.send(b"POST /a HTTP/1.1\r\n" + HOST + b"Content-Length: %d\r\n\r\n" % LONG_BYTES)
    await caller.send(bytes(LONG_BYTES // 2))
    return caller


class TestBoundInMemory:
    # Guards against: the refusal of a request that was not sent on does not say so.
    async def test_refuses_a_body_that_stands_still(self):
        async with serving(Handler(), limit_bytes=600_000) as server:
            still = await start_long(server)
            await asyncio.sleep(0.2)
            others = [await start_long(server) for _ in range(2)]
            head, body = await still.read_answer()
            assert (head[9:12], body) == (b"503", b"415")
            assert await still.read_to_end() == b""
            for caller in (still, *others):
                caller.close()

    async def test_serves_the_largest_body_in_calm(self):
        async with serving(Handler(), limit_bytes=600_000) as server:
            caller = await start_long(server)
            await caller.send(bytes(LONG_BYTES - LONG_BYTES // 2))
            head, body = await caller.read_answer()
            assert (head[9:12], body) == (b"200", b"%d" % LONG_BYTES)
            caller.close()

    # Guards against: a refused body is read for as long as it comes.
    async def test_reads_no_more_of_a_refused_body_than_a_body_may_have(self):
        async with serving(Handler()) as server:
            caller = await RawCaller.connect(server.address)
            await caller.send(b"POST /early HTTP/1.1\r\n" + HOST)
            await caller.send(b"Content-Length: 1000000000000\r\n\r\n")
            sent = 0
            try:
                async with asyncio.timeout(10):
                    while sent < 100_000_000:
                        await caller.send(bytes(100_000))
                        sent += 100_000
            except OSError:
                pass
            assert sent < 100_000_000


class Held:
    """What a handler holds for a request."""

    def held_bytes(self) -> int:
        return LONG_BYTES

    def free(self) -> None:
        pass


async def wait_under(_: asyncio.Timeout) -> None:
    """Wait for ever; the frame refers to the timeout, as that of a forwarder does."""
    await asyncio.Event().wait()


class TestCallerThatLeaves:
    # Guards against: the error of a cancelled task, or the connection that has ended, keeps what
    # its request held until a collection of garbage.
    async def test_leaves_nothing_of_its_request(self):
        held: list[weakref.ref[Held]] = []

        async def hold(request: IncomingRequest, reply: ReplyWriter) -> None:
            local, used = Held(), Held()
            held.extend((weakref.ref(local), weakref.ref(used)))
            request.uses.append(used)
            async with deadline_at(asyncio.get_running_loop().time() + 60) as limit:
                await wait_under(limit)

        def all_freed() -> bool:
            return bool(held) and all(each() is None for each in held)

        server = HttpServer(address=Address(host="127.0.0.1", port=0), handler=hold)
        assert (await server.start()).is_ok()
        with collections_paused():
            caller = await RawCaller.connect(server.address)
            await caller.send(b"GET /a HTTP/1.1\r\n" + HOST + b"\r\n")
            await eventually(lambda: len(held) == 2, "a request in progress")
            caller.reset()
            await eventually(all_freed, "the end of all that the request held")
        await server.stop()


class TestBoundInNumber:
    # Guards against: connections that send nothing keep others out.
    async def test_closes_the_connection_that_was_silent_for_longest(self):
        async with serving(Handler(), max_connections=3) as server:
            silent = [await RawCaller.connect(server.address) for _ in range(3)]
            caller = await RawCaller.connect(server.address)
            await caller.send(b"GET /a HTTP/1.1\r\n" + HOST + b"\r\n")
            assert (await caller.read_answer())[0][9:12] == b"200"
            assert await silent[0].read_to_end() == b""
            for each in (caller, *silent):
                each.close()

    # Guards against: a caller whose request is served makes room for another one.
    async def test_refuses_new_connections_while_all_are_served(self):
        handler = Handler()
        async with serving(handler, max_connections=2) as server:
            served = [await RawCaller.connect(server.address) for _ in range(2)]
            for caller in served:
                await caller.send(b"GET /wait HTTP/1.1\r\n" + HOST + b"\r\n")
            await eventually(lambda: handler.begun == 2, "two requests in progress")
            refused = await RawCaller.connect(server.address)
            with suppress(ConnectionResetError):
                assert await refused.read_to_end() == b""
            handler.gate.set()
            for caller in served:
                assert (await caller.read_answer())[0][9:12] == b"200"
                caller.close()


__all__: list[str] = []
