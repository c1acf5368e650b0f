"""Calls and streams between two of our processes, and how they break."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from result import Err, Ok

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.settings.address import Address
from leadhollow.wire.generated.ttypes import (
    Done,
    StateProbe,
    StateProbeReply,
    ViewUpdate,
    ViewWatch,
)
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.support import TOKEN, eventually
from tests.wire.narrow_link import NarrowLink

LARGE_BYTES = 60_000
LARGE_S = 1.2  # that a narrow link takes for it


class Pair:
    """A server and a pool that connects to it."""

    def __init__(self) -> None:
        self.handlers = HandlerTable()
        self.cancelled = False
        self.slow_calls = 0
        self.server = WireServer(
            address=Address(host="127.0.0.1", port=0), token=TOKEN, handlers=self.handlers
        )
        self.peers = self.pool(TOKEN)
        self.handlers.on_call(StateProbe, self.answer)
        self.handlers.on_stream(ViewWatch, self.count)

    def pool(self, token: str) -> PeerPool:
        return PeerPool(vm="a", failure_domain="d", token=token, handlers=HandlerTable())

    @property
    def address(self) -> str:
        return str(self.server.address)

    async def answer(self, request, connection):
        if request.vm == "refuse":
            return Err(Failure(code=Code.NO_CAPACITY, detail="none here"))
        if request.vm == "crash":
            raise ValueError("planted")
        if request.vm == "slow":
            self.slow_calls += 1
            await asyncio.sleep(30)
        return Ok(StateProbeReply(True, 5, connection.hello.vm, 0))

    async def count(self, request, sink):
        try:
            for number in range(1000 if request.vm == "long" else 3):
                await sink.send(ViewUpdate(False, [], [str(number)], []))
                if request.vm == "long":
                    await asyncio.sleep(0.01)
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        return Ok(None)


@pytest.fixture
async def pair():
    made = Pair()
    assert (await made.server.start()).is_ok()
    yield made
    await made.peers.stop()
    await made.server.stop()


class TestCalls:
    async def test_get_their_own_answers_when_many_run(self, pair):
        calls = [
            pair.peers.call(pair.address, StateProbe(name), timeout_ms=5_000)
            for name in ["x", "refuse"] * 20
        ]
        answers = await asyncio.gather(*calls)
        assert [answer.is_ok() for answer in answers] == [True, False] * 20
        assert answers[0].unwrap().leader == "a"
        assert answers[1].unwrap_err().code is Code.NO_CAPACITY

    async def test_a_crash_of_a_handler_is_a_number(self, pair):
        answer = await pair.peers.call(pair.address, StateProbe("crash"), timeout_ms=5_000)
        assert answer.unwrap_err().code is Code.INTERNAL
        assert (await pair.peers.call(pair.address, StateProbe("x"), timeout_ms=5_000)).is_ok()

    async def test_no_answer_in_time_is_a_number(self, pair):
        answer = await pair.peers.call(pair.address, StateProbe("slow"), timeout_ms=50)
        assert answer.unwrap_err().code is Code.PEER_TIMEOUT

    async def test_a_type_without_handler_is_a_number(self, pair):
        answer = await pair.peers.call(pair.address, Done(), timeout_ms=5_000)
        assert answer.unwrap_err().code is Code.FRAME_TYPE_UNKNOWN

    async def test_a_lost_connection_ends_waiting_calls(self, pair):
        waiting = asyncio.ensure_future(
            pair.peers.call(pair.address, StateProbe("slow"), timeout_ms=20_000)
        )
        await eventually(lambda: pair.slow_calls, "the call to arrive")
        connection = (await pair.peers.connection(pair.address)).unwrap()
        connection.close()
        assert (await waiting).unwrap_err().code is Code.PEER_LOST


class TestStreams:
    async def test_come_in_order_and_end(self, pair):
        stream = (await pair.peers.connection(pair.address)).unwrap().stream(ViewWatch("x"))
        seen = []
        while (update := (await stream.next()).unwrap()) is not None:
            seen += update.removed
        assert seen == ["0", "1", "2"]

    async def test_a_cancelled_one_stops_at_the_server(self, pair):
        stream = (await pair.peers.connection(pair.address)).unwrap().stream(ViewWatch("long"))
        await stream.next()
        stream.cancel()
        await eventually(lambda: pair.cancelled, "the handler to stop")


class TestALargeBody:
    """A body that a narrow link carries for longer than a peer may be silent."""

    async def take(self, pair, *, stands_still_after: int = 10**9):
        async def send_large(request, sink):
            await sink.send(ViewUpdate(False, [], ["x" * LARGE_BYTES], []))
            await asyncio.sleep(30)

        pair.handlers.on_stream(ViewWatch, send_large)
        link = NarrowLink(target=pair.server.address.port, bytes_per_s=LARGE_BYTES / LARGE_S)
        await link.start()
        connection = (await pair.peers.connection(link.address)).unwrap()
        stream = connection.stream(ViewWatch("large"))
        taking = asyncio.ensure_future(stream.next(timeout_ms=1000 * LARGE_S / 3))
        while not taking.done() and link.passed < stands_still_after:
            await asyncio.sleep(0.01)
        link.stands_still = link.passed >= stands_still_after
        taken = await taking
        await pair.peers.stop()
        await link.stop()
        return taken

    async def test_is_waited_for_while_it_comes(self, pair):
        taken = await self.take(pair)
        assert len(taken.unwrap().removed[0]) == LARGE_BYTES

    async def test_that_comes_no_further_is_given_up(self, pair):
        taken = await self.take(pair, stands_still_after=LARGE_BYTES // 2)
        assert taken.unwrap_err().code is Code.PEER_TIMEOUT

    async def test_that_does_not_begin_is_given_up(self, pair):
        stream = (await pair.peers.connection(pair.address)).unwrap().stream(ViewWatch("long"))
        for _ in range(3):
            assert (await stream.next(timeout_ms=1_000)).is_ok()

        async def send_nothing(request, sink):
            await asyncio.sleep(30)

        pair.handlers.on_stream(ViewWatch, send_nothing)
        silent = (await pair.peers.connection(pair.address)).unwrap().stream(ViewWatch("x"))
        assert (await silent.next(timeout_ms=100)).unwrap_err().code is Code.PEER_TIMEOUT


class TestGreeting:
    async def test_a_wrong_token_is_refused(self, pair):
        stranger = pair.pool("another-token-entirely")
        refused = await stranger.call(pair.address, StateProbe("x"), timeout_ms=5_000)
        assert refused.unwrap_err().code is Code.PEER_REFUSED
        await stranger.stop()

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\n\r\n",
            struct.pack(">I", 2**31),
            struct.pack(">I", 5) + b"\xff\xfe\xfd\xfc\xfb",
            struct.pack(">I", 0),
            b"\x00",
        ],
    )
    async def test_noise_ends_only_its_own_connection(self, pair, data):
        reader, writer = await asyncio.open_connection(
            pair.server.address.host, pair.server.address.port
        )
        writer.write(data)
        writer.write_eof()
        await asyncio.wait_for(reader.read(), 10)
        writer.close()
        assert (await pair.peers.call(pair.address, StateProbe("x"), timeout_ms=5_000)).is_ok()


class TestCut:
    async def test_refuses_and_heals(self, pair):
        pair.peers.cut({pair.address})
        lost = await pair.peers.call(pair.address, StateProbe("x"), timeout_ms=1_000)
        assert lost.unwrap_err().code is Code.PEER_LOST
        pair.peers.cut(set())

        async def reached():
            return (await pair.peers.call(pair.address, StateProbe("x"), timeout_ms=1_000)).is_ok()

        await eventually(reached, "the peer again")


class TestEndOfTheLoop:
    def test_with_a_peer_connected_is_no_fault(self):
        faults: list[dict[str, object]] = []

        async def run() -> None:
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: faults.append(context)
            )
            pair = Pair()
            assert (await pair.server.start()).is_ok()
            assert (await pair.peers.connection(pair.address)).is_ok()

        asyncio.run(run())
        assert not faults


class TestStop:
    async def test_ends_a_connection_that_was_accepted_just_now(self):
        """Seen in a drawn run with suspended hosts: its task had not begun when all were closed."""
        handlers = HandlerTable()
        listen = Address(host="127.0.0.1", port=0)
        server = WireServer(address=listen, token=TOKEN, handlers=handlers)
        assert (await server.start()).is_ok()
        ours, theirs = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=ours)
        stopping = asyncio.create_task(server.stop())
        server._on_accept(reader, writer)
        await asyncio.wait_for(stopping, 2)
        theirs.close()
