"""Streams are not cut off while their engine still writes.

Guards against an incident: callers got the head and some events of a stream and then a closed
connection, while the engine went on writing. An engine that wrote nothing for 0.8 s was considered
lost and its stream was aborted. The entry measured the 0.8 s with its own timer. After a stall of
the entry's event loop this timer is due before the sockets are read, so the entry took its own
stall for silence of the engine.

The tests run a control replica and an entry as whole processes, with engines on their own loops.
They block the loop of the entry while the engines write.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from tests.node.site import Site
from tests.node.streaming import (
    Script,
    StreamClient,
    StreamingEngine,
    block_loop,
    read_streams,
    streaming_route,
)
from tests.support import eventually

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
STREAMS = 20
LONG_SCRIPT = Script(events=12, pause_s=0.1)
STALL_AFTER_S = 0.35  # when some events have arrived and others have not


def with_engines(
    folder: Path,
    work: Callable[[Site, list[StreamingEngine]], Awaitable[None]],
    *,
    engines: int = 1,
    resumable: bool = False,
    loop: str = "uvloop",
) -> None:
    """Run a test with a site and its engines, once the entry has served a complete stream."""
    servers = [
        StreamingEngine(instance=f"i-{number}", script=Script()) for number in range(engines)
    ]

    async def answers_completely(site: Site) -> bool:
        client = await StreamClient(address=site.callers).run()
        return client.whole and client.status == 200

    async def run() -> None:
        async with Site(folder=folder, servers=servers) as site:
            await site.put_routes(streaming_route(resumable=resumable))
            await eventually(lambda: answers_completely(site), "a whole stream")
            await site.pause()
            for server in servers:
                server.runs.clear()
            await work(site, servers)

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        runner.run(asyncio.wait_for(run(), 60))


def total_runs(servers: list[StreamingEngine]) -> int:
    return sum(len(server.runs) for server in servers)


class TestSilentEngine:
    # Guards against: silence of an engine ends a response that has started.
    def test_does_not_end_a_stream_that_cannot_be_resumed(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = Script(pauses_s={3: 1.3})
            (client,) = await read_streams(site.callers, 1)
            assert (client.status, client.event_ids, client.whole) == (200, [*range(6)], True)
            assert [run.broken for run in servers[0].runs] == [False]

        with_engines(tmp_path, work)

    # Guards against: silence of an engine ends a response that no other engine can continue.
    def test_does_not_end_a_stream_without_another_engine(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = Script(pauses_s={3: 1.3})
            (client,) = await read_streams(site.callers, 1)
            assert (client.event_ids, client.whole) == ([*range(6)], True)

        with_engines(tmp_path, work, resumable=True)

    # Guards against: the hedge engine gets less time than the silent first engine.
    def test_does_not_end_a_stream_when_the_hedge_engine_is_silent_too(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            for server in servers:
                server.script = Script(pauses_s={3: 1.6})
            (client,) = await read_streams(site.callers, 1)
            assert (client.event_ids, client.whole) == ([*range(6)], True)

        with_engines(tmp_path, work, engines=3, resumable=True)

    def test_is_replaced_by_a_hedge_engine_for_a_resumable_stream(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            for server in servers:
                server.script = Script(pauses_s={3: 30.0})
            running = asyncio.create_task(read_streams(site.callers, 1))
            await eventually(lambda: total_runs(servers) == 1, "a first engine at work")
            for server in servers:
                if not server.runs:
                    server.script = Script()
            (client,) = await running
            assert (client.event_ids, client.whole) == ([*range(6)], True)
            assert client.ended_after_s < 2.0
            silent = next(run for server in servers for run in server.runs if run.first == 0)
            await eventually(lambda: silent.broken, "the silent engine to be let go")

        with_engines(tmp_path, work, engines=3, resumable=True)

    # Guards against: aborting a request with a late first event while its engine works on it.
    def test_may_send_the_first_event_late(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = Script(pauses_s={0: 1.6})
            (client,) = await read_streams(site.callers, 1)
            assert (client.status, client.event_ids, client.whole) == (200, [*range(6)], True)

        with_engines(tmp_path, work)


class TestEngineThatAbortsAStream:
    # Guards against: giving up a broken stream while its caller still waits for the next event.
    def test_is_replaced_by_an_engine_that_appears_while_the_caller_waits(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            first, second = servers
            await site.deregister(second)
            second.silent = True
            await site.pause()
            first.script = Script(ends_after=3)
            running = asyncio.create_task(read_streams(site.callers, 1))
            await eventually(lambda: len(first.runs) == 1, "an engine at work")
            await asyncio.sleep(1.2)
            second.instance = "i-later"
            second.silent = False
            (client,) = await running
            assert (client.event_ids, client.whole) == ([*range(6)], True)

        with_engines(tmp_path, work, engines=2, resumable=True)

    def test_ends_the_stream_if_there_is_no_other_engine(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = Script(ends_after=3)
            (client,) = await read_streams(site.callers, 1)
            assert (client.event_ids, client.whole) == ([0, 1, 2], False)
            assert client.ended_after_s < 5.0

        with_engines(tmp_path, work, resumable=True)


@pytest.mark.parametrize("loop", sorted(LOOPS))
class TestStalledEntry:
    # Guards against: taking a stall of the entry for silence of its engines.
    @pytest.mark.parametrize("hold_s", [1.0, 2.5])
    def test_does_not_cut_off_streams(self, tmp_path, hold_s, loop):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = LONG_SCRIPT

            async def stall() -> None:
                await asyncio.sleep(STALL_AFTER_S)
                block_loop(hold_s)

            clients = await read_streams(site.callers, STREAMS, stall)
            assert sum(client.whole for client in clients) == STREAMS
            assert all(client.event_ids == [*range(12)] for client in clients)

        with_engines(tmp_path, work, loop=loop)

    # Guards against: a stall uses up the shared retry budget although responses had arrived.
    def test_does_not_use_the_retry_budget(self, tmp_path, loop):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            for server in servers:
                server.script = LONG_SCRIPT

            async def stall() -> None:
                await asyncio.sleep(STALL_AFTER_S)
                block_loop(1.5)

            clients = await read_streams(site.callers, STREAMS, stall)
            assert sum(client.whole for client in clients) == STREAMS
            assert total_runs(servers) == STREAMS

        with_engines(tmp_path, work, engines=3, resumable=True, loop=loop)

    def test_keeps_requests_whose_first_event_arrived_during_the_stall(self, tmp_path, loop):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = Script(pauses_s={0: 0.5})

            async def stall() -> None:
                await asyncio.sleep(0.2)
                block_loop(1.5)

            clients = await read_streams(site.callers, STREAMS, stall)
            assert [client.status for client in clients] == [200] * STREAMS
            assert sum(client.whole for client in clients) == STREAMS

        with_engines(tmp_path, work, loop=loop)

    # Guards against: a stall of the entry ejects working engines.
    def test_does_not_eject_engines(self, tmp_path, loop):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            for server in servers:
                server.script = LONG_SCRIPT

            async def stall() -> None:
                await asyncio.sleep(STALL_AFTER_S)
                block_loop(1.5)

            await read_streams(site.callers, STREAMS, stall)
            directory = site.entry.kernel.get("dispatching", object).directory
            now_s = asyncio.get_running_loop().time()
            assert all(server.health.usable(now_s) for server in directory.all_servers())
            assert not any(server.health.ejected(now_s) for server in directory.all_servers())

        with_engines(tmp_path, work, engines=3, resumable=True, loop=loop)
