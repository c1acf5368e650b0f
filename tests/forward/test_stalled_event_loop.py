"""An entry whose event loop stalled does not take backend servers for silent or unreachable."""

from __future__ import annotations

import asyncio
import time

import pytest

from leadhollow.forward.pool import ConnectionPool
from leadhollow.http1.fetch import HttpFetcher
from leadhollow.kernel import active_time
from leadhollow.settings.address import Address
from tests.forward.test_silent_connections import CONNECTIONS, RESPONSE, Client, SilentServer
from tests.other_loop import LOOPS, OtherLoop, hold_up, run_on

STALL_S = 1.2
RESPONSE_DELAY_S = 0.1


class SlowServer:
    """Responds to each request after ``RESPONSE_DELAY_S``, on an event loop of its own."""

    def __init__(self, other_loop: OtherLoop) -> None:
        self._other_loop = other_loop
        self._listener = other_loop.run(asyncio.start_server(self._serve, "127.0.0.1", 0))
        host, port = self._listener.sockets[0].getsockname()
        self.address = Address(host=host, port=port)

    def stop(self) -> None:
        self._other_loop.run(self._close())

    async def _close(self) -> None:
        self._listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(RESPONSE_DELAY_S)
                writer.write(RESPONSE)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


@pytest.fixture
def slow_server():
    with OtherLoop() as other_loop:
        found = SlowServer(other_loop)
        yield found
        found.stop()


@pytest.mark.parametrize("loop_name", LOOPS)
class TestStalledEntry:
    # Guards against: a server that accepted the connection counts as unreachable.
    def test_uses_connections_that_opened_during_the_stall(self, slow_server, loop_name):
        async def work() -> None:
            pool = ConnectionPool()
            active_time.clock()
            opening = [
                asyncio.create_task(pool.preconnect(str(slow_server.address))) for _ in range(5)
            ]
            await asyncio.sleep(0)
            time.sleep(STALL_S)
            assert await asyncio.gather(*opening) == [True] * 5
            await pool.stop()

        run_on(loop_name, work)

    # Guards against: a response that arrived during the stall is dropped, and the engine counts
    # as silent.
    def test_takes_a_response_that_arrived_during_the_stall(self, slow_server, loop_name):
        async def work() -> None:
            caller = HttpFetcher()
            asked = asyncio.create_task(
                caller.fetch("GET", slow_server.address, "/", timeout_s=0.5)
            )
            await hold_up(STALL_S, after_s=0.05)
            assert (await asked).unwrap().body == b"ok"
            caller.close()

        run_on(loop_name, work)

    def test_still_times_out_on_a_silent_server(self, slow_server, loop_name):
        async def work() -> None:
            caller = HttpFetcher()
            asked = await caller.fetch(
                "GET", slow_server.address, "/", timeout_s=RESPONSE_DELAY_S / 2
            )
            assert asked.is_err()
            caller.close()

        run_on(loop_name, work)

    # Guards against: idle connections to a server are closed because of the stall.
    def test_keeps_its_idle_connections(self, loop_name):
        async def work() -> None:
            server = SilentServer()
            listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
            host, port = listener.sockets[0].getsockname()
            client = Client(f"{host}:{port}")
            active_time.clock()
            await asyncio.gather(*(client.send() for _ in range(CONNECTIONS)))
            server.silent_up_to = CONNECTIONS
            asked = asyncio.create_task(client.send())
            await asyncio.sleep(0.02)
            time.sleep(0.8)  # shorter than the pool keeps idle connections
            asked.cancel()
            await asyncio.gather(asked, return_exceptions=True)
            server.silent_up_to = 0
            assert await client.send() == b"ok"
            assert server.connections == CONNECTIONS
            await client.pool.stop()
            listener.close()

        run_on(loop_name, work)
