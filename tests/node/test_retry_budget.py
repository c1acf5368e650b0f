"""Repeats of all entries together while servers refuse and processes restart."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from leadhollow.settings.node import Bounds
from tests.node.load import FIELDS, Load, service_route
from tests.node.repeating import ArrivalLog, RefusingEngine, RefusingServer
from tests.node.site import Site
from tests.support import eventually

KINDS = {"plain": RefusingServer, "stream": RefusingEngine}
SERVERS = 4
ENTRIES = 3
BOUNDS = Bounds(retry_ratio=0.2, retry_slack=30.0, retry_window_s=10.0)
Work = Callable[[Site, ArrivalLog], Awaitable[None]]


def run_on_site(folder: Path, kind: str, work: Work) -> None:
    arrivals = ArrivalLog()
    servers = [
        KINDS[kind](number=number, service="service", arrivals=arrivals)
        for number in range(SERVERS)
    ]

    async def served(site: Site, entry: int) -> bool:
        return await site.post("/ask/a", b"good", entry=entry, fields=FIELDS) == 200

    async def run() -> None:
        settings = {"bounds": BOUNDS}
        async with Site(folder=folder, servers=servers, entries=ENTRIES, settings=settings) as site:
            await site.put_routes({**service_route(kind), "maxAttempts": 4})
            for entry in range(ENTRIES):
                await eventually(lambda entry=entry: served(site, entry), "an answer")
            await site.pause()
            await work(site, arrivals)

    asyncio.run(asyncio.wait_for(run(), 60))


def callers(site: Site, arrivals: ArrivalLog) -> Load:
    return Load(site=site, entries=range(ENTRIES), on_send=arrivals.record_sent)


def refuse(site: Site, servers: int = SERVERS) -> None:
    for server in site.servers[:servers]:
        assert isinstance(server, RefusingServer | RefusingEngine)
        server.refuses = True


class TestRepeatsOfAllEntries:
    # Guards against: an entry that restarts sends its share of the repeats of a window once more.
    @pytest.mark.parametrize("kind", sorted(KINDS))
    def test_stay_within_the_limit_through_a_series_of_restarts(self, tmp_path, kind):
        async def work(site: Site, arrivals: ArrivalLog) -> None:
            async with callers(site, arrivals):
                await asyncio.sleep(1.0)
                refuse(site)
                for restart in range(12):
                    await asyncio.sleep(0.4)
                    await site.restart_entry(restart % ENTRIES)
                await asyncio.sleep(0.4)
            assert arrivals.repeats_s
            assert arrivals.worst_excess(BOUNDS) <= 0

        run_on_site(tmp_path, kind, work)

    # Guards against: entries that start behind a replica that has just started, and knows none of
    # the others yet, each take the whole fixed part of the limit for their own.
    def test_stay_within_the_limit_when_control_restarts_too(self, tmp_path):
        async def work(site: Site, arrivals: ArrivalLog) -> None:
            async with callers(site, arrivals):
                refuse(site)
                for _ in range(2):
                    await asyncio.sleep(0.6)
                    await site.restart_control()
                    for entry in range(ENTRIES):
                        await site.restart_entry(entry)
                await asyncio.sleep(1.0)
            assert arrivals.worst_excess(BOUNDS) <= 0

        run_on_site(tmp_path, "stream", work)
