"""Tests of calls and streams between two processes, including failures."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from result import Err, Ok

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.settings.address import Address
from leadhollow.wire.codec import MAX_FRAME_BYTES, Frame
from leadhollow.wire.generated.ttypes import (
    Done,
    StateProbe,
    StateProbeReply,
    ViewUpdate,
    ViewWatch,
)
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.messages import FrameKind
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.support import TOKEN, eventually
from tests.wire.narrow_link import NarrowLink

LARGE_BYTES = 60_000
LARGE_S = 1.2  # transfer time of LARGE_BYTES over the narrow link


class ServerAndPool:
    """A server and a pool that connects to it."""

    def __init__(self) -> None:
        self.handlers = HandlerTable()
        self.cancelled = False
        self.slow_calls = 0
        self.server = WireServer(
            address=Address(host="127.0.0.1", port=0), token=TOKEN, handlers=self.handlers
        )
        self.peers = self.pool(TOKEN)
        self.handlers.on_call(StateProbe, self.response)
        self.handlers.on_stream(ViewWatch, self.stream_numbers)

    def pool(self, token: str) -> PeerPool:
        return PeerPool(vm="a", failure_domain="d", token=token, handlers=HandlerTable())

    @property
    def address(self) -> str:
        return str(self.server.address)

    async def response(self, request, connection):
        if request.vm == "refuse":
            return Err(Failure(code=Code.NO_CAPACITY, detail="none here"))
        if request.vm == "crash":
            raise ValueError("planted")
        if request.vm == "slow":
            self.slow_calls += 1
            await asyncio.sleep(30)
        return Ok(StateProbeReply(True, 5, connection.hello.vm, 0))

    async def stream_numbers(self, request, sink):
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
async def server_and_pool():
    created = ServerAndPool()
    assert (await created.server.start()).is_ok()
    yield created
    await created.peers.stop()
    await created.server.stop()


class TestCalls:
    async def test_that_run_concurrently_get_their_own_responses(self, server_and_pool):
        calls = [
            server_and_pool.peers.call(server_and_pool.address, StateProbe(name), timeout_ms=5_000)
            for name in ["x", "refuse"] * 20
        ]
        responses = await asyncio.gather(*calls)
        assert [response.is_ok() for response in responses] == [True, False] * 20
        assert responses[0].unwrap().leader == "a"
        assert responses[1].unwrap_err().code is Code.NO_CAPACITY

    async def test_exception_of_handler_returns_internal_failure(self, server_and_pool):
        response = await server_and_pool.peers.call(
            server_and_pool.address, StateProbe("crash"), timeout_ms=5_000
        )
        assert response.unwrap_err().code is Code.INTERNAL
        assert (
            await server_and_pool.peers.call(
                server_and_pool.address, StateProbe("x"), timeout_ms=5_000
            )
        ).is_ok()

    async def test_late_response_returns_timeout_failure(self, server_and_pool):
        response = await server_and_pool.peers.call(
            server_and_pool.address, StateProbe("slow"), timeout_ms=50
        )
        assert response.unwrap_err().code is Code.PEER_TIMEOUT

    # Guards against: the late response to a call that timed out, or a second response to one, is
    # taken for the response to a later call, on this connection or on the next one.
    @pytest.mark.parametrize("reconnect", [False, True])
    async def test_get_no_response_to_another_call(self, server_and_pool, reconnect):
        made = server_and_pool
        connections = []

        async def answer(request, connection):
            connections.append(connection)
            if request.vm == "late":
                await asyncio.sleep(0.1)
            for call_id in range(6):  # second and premature responses
                second = StateProbeReply(True, 5, "second", 0)
                if call_id != len(connections):
                    connection.write(Frame(kind=FrameKind.RESPONSE, call_id=call_id, body=second))
            return Ok(StateProbeReply(True, 5, request.vm, 0))

        made.handlers.on_call(StateProbe, answer)
        late = await made.peers.call(made.address, StateProbe("late"), timeout_ms=30)
        assert late.unwrap_err().code is Code.PEER_TIMEOUT
        if reconnect:
            connections[0].close()
            await asyncio.sleep(0.05)
            connections.clear()
        for name in ("a", "b", "c"):
            found = await made.peers.call(made.address, StateProbe(name), timeout_ms=5_000)
            assert found.unwrap().leader == name
            await asyncio.sleep(0.05)

    async def test_type_without_handler_returns_failure(self, server_and_pool):
        response = await server_and_pool.peers.call(
            server_and_pool.address, Done(), timeout_ms=5_000
        )
        assert response.unwrap_err().code is Code.FRAME_TYPE_UNKNOWN

    async def test_closed_connection_fails_pending_calls(self, server_and_pool):
        waiting = asyncio.ensure_future(
            server_and_pool.peers.call(
                server_and_pool.address, StateProbe("slow"), timeout_ms=20_000
            )
        )
        await eventually(lambda: server_and_pool.slow_calls, "the call to arrive")
        connection = (await server_and_pool.peers.connection(server_and_pool.address)).unwrap()
        connection.close()
        assert (await waiting).unwrap_err().code is Code.PEER_LOST


class TestStreams:
    async def test_return_items_in_order_and_end(self, server_and_pool):
        stream = (
            (await server_and_pool.peers.connection(server_and_pool.address))
            .unwrap()
            .stream(ViewWatch("x"))
        )
        seen = []
        while (update := (await stream.next()).unwrap()) is not None:
            seen += update.removed
        assert seen == ["0", "1", "2"]

    async def test_cancelled_stream_cancels_handler_at_server(self, server_and_pool):
        stream = (
            (await server_and_pool.peers.connection(server_and_pool.address))
            .unwrap()
            .stream(ViewWatch("long"))
        )
        await stream.next()
        stream.cancel()
        await eventually(lambda: server_and_pool.cancelled, "the handler to stop")


class TestTooLargeFrame:
    """A frame above the limit, which the peer would answer by closing the connection."""

    # Guards against a sender that never learns why its connection ends.
    async def test_request_is_refused_and_the_connection_goes_on(self, server_and_pool, caplog):
        caplog.set_level("ERROR", logger="absl")
        connection = (await server_and_pool.peers.connection(server_and_pool.address)).unwrap()
        body = StateProbe("x" * (MAX_FRAME_BYTES + 1))
        refused = await connection.call(body, timeout_ms=5_000)
        assert refused.unwrap_err().code is Code.FRAME_TOO_LARGE
        streamed = await connection.stream(ViewWatch(body.vm)).next(timeout_ms=5_000)
        assert streamed.unwrap_err().code is Code.FRAME_TOO_LARGE
        assert (await connection.call(StateProbe("x"), timeout_ms=5_000)).is_ok()
        logged = next(record for record in caplog.records if "too large" in record.message)
        assert logged.fields["body"] == "StateProbe"
        assert logged.fields["size_bytes"] > MAX_FRAME_BYTES

    async def test_response_is_refused_and_the_caller_learns_it(self, server_and_pool):
        async def respond(request, connection):
            return Ok(StateProbeReply(True, 5, "x" * (MAX_FRAME_BYTES + 1), 0))

        server_and_pool.handlers.on_call(StateProbe, respond)
        connection = (await server_and_pool.peers.connection(server_and_pool.address)).unwrap()
        refused = await connection.call(StateProbe("x"), timeout_ms=5_000)
        assert refused.unwrap_err().code is Code.FRAME_TOO_LARGE
        assert server_and_pool.handlers.traffic.frames_refused == 1
        assert not connection.closed.is_set()

    async def test_item_is_refused_and_its_stream_ends(self, server_and_pool):
        async def send(request, sink):
            try:
                await sink.send(ViewUpdate(False, [], ["x" * (MAX_FRAME_BYTES + 1)], []))
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                server_and_pool.cancelled = True
                raise

        server_and_pool.handlers.on_stream(ViewWatch, send)
        connection = (await server_and_pool.peers.connection(server_and_pool.address)).unwrap()
        received = await connection.stream(ViewWatch("x")).next(timeout_ms=5_000)
        assert received.unwrap_err().code is Code.FRAME_TOO_LARGE
        await eventually(lambda: server_and_pool.cancelled, "the handler to stop")


class TestLargeBody:
    """A body whose transfer over a narrow link takes longer than the timeout for silence."""

    async def receive(self, server_and_pool, *, blocked_after: int = 10**9):
        async def send_large(request, sink):
            await sink.send(ViewUpdate(False, [], ["x" * LARGE_BYTES], []))
            await asyncio.sleep(30)

        server_and_pool.handlers.on_stream(ViewWatch, send_large)
        link = NarrowLink(
            target=server_and_pool.server.address.port, bytes_per_s=LARGE_BYTES / LARGE_S
        )
        await link.start()
        connection = (await server_and_pool.peers.connection(link.address)).unwrap()
        stream = connection.stream(ViewWatch("large"))
        receiving = asyncio.ensure_future(stream.next(timeout_ms=1000 * LARGE_S / 3))
        while not receiving.done() and link.forwarded_bytes < blocked_after:
            await asyncio.sleep(0.01)
        link.blocked = link.forwarded_bytes >= blocked_after
        received = await receiving
        await server_and_pool.peers.stop()
        await link.stop()
        return received

    async def test_is_received_while_bytes_arrive(self, server_and_pool):
        received = await self.receive(server_and_pool)
        assert len(received.unwrap().removed[0]) == LARGE_BYTES

    async def test_that_stops_midway_times_out(self, server_and_pool):
        received = await self.receive(server_and_pool, blocked_after=LARGE_BYTES // 2)
        assert received.unwrap_err().code is Code.PEER_TIMEOUT

    async def test_that_does_not_start_times_out(self, server_and_pool):
        stream = (
            (await server_and_pool.peers.connection(server_and_pool.address))
            .unwrap()
            .stream(ViewWatch("long"))
        )
        for _ in range(3):
            assert (await stream.next(timeout_ms=1_000)).is_ok()

        async def send_nothing(request, sink):
            await asyncio.sleep(30)

        server_and_pool.handlers.on_stream(ViewWatch, send_nothing)
        silent = (
            (await server_and_pool.peers.connection(server_and_pool.address))
            .unwrap()
            .stream(ViewWatch("x"))
        )
        assert (await silent.next(timeout_ms=100)).unwrap_err().code is Code.PEER_TIMEOUT


class TestHandshake:
    async def test_with_wrong_token_is_rejected(self, server_and_pool):
        other_pool = server_and_pool.pool("another-token-entirely")
        refused = await other_pool.call(server_and_pool.address, StateProbe("x"), timeout_ms=5_000)
        assert refused.unwrap_err().code is Code.PEER_REFUSED
        await other_pool.stop()

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
    async def test_malformed_bytes_close_only_their_own_connection(self, server_and_pool, data):
        reader, writer = await asyncio.open_connection(
            server_and_pool.server.address.host, server_and_pool.server.address.port
        )
        writer.write(data)
        writer.write_eof()
        await asyncio.wait_for(reader.read(), 10)
        writer.close()
        assert (
            await server_and_pool.peers.call(
                server_and_pool.address, StateProbe("x"), timeout_ms=5_000
            )
        ).is_ok()


class TestCutAddresses:
    async def test_are_unreachable_until_cut_is_lifted(self, server_and_pool):
        server_and_pool.peers.cut({server_and_pool.address})
        lost = await server_and_pool.peers.call(
            server_and_pool.address, StateProbe("x"), timeout_ms=1_000
        )
        assert lost.unwrap_err().code is Code.PEER_LOST
        server_and_pool.peers.cut(set())

        async def reached():
            return (
                await server_and_pool.peers.call(
                    server_and_pool.address, StateProbe("x"), timeout_ms=1_000
                )
            ).is_ok()

        await eventually(reached, "the peer again")


class TestEndOfLoop:
    def test_with_connected_peer_reports_no_error(self):
        errors: list[dict[str, object]] = []

        async def run() -> None:
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: errors.append(context)
            )
            server_and_pool = ServerAndPool()
            assert (await server_and_pool.server.start()).is_ok()
            assert (await server_and_pool.peers.connection(server_and_pool.address)).is_ok()

        asyncio.run(run())
        assert not errors


class TestStop:
    async def test_closes_connection_whose_task_has_not_started(self):
        """Guards against: stop() waits forever for a connection accepted just before.

        The task of such a connection starts only after the others were closed. This occurred in a
        randomised run with suspended hosts.
        """
        handlers = HandlerTable()
        listen = Address(host="127.0.0.1", port=0)
        server = WireServer(address=listen, token=TOKEN, handlers=handlers)
        assert (await server.start()).is_ok()
        local_socket, remote_socket = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=local_socket)
        stopping = asyncio.create_task(server.stop())
        server._on_accept(reader, writer)
        await asyncio.wait_for(stopping, 2)
        remote_socket.close()
