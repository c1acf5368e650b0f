"""Evacuation of a failure domain under streams, with whole control and entry processes."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path

import uvloop

from leadhollow.node.entry_role import EntryDispatcher
from tests.node.site import HOST, PlainServer, Site, route
from tests.node.streaming import (
    Script,
    StreamClient,
    StreamingEngine,
    StreamRun,
    streaming_route,
)
from tests.support import eventually

LONG_SCRIPT = Script(events=12, pause_s=0.1)
ENTRIES = 2
attempt_numbers = itertools.count(1_000_000)

Work = Callable[[Site, StreamingEngine, StreamingEngine], Awaitable[None]]


async def stream(site: Site, entry: int = 0) -> StreamClient:
    return await StreamClient(address=site.all_callers[entry]).run()


def evacuated(site: Site, entry: int) -> frozenset[str]:
    dispatcher = site.entries[entry].kernel.get("dispatching", EntryDispatcher)
    return dispatcher.domains.evacuated


async def wait_in_force(site: Site, *domains: str) -> None:
    """Wait until exactly these failure domains are evacuated at all entries."""
    await eventually(
        lambda: all(evacuated(site, entry) == frozenset(domains) for entry in range(ENTRIES)),
        "the evacuation at all entries",
    )


async def order_until_acknowledged(site: Site, method: str, domain: str) -> None:
    async def acknowledged() -> bool:
        return await site.order(method, domain) == 200

    await eventually(acknowledged, "an acknowledgement")


def new_runs(engine: StreamingEngine, before: Mapping[str, int]) -> list[StreamRun]:
    """Return the runs of an engine after the number that it had before."""
    return engine.runs[before[engine.instance] :]


def run_on_site(folder: Path, work: Work, *, beside: Sequence[StreamingEngine] = ()) -> None:
    """Run a test with an engine in the domain of the entries, d, and one in another, e.

    Parameters
    ----------
    beside
        Further engines in domain d.
    """
    near = StreamingEngine(instance="i-near", script=Script())
    far = StreamingEngine(instance="i-far", script=Script())
    far.failure_domain = "e"

    async def run() -> None:
        async with Site(folder=folder, servers=[near, far, *beside], entries=ENTRIES) as site:
            await site.put_routes(streaming_route(resumable=True))

            async def serves(entry: int) -> bool:
                return (await stream(site, entry)).whole

            for entry in range(ENTRIES):
                await eventually(lambda entry=entry: serves(entry), "a whole stream")
            await site.pause()
            await work(site, near, far)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


class TestEvacuation:
    # Guards against: streams under way are cut, or new ones still go to the evacuated domain.
    def test_lets_streams_end_and_sends_new_ones_elsewhere(self, tmp_path):
        async def work(site: Site, near: StreamingEngine, far: StreamingEngine) -> None:
            near.script = LONG_SCRIPT
            before = len(near.runs)
            running = asyncio.create_task(stream(site))
            await eventually(lambda: len(near.runs) > before, "a stream in the near domain")
            assert await site.order("POST", "d") == 200
            await wait_in_force(site, "d")
            count = len(near.runs)
            clients = await asyncio.gather(*(stream(site, entry % ENTRIES) for entry in range(8)))
            assert all(client.whole and client.status == 200 for client in clients)
            assert (await running).whole
            assert not near.runs[before].broken
            assert len(near.runs) == count

        run_on_site(tmp_path, work)

    # Guards against: a stream is resumed at an engine of the evacuated domain.
    def test_resumes_broken_streams_elsewhere(self, tmp_path):
        async def work(site: Site, near: StreamingEngine, far: StreamingEngine) -> None:
            near.script = Script(events=12, pause_s=0.1, ends_after=8)
            before = len(near.runs)
            running = [asyncio.create_task(stream(site)) for _ in range(4)]
            await eventually(lambda: len(near.runs) == before + 4, "streams in the near domain")
            far.script = LONG_SCRIPT
            assert await site.order("POST", "d") == 200
            await wait_in_force(site, "d")
            for client in await asyncio.gather(*running):
                assert client.whole
                assert client.event_ids == list(range(12))
            assert len(near.runs) == before + 4
            assert sum(1 for run in far.runs if run.first == 8) == 4

        run_on_site(tmp_path, work)

    # Guards against: the engine that is asked beside a silent one is in the evacuated domain.
    def test_hedges_silent_streams_elsewhere(self, tmp_path):
        beside = StreamingEngine(instance="i-beside", script=Script())

        async def work(site: Site, near: StreamingEngine, far: StreamingEngine) -> None:
            local = [near, beside]
            far.script = LONG_SCRIPT
            for engine in local:
                engine.script = Script(events=12, pause_s=0.1, pauses_s={4: 60.0})
            before = {engine.instance: len(engine.runs) for engine in (*local, far)}
            running = asyncio.create_task(stream(site))
            await eventually(
                lambda: any(run.written for each in local for run in new_runs(each, before)),
                "a stream in the near domain",
            )
            assert await site.order("POST", "d") == 200
            await wait_in_force(site, "d")
            client = await running
            assert client.whole
            assert client.event_ids == list(range(12))
            assert sum(len(new_runs(engine, before)) for engine in local) == 1
            assert [run.first for run in new_runs(far, before)] == [4]

        run_on_site(tmp_path, work, beside=[beside])

    # Guards against: an acknowledged evacuation is lost, or not obeyed by an entry that starts.
    def test_outlives_all_control_replicas_and_is_obeyed_by_an_entry_that_starts(self, tmp_path):
        async def work(site: Site, near: StreamingEngine, far: StreamingEngine) -> None:
            assert await site.order("POST", "d") == 200
            await site.restart_control()
            count = len(near.runs)
            for entry in range(ENTRIES):
                await site.restart_entry(entry)

            async def serves() -> bool:
                return (await stream(site, 1)).whole

            await eventually(serves, "a stream through an entry that has started")
            await wait_in_force(site, "d")
            assert len(near.runs) == count
            await order_until_acknowledged(site, "DELETE", "d")
            await wait_in_force(site)
            await site.restart_control()
            await order_until_acknowledged(site, "DELETE", "d")
            assert evacuated(site, 0) == frozenset()

        run_on_site(tmp_path, work)

    # Guards against: requests wait until their deadline while no domain takes them.
    def test_of_all_domains_refuses_at_once_until_one_is_restored(self, tmp_path):
        async def work(site: Site, near: StreamingEngine, far: StreamingEngine) -> None:
            for domain in ("d", "e", "e"):
                assert await site.order("POST", domain) == 200
            await wait_in_force(site, "d", "e")
            near_count, far_count = len(near.runs), len(far.runs)
            assert [(await stream(site, entry)).status for entry in (0, 1, 0)] == [503] * 3
            assert (len(near.runs), len(far.runs)) == (near_count, far_count)
            assert await site.order("DELETE", "e") == 200
            await wait_in_force(site, "d")
            assert (await stream(site)).whole
            assert len(near.runs) == near_count

        run_on_site(tmp_path, work)

    # Guards against: the next route table ends an evacuation.
    def test_is_kept_when_the_route_table_changes(self, tmp_path):
        async def work(site: Site, near: StreamingEngine, far: StreamingEngine) -> None:
            assert await site.order("POST", "d") == 200
            await site.put_routes(streaming_route(resumable=False))
            await wait_in_force(site, "d")

        run_on_site(tmp_path, work)

    # Guards against: an order of a form that no failure domain can have is acknowledged.
    def test_refuses_malformed_names(self, tmp_path):
        async def work(site: Site, near: StreamingEngine, far: StreamingEngine) -> None:
            assert await site.order("POST", "") == 400

        run_on_site(tmp_path, work)


class TestPlainServices:
    # Guards against: plain services are not evacuated, or a caller isn't told why it is refused.
    def test_are_evacuated_too(self, tmp_path):
        near, far = (PlainServer(instance=name, service="s") for name in ("i-near", "i-far"))
        far.failure_domain = "e"

        async def served_by(site: Site) -> tuple[int, bytes]:
            headers = {"Host": HOST, "X-Attempt-Id": f"{next(attempt_numbers):016x}"}
            async with site.http.get(f"http://{site.callers}/a/b", headers=headers) as answer:
                return answer.status, await answer.read()

        async def run() -> None:
            async with Site(folder=tmp_path, servers=[near, far], entries=ENTRIES) as site:
                await site.put_routes(route("/a/", "s"))

                async def serves() -> bool:
                    return await served_by(site) == (200, b"i-near")

                await eventually(serves, "an answer of the near server")
                assert await site.order("POST", "d") == 200
                await wait_in_force(site, "d")
                assert {await served_by(site) for _ in range(10)} == {(200, b"i-far")}
                assert await site.order("POST", "e") == 200
                await wait_in_force(site, "d", "e")
                assert await served_by(site) == (503, b"522 domain evacuated\n")
                assert await site.order("DELETE", "d") == 200
                await wait_in_force(site, "e")
                assert await served_by(site) == (200, b"i-near")

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run())
