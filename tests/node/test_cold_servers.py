"""Backend servers that become cold, tested with whole entries and a control replica."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from leadhollow.node.entry_role import EntryDispatcher
from tests.node.cold import BOUND, COLD_PER_S, ColdEngine, ColdServer
from tests.node.load import Load, with_site
from tests.node.site import Site
from tests.support import eventually

SERVERS = 3
ENTRIES = 3
COLD_S = 4.0
SPREAD_S = 0.4  # time within which every entry must know
KINDS = {"plain": ColdServer, "stream": ColdEngine}


def run_on_site(
    folder: Path,
    kind: str,
    work: Callable[[Site, list[ColdServer | ColdEngine]], Awaitable[None]],
) -> None:
    servers = [KINDS[kind](number=number, service="service") for number in range(SERVERS)]
    with_site(folder, kind=kind, servers=servers, entries=ENTRIES, work=work)


@pytest.mark.parametrize("kind", sorted(KINDS))
class TestColdServer:
    # Guards against: all entries together exceed the rate that a cold server takes.
    def test_gets_no_more_than_it_may_from_all_entries_together(self, tmp_path, kind):
        async def work(site: Site, servers: list[ColdServer | ColdEngine]) -> None:
            cold = servers[0]
            async with Load(site=site, entries=range(ENTRIES)) as load:
                await asyncio.sleep(0.3)
                start_s = cold.become_cold(COLD_S)
                await asyncio.sleep(COLD_S)
            assert cold.arrivals.max_in_window(1.0, after_s=start_s + SPREAD_S) <= BOUND
            assert cold.arrivals.count(start_s + 1.0, start_s + COLD_S) > 0.4 * COLD_PER_S * 3.0
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, kind, work)

    # Guards against: a server that has just started gets one request from each entry at once.
    def test_gets_no_more_in_a_new_life(self, tmp_path, kind):
        async def work(site: Site, servers: list[ColdServer | ColdEngine]) -> None:
            cold = servers[0]
            async with Load(site=site, entries=range(ENTRIES)):
                await asyncio.sleep(0.3)
                start_s = cold.become_cold(COLD_S)
                cold.born_ms = 5
                await asyncio.sleep(COLD_S)
            assert cold.arrivals.max_in_window(1.0, after_s=start_s + SPREAD_S) <= BOUND

        run_on_site(tmp_path, kind, work)

    # Guards against: all servers come back at once and each entry fills them alone.
    def test_of_many_refuses_what_they_cannot_take(self, tmp_path, kind):
        async def work(site: Site, servers: list[ColdServer | ColdEngine]) -> None:
            async with Load(site=site, entries=range(ENTRIES)) as load:
                await asyncio.sleep(0.3)
                for server in servers:
                    start_s = server.become_cold(COLD_S)
                await asyncio.sleep(SPREAD_S)
                load.statuses.clear()
                await asyncio.sleep(COLD_S - 2 * SPREAD_S)
                assert set(load.statuses) == {200, 503}
            for server in servers:
                assert server.arrivals.max_in_window(1.0, after_s=start_s + SPREAD_S) <= BOUND

        run_on_site(tmp_path, kind, work)


class TestColdTime:
    def test_ends_at_all_entries(self, tmp_path):
        async def work(site: Site, servers: list[ColdServer | ColdEngine]) -> None:
            dispatchers = [
                entry.kernel.get("dispatching", EntryDispatcher) for entry in site.entries
            ]

            async def limited(count: int) -> bool:
                limiters = [
                    server.send_limiter
                    for dispatcher in dispatchers
                    for server in dispatcher.directory.all_servers()
                ]
                return sum(limiter is not None for limiter in limiters) == count

            servers[0].become_cold(1.0)
            await eventually(lambda: limited(ENTRIES), "a limit at all entries")
            await eventually(lambda: limited(0), "no limit at any entry")

        run_on_site(tmp_path, "stream", work)
