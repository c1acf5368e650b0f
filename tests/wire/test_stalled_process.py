"""Tests that a process does not mistake a stall of its own event loop for a silent peer."""

from __future__ import annotations

import asyncio

import pytest
from result import Ok

from leadhollow.settings.address import Address
from leadhollow.wire.generated.ttypes import StateProbe, StateProbeReply, ViewUpdate, ViewWatch
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.other_loop import LOOPS, OtherLoop, hold_up, run_on
from tests.support import TOKEN

STALL_S = 1.5  # above every timeout in these tests
TIMEOUT_MS = 900.0
ITEM_INTERVAL_S = 0.1


class Peer:
    """Server on its own event loop, which responds and streams items at a fixed interval."""

    def __init__(self, other_loop: OtherLoop) -> None:
        self._other_loop = other_loop
        handlers = HandlerTable()
        handlers.on_call(StateProbe, self._respond)
        handlers.on_stream(ViewWatch, self._stream_items)
        self._server = WireServer(
            address=Address(host="127.0.0.1", port=0), token=TOKEN, handlers=handlers
        )
        assert other_loop.run(self._server.start()).is_ok()
        self.address = str(self._server.address)

    def stop(self) -> None:
        self._other_loop.run(self._server.stop())

    async def _respond(self, request, connection):
        await asyncio.sleep(ITEM_INTERVAL_S)
        return Ok(StateProbeReply(True, 5, "peer", 0))

    async def _stream_items(self, request, sink):
        while True:
            await sink.send(ViewUpdate(False, [], ["beat"], []))
            await asyncio.sleep(ITEM_INTERVAL_S)


@pytest.fixture
def peer():
    with OtherLoop() as other_loop:
        created = Peer(other_loop)
        yield created
        created.stop()


def pool() -> PeerPool:
    return PeerPool(vm="a", failure_domain="d", token=TOKEN, handlers=HandlerTable())


@pytest.mark.parametrize("loop_name", LOOPS)
class TestStalledLoop:
    # Guards against: a call times out though its response is in the socket buffer.
    def test_call_returns_response_received_during_stall(self, peer, loop_name):
        async def work() -> None:
            peers = pool()
            assert (await peers.connection(peer.address)).is_ok()
            calls = [
                asyncio.create_task(
                    peers.call(peer.address, StateProbe("a"), timeout_ms=TIMEOUT_MS)
                )
                for _ in range(5)
            ]
            await hold_up(STALL_S)
            responses = await asyncio.gather(*calls)
            assert [response.is_ok() for response in responses] == [True] * 5
            await peers.stop()

        run_on(loop_name, work)

    # Guards against: a stream times out though its next item is in the socket buffer.
    def test_stream_continues_after_stall(self, peer, loop_name):
        async def work() -> None:
            peers = pool()
            connection = (await peers.connection(peer.address)).unwrap()
            stream = connection.stream(ViewWatch("a"))
            for turn in range(20):
                receiving = asyncio.create_task(stream.next(timeout_ms=TIMEOUT_MS))
                if turn in (5, 9):
                    await hold_up(STALL_S)
                assert (await receiving).is_ok()
            await peers.stop()

        run_on(loop_name, work)

    # Guards against: a peer counts as unreachable though it completed the handshake.
    def test_dial_succeeds_after_stall(self, peer, loop_name):
        async def work() -> None:
            peers = pool()
            dialled = asyncio.create_task(peers.connection(peer.address))
            await hold_up(STALL_S, after_s=0.0)
            assert (await dialled).is_ok()
            await peers.stop()

        run_on(loop_name, work)

    def test_call_to_silent_peer_times_out(self, peer, loop_name):
        async def work() -> None:
            peers = pool()
            connection = (await peers.connection(peer.address)).unwrap()
            stream = connection.stream(ViewWatch("a"))
            assert (await stream.next(timeout_ms=TIMEOUT_MS)).is_ok()
            response = await connection.call(StateProbe("a"), timeout_ms=ITEM_INTERVAL_S * 500)
            assert response.is_err()
            await peers.stop()

        run_on(loop_name, work)
