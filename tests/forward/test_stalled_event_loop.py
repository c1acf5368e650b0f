"""An entry that was held up calls no backend server silent or unreachable for it."""

from __future__ import annotations

import asyncio
import time

import pytest

from leadhollow.forward.pool import ConnectionPool
from leadhollow.http1.fetch import HttpCaller
from leadhollow.kernel import active_time
from leadhollow.settings.address import Address
from tests.forward.test_silent_connections import ANSWER, KEPT, Client, SilentServer
from tests.other_loop import LOOPS, OtherLoop, hold_up, run_on

HOLD_S = 1.2
BEAT_S = 0.1  # after which the server answers


class SlowServer:
    """Answers each request after a tenth of a second, on a loop of its own."""

    def __init__(self, elsewhere: OtherLoop) -> None:
        self._elsewhere = elsewhere
        self._listener = elsewhere.run(asyncio.start_server(self._serve, "127.0.0.1", 0))
        host, port = self._listener.sockets[0].getsockname()
        self.address = Address(host=host, port=port)

    def stop(self) -> None:
        self._elsewhere.run(self._close())

    async def _close(self) -> None:
        self._listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(BEAT_S)
                writer.write(ANSWER)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


@pytest.fixture
def slow_server():
    with OtherLoop() as elsewhere:
        found = SlowServer(elsewhere)
        yield found
        found.stop()


@pytest.mark.parametrize("loop_name", LOOPS)
class TestHeldUpEntry:
    # Guards against: a server that took our connection counts as unreachable.
    def test_reaches_a_server_that_it_connects_to(self, slow_server, loop_name):
        async def work() -> None:
            pool = ConnectionPool()
            active_time.clock()
            opening = [
                asyncio.create_task(pool.preconnect(str(slow_server.address))) for _ in range(5)
            ]
            await asyncio.sleep(0)
            time.sleep(HOLD_S)
            assert await asyncio.gather(*opening) == [True] * 5
            await pool.stop()

        run_on(loop_name, work)

    # Guards against: an engine's answer about itself is dropped, and the engine called silent.
    def test_takes_a_whole_answer_that_came_meanwhile(self, slow_server, loop_name):
        async def work() -> None:
            caller = HttpCaller()
            asked = asyncio.create_task(
                caller.fetch("GET", slow_server.address, "/", timeout_s=0.5)
            )
            await hold_up(HOLD_S, after_s=0.05)
            assert (await asked).unwrap().body == b"ok"
            caller.close()

        run_on(loop_name, work)

    def test_still_gives_up_on_a_server_that_is_silent(self, slow_server, loop_name):
        async def work() -> None:
            caller = HttpCaller()
            asked = await caller.fetch("GET", slow_server.address, "/", timeout_s=BEAT_S / 2)
            assert asked.is_err()
            caller.close()

        run_on(loop_name, work)

    # Guards against: the idle connections to a server are closed for our own delay.
    def test_keeps_its_idle_connections(self, loop_name):
        async def work() -> None:
            server = SilentServer()
            listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
            host, port = listener.sockets[0].getsockname()
            client = Client(f"{host}:{port}")
            active_time.clock()
            await asyncio.gather(*(client.ask() for _ in range(KEPT)))
            server.silent_up_to = KEPT
            asked = asyncio.create_task(client.ask())
            await asyncio.sleep(0.02)
            time.sleep(0.8)  # less than idle connections are kept for
            asked.cancel()
            await asyncio.gather(asked, return_exceptions=True)
            server.silent_up_to = 0
            assert await client.ask() == b"ok"
            assert server.connections == KEPT
            await client.pool.stop()
            listener.close()

        run_on(loop_name, work)
