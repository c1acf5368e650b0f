"""The incident of the streams that ended before their engine had ended them.

Seen: callers got the head and some events of a stream and then a closed connection, while the
engine went on writing.

How it came about: an engine that wrote nothing for 0.8 s was taken for lost and its stream broken
off. The 0.8 s were measured by the entry's own timer, which is due before its sockets are read
where the entry itself was held up.

Cause: a deadline kept by one's own clock was read as a fact about someone else.

Proof: a control replica and an entry as whole processes, engines on loops of their own, and an
entry whose loop stands still while they write.
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
    hold,
    streaming_route,
    streams,
)
from tests.support import eventually

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
STREAMS = 20
LONG = Script(events=12, pause_s=0.1)
HELD_AFTER_S = 0.35  # when some events have come, and others are still to come


def with_engines(
    folder: Path,
    work: Callable[[Site, list[StreamingEngine]], Awaitable[None]],
    *,
    engines: int = 1,
    resumable: bool = False,
    loop: str = "uvloop",
) -> None:
    """Run a test on a site whose entry has answered once; it gets the site and its engines."""
    servers = [
        StreamingEngine(instance=f"i-{number}", script=Script()) for number in range(engines)
    ]

    async def serves(site: Site) -> bool:
        client = await StreamClient(address=site.callers).run()
        return client.whole and client.status == 200

    async def run() -> None:
        async with Site(folder=folder, servers=servers) as site:
            await site.put_routes(streaming_route(resumable=resumable))
            await eventually(lambda: serves(site), "a whole stream")
            await site.pause()
            for server in servers:
                server.runs.clear()
            await work(site, servers)

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        runner.run(asyncio.wait_for(run(), 60))


def all_runs(servers: list[StreamingEngine]) -> int:
    return sum(len(server.runs) for server in servers)


class TestEngineThatIsSilent:
    # Guards against: an engine's silence ends an answer that has begun.
    def test_ends_no_stream_that_cannot_be_resumed(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = Script(pauses_s={3: 1.3})
            (client,) = await streams(site.callers, 1)
            assert (client.status, client.event_ids, client.whole) == (200, [*range(6)], True)
            assert [run.broken for run in servers[0].runs] == [False]

        with_engines(tmp_path, work)

    # Guards against: an engine's silence ends an answer that no other engine can go on with.
    def test_ends_no_stream_without_a_successor(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = Script(pauses_s={3: 1.3})
            (client,) = await streams(site.callers, 1)
            assert (client.event_ids, client.whole) == ([*range(6)], True)

        with_engines(tmp_path, work, resumable=True)

    # Guards against: the engine that was asked beside a silent one gets less time than that one.
    def test_ends_no_stream_where_the_second_engine_is_silent_too(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            for server in servers:
                server.script = Script(pauses_s={3: 1.6})
            (client,) = await streams(site.callers, 1)
            assert (client.event_ids, client.whole) == ([*range(6)], True)

        with_engines(tmp_path, work, engines=3, resumable=True)

    def test_is_asked_beside_for_a_stream_that_may_go_on_elsewhere(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            for server in servers:
                server.script = Script(pauses_s={3: 30.0})
            running = asyncio.create_task(streams(site.callers, 1))
            await eventually(lambda: all_runs(servers) == 1, "a first engine at work")
            for server in servers:
                if not server.runs:
                    server.script = Script()
            (client,) = await running
            assert (client.event_ids, client.whole) == ([*range(6)], True)
            assert client.ended_after_s < 2.0
            silent = next(run for server in servers for run in server.runs if run.first == 0)
            await eventually(lambda: silent.broken, "the silent engine to be let go")

        with_engines(tmp_path, work, engines=3, resumable=True)

    # Guards against: a request whose first event is late is broken off while its engine is at work.
    def test_may_be_late_with_the_first_event(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = Script(pauses_s={0: 1.6})
            (client,) = await streams(site.callers, 1)
            assert (client.status, client.event_ids, client.whole) == (200, [*range(6)], True)

        with_engines(tmp_path, work)


class TestEngineThatBreaksOff:
    # Guards against: a broken stream is given up while its caller still waits for the next event.
    def test_is_followed_by_one_that_comes_while_the_caller_waits(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            first, second = servers
            await site.leave(second)
            second.silent = True
            await site.pause()
            first.script = Script(ends_after=3)
            running = asyncio.create_task(streams(site.callers, 1))
            await eventually(lambda: len(first.runs) == 1, "an engine at work")
            await asyncio.sleep(1.2)
            second.instance = "i-later"
            second.silent = False
            (client,) = await running
            assert (client.event_ids, client.whole) == ([*range(6)], True)

        with_engines(tmp_path, work, engines=2, resumable=True)

    def test_ends_a_stream_for_which_there_is_no_other(self, tmp_path):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = Script(ends_after=3)
            (client,) = await streams(site.callers, 1)
            assert (client.event_ids, client.whole) == ([0, 1, 2], False)
            assert client.ended_after_s < 5.0

        with_engines(tmp_path, work, resumable=True)


@pytest.mark.parametrize("loop", sorted(LOOPS))
class TestEntryThatIsHeldUp:
    # Guards against: time in which an entry did not run is taken for the silence of its engines.
    @pytest.mark.parametrize("hold_s", [1.0, 2.5])
    def test_cuts_no_stream(self, tmp_path, hold_s, loop):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = LONG

            async def meanwhile() -> None:
                await asyncio.sleep(HELD_AFTER_S)
                hold(hold_s)

            clients = await streams(site.callers, STREAMS, meanwhile)
            assert sum(client.whole for client in clients) == STREAMS
            assert all(client.event_ids == [*range(12)] for client in clients)

        with_engines(tmp_path, work, loop=loop)

    # Guards against: a hold spends the repeats that all entries share, on answers that had come.
    def test_spends_no_repeats(self, tmp_path, loop):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            for server in servers:
                server.script = LONG

            async def meanwhile() -> None:
                await asyncio.sleep(HELD_AFTER_S)
                hold(1.5)

            clients = await streams(site.callers, STREAMS, meanwhile)
            assert sum(client.whole for client in clients) == STREAMS
            assert all_runs(servers) == STREAMS

        with_engines(tmp_path, work, engines=3, resumable=True, loop=loop)

    def test_keeps_requests_whose_first_event_came_meanwhile(self, tmp_path, loop):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            servers[0].script = Script(pauses_s={0: 0.5})

            async def meanwhile() -> None:
                await asyncio.sleep(0.2)
                hold(1.5)

            clients = await streams(site.callers, STREAMS, meanwhile)
            assert [client.status for client in clients] == [200] * STREAMS
            assert sum(client.whole for client in clients) == STREAMS

        with_engines(tmp_path, work, loop=loop)

    # Guards against: a hold of the entry puts sound engines out of use.
    def test_marks_no_engine(self, tmp_path, loop):
        async def work(site: Site, servers: list[StreamingEngine]) -> None:
            for server in servers:
                server.script = LONG

            async def meanwhile() -> None:
                await asyncio.sleep(HELD_AFTER_S)
                hold(1.5)

            await streams(site.callers, STREAMS, meanwhile)
            board = site.entry.kernel.get("dispatching", object).board
            now_s = asyncio.get_running_loop().time()
            assert all(server.health.usable(now_s) for server in board.all_servers())
            assert not any(server.health.ejected(now_s) for server in board.all_servers())

        with_engines(tmp_path, work, engines=3, resumable=True, loop=loop)
