"""Backend servers that name a limit, before entries and a control replica as whole processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from leadhollow.node.entry_role import EntryDispatcher
from tests.node.limiting import LimitingEngine, LimitingServer
from tests.node.load import FIELDS, Load, with_site
from tests.node.site import Site
from tests.support import eventually

SERVERS = 4
ENTRIES = 3
WINDOW_S = 4.0
SPREAD_S = 0.5  # until every entry has to know
KINDS = {"plain": LimitingServer, "stream": LimitingEngine}


def on_site(
    folder: Path,
    kind: str,
    work: Callable[[Site, list[LimitingServer | LimitingEngine]], Awaitable[None]],
) -> None:
    servers = [KINDS[kind](number=number, service="service") for number in range(SERVERS)]
    with_site(folder, kind=kind, servers=servers, entries=ENTRIES, work=work)


async def served(site: Site, entry: int) -> bool:
    return await site.post("/ask/a", b"good", entry=entry, fields=FIELDS) == 200


@pytest.mark.parametrize("kind", sorted(KINDS))
class TestServerThatNamesALimit:
    # Guards against: all entries together send a server more than the limit that its answers name.
    def test_gets_no_more_than_its_limit_from_all_entries_together(self, tmp_path, kind):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            limited = servers[0]
            async with Load(site=site, entries=range(ENTRIES)) as load:
                await asyncio.sleep(0.5)
                limited.limit = "1.3"
                await asyncio.sleep(SPREAD_S + 1.5 * WINDOW_S)
            assert limited.arrivals.named_s is not None
            told_s = limited.arrivals.named_s + SPREAD_S
            assert limited.arrivals.most_in(WINDOW_S, after_s=told_s) <= 1.5 * 1.3 * WINDOW_S + 5
            assert set(load.statuses) == {200}

        on_site(tmp_path, kind, work)


class TestLimit:
    def test_holds_for_an_entry_that_starts_after_it_was_named(self, tmp_path):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            limited = servers[0]
            limited.limit = "0.5"
            async with Load(site=site, entries=range(2)):
                await asyncio.sleep(2 * SPREAD_S)
            await site.restart_entry(2)
            await eventually(lambda: served(site, 2), "an answer of the new entry")
            began_s = asyncio.get_running_loop().time()
            async with Load(site=site, entries=range(ENTRIES)):
                await asyncio.sleep(WINDOW_S)
            assert limited.arrivals.count(began_s, began_s + WINDOW_S) <= 0.5 * WINDOW_S + 2

        on_site(tmp_path, "plain", work)

    def test_holds_while_the_control_replica_starts_again(self, tmp_path):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            limited = servers[0]
            limited.limit = "2"
            async with Load(site=site, entries=range(ENTRIES)):
                await asyncio.sleep(2 * SPREAD_S)
                began_s = asyncio.get_running_loop().time()
                await site.restart_control()
                await asyncio.sleep(1.5 * WINDOW_S)
            assert limited.arrivals.most_in(WINDOW_S, after_s=began_s) <= 2 * WINDOW_S + 2

        on_site(tmp_path, "stream", work)

    def test_is_used_where_one_entry_has_all_requests(self, tmp_path):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            limited = servers[0]
            limited.limit = "5"
            async with Load(site=site, entries=range(1)):
                await asyncio.sleep(2 * SPREAD_S + 1.5)
                began_s = asyncio.get_running_loop().time()
                await asyncio.sleep(WINDOW_S)
            arrived = limited.arrivals.count(began_s, began_s + WINDOW_S)
            assert 0.5 * 5 * WINDOW_S <= arrived <= 5 * WINDOW_S + 2

        on_site(tmp_path, "stream", work)

    def test_that_is_named_no_more_is_over(self, tmp_path):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            limited = servers[0]
            limited.limit = "2"
            async with Load(site=site, entries=range(ENTRIES)):
                await asyncio.sleep(3 * SPREAD_S)
                limited.limit = None

                async def unlimited() -> bool:
                    boards = [
                        entry.kernel.get("dispatching", EntryDispatcher) for entry in site.entries
                    ]
                    return all(not board.limits.table.limits() for board in boards)

                await eventually(unlimited, "entries that know of no limit")
                began_s = asyncio.get_running_loop().time()
                await asyncio.sleep(1.0)
            assert limited.arrivals.count(began_s, began_s + 1.0) > 5

        on_site(tmp_path, "stream", work)

    @pytest.mark.parametrize("value", ["", "-1", "nan", "inf", "1e12", "1,3", "9" * 10_000])
    def test_that_is_no_number_changes_nothing(self, tmp_path, value):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            servers[0].limit = value[:8_000]
            async with Load(site=site, entries=range(ENTRIES)) as load:
                await asyncio.sleep(2 * SPREAD_S)
            for entry in site.entries:
                assert not entry.kernel.get("dispatching", EntryDispatcher).limits.table
            assert set(load.statuses) == {200}

        on_site(tmp_path, "plain", work)

    def test_of_all_servers_refuses_the_rest_with_a_time_to_come_back(self, tmp_path):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            for server in servers:
                server.limit = "1"
            async with Load(site=site, entries=range(ENTRIES)) as load:
                await asyncio.sleep(2 * SPREAD_S)
                load.statuses.clear()
                await asyncio.sleep(2.0)
            assert set(load.statuses) <= {200, 503}
            assert 503 in load.statuses

        on_site(tmp_path, "plain", work)
