"""A process that was held up takes its own delay for no silence of its peers."""

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

HOLD_S = 1.5  # above each patience here
TIMEOUT_MS = 900.0
BEAT_S = 0.1


class Peer:
    """Answers after a tenth of a second, and streams a beat as often; on a loop of its own."""

    def __init__(self, elsewhere: OtherLoop) -> None:
        self._elsewhere = elsewhere
        handlers = HandlerTable()
        handlers.on_call(StateProbe, self._answer)
        handlers.on_stream(ViewWatch, self._beat)
        self._server = WireServer(
            address=Address(host="127.0.0.1", port=0), token=TOKEN, handlers=handlers
        )
        assert elsewhere.run(self._server.start()).is_ok()
        self.address = str(self._server.address)

    def stop(self) -> None:
        self._elsewhere.run(self._server.stop())

    async def _answer(self, request, connection):
        await asyncio.sleep(BEAT_S)
        return Ok(StateProbeReply(True, 5, "peer", 0))

    async def _beat(self, request, sink):
        while True:
            await sink.send(ViewUpdate(False, [], ["beat"], []))
            await asyncio.sleep(BEAT_S)


@pytest.fixture
def peer():
    with OtherLoop() as elsewhere:
        found = Peer(elsewhere)
        yield found
        found.stop()


def pool() -> PeerPool:
    return PeerPool(vm="a", failure_domain="d", token=TOKEN, handlers=HandlerTable())


@pytest.mark.parametrize("loop_name", LOOPS)
class TestHeldUpLoop:
    # Guards against: an answer that lay in the socket is dropped, and its peer called silent.
    def test_takes_the_answer_to_a_call(self, peer, loop_name):
        async def work() -> None:
            peers = pool()
            assert (await peers.connection(peer.address)).is_ok()
            calls = [
                asyncio.create_task(
                    peers.call(peer.address, StateProbe("a"), timeout_ms=TIMEOUT_MS)
                )
                for _ in range(5)
            ]
            await hold_up(HOLD_S)
            answers = await asyncio.gather(*calls)
            assert [answer.is_ok() for answer in answers] == [True] * 5
            await peers.stop()

        run_on(loop_name, work)

    # Guards against: a feed is given up whose news lay in the socket.
    def test_goes_on_with_a_stream(self, peer, loop_name):
        async def work() -> None:
            peers = pool()
            connection = (await peers.connection(peer.address)).unwrap()
            stream = connection.stream(ViewWatch("a"))
            for turn in range(20):
                taken = asyncio.create_task(stream.next(timeout_ms=TIMEOUT_MS))
                if turn in (5, 9):
                    await hold_up(HOLD_S)
                assert (await taken).is_ok()
            await peers.stop()

        run_on(loop_name, work)

    # Guards against: a peer that answered a greeting is called unreachable.
    def test_calls_no_peer_unreachable_that_it_dials(self, peer, loop_name):
        async def work() -> None:
            peers = pool()
            dialled = asyncio.create_task(peers.connection(peer.address))
            await hold_up(HOLD_S, after_s=0.0)
            assert (await dialled).is_ok()
            await peers.stop()

        run_on(loop_name, work)

    def test_still_gives_up_on_a_peer_that_is_silent(self, peer, loop_name):
        async def work() -> None:
            peers = pool()
            connection = (await peers.connection(peer.address)).unwrap()
            stream = connection.stream(ViewWatch("a"))
            assert (await stream.next(timeout_ms=TIMEOUT_MS)).is_ok()
            answered = await connection.call(StateProbe("a"), timeout_ms=BEAT_S * 500)
            assert answered.is_err()
            await peers.stop()

        run_on(loop_name, work)
