"""Bodies that are posted in the moment in which their connection is lost."""

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
    # Guards against: a service that tells its peers ends for good as one of them is just lost.
    @pytest.mark.parametrize("turns", range(4))
    def test_on_a_connection_that_is_just_lost_raises_nothing(self, turns):
        async def work() -> None:
            heard: list[str] = []
            handlers = HandlerTable()
            handlers.on_oneway(ServerWords, lambda body, connection: heard.append(body.address))
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

            async def told() -> bool:
                peers.post(address, ServerWords("second", []))
                return "second" in heard

            await eventually(told, "a body over a new connection")
            await peers.stop()
            await server.stop()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(asyncio.wait_for(work(), 20))
