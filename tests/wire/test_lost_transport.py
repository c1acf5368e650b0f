"""Tests of one-way messages posted while their connection is being lost."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from leadhollow.settings.address import Address
from leadhollow.wire.generated.ttypes import ServerWords
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.support import TOKEN, eventually


class TestPost:
    # Guards against: the task of a service ends with an exception because a peer was just lost.
    @pytest.mark.parametrize("turns", range(4))
    def test_on_connection_that_was_just_lost_does_not_raise(self, turns):
        async def work() -> None:
            received: list[str] = []
            handlers = HandlerTable()
            handlers.on_oneway(ServerWords, lambda body, connection: received.append(body.address))
            server = WireServer(
                address=Address(host="127.0.0.1", port=0), token=TOKEN, handlers=handlers
            )
            assert (await server.start()).is_ok()
            peers = PeerPool(vm="a", failure_domain="d", token=TOKEN, handlers=HandlerTable())
            address = str(server.address)
            connection = (await peers.connection(address)).unwrap()
            connection._writer.transport.abort()
            for _ in range(turns):
                await asyncio.sleep(0)
            peers.post(address, ServerWords("first", []))

            async def second_received() -> bool:
                peers.post(address, ServerWords("second", []))
                return "second" in received

            await eventually(second_received, "a body over a new connection")
            await peers.stop()
            await server.stop()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(asyncio.wait_for(work(), 20))
