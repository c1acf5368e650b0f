"""Backend servers that announce a rate limit, tested with whole entries and a control replica."""

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
SPREAD_S = 0.5  # time within which every entry must know
KINDS = {"plain": LimitingServer, "stream": LimitingEngine}


def run_on_site(
    folder: Path,
    kind: str,
    work: Callable[[Site, list[LimitingServer | LimitingEngine]], Awaitable[None]],
) -> None:
    servers = [KINDS[kind](number=number, service="service") for number in range(SERVERS)]
    with_site(folder, kind=kind, servers=servers, entries=ENTRIES, work=work)


async def served(site: Site, entry: int) -> bool:
    return await site.post("/ask/a", b"good", entry=entry, fields=FIELDS) == 200


@pytest.mark.parametrize("kind", sorted(KINDS))
class TestServerWithALimit:
    # Guards against: all entries together exceed the limit that a server announces.
    def test_gets_at_most_its_limit_from_all_entries_together(self, tmp_path, kind):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            limited = servers[0]
            async with Load(site=site, entries=range(ENTRIES)) as load:
                await asyncio.sleep(0.5)
                limited.limit = "1.3"
                await asyncio.sleep(SPREAD_S + 1.5 * WINDOW_S)
            assert limited.arrivals.first_limit_s is not None
            known_from_s = limited.arrivals.first_limit_s + SPREAD_S
            assert (
                limited.arrivals.max_in_window(WINDOW_S, after_s=known_from_s)
                <= 1.5 * 1.3 * WINDOW_S + 5
            )
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, kind, work)


class TestLimit:
    def test_applies_to_an_entry_that_starts_later(self, tmp_path):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            limited = servers[0]
            limited.limit = "0.5"
            async with Load(site=site, entries=range(2)):
                await asyncio.sleep(2 * SPREAD_S)
            await site.restart_entry(2)
            await eventually(lambda: served(site, 2), "an answer of the new entry")
            start_s = asyncio.get_running_loop().time()
            async with Load(site=site, entries=range(ENTRIES)):
                await asyncio.sleep(WINDOW_S)
            assert limited.arrivals.count(start_s, start_s + WINDOW_S) <= 0.5 * WINDOW_S + 2

        run_on_site(tmp_path, "plain", work)

    def test_applies_while_the_control_replica_restarts(self, tmp_path):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            limited = servers[0]
            limited.limit = "2"
            async with Load(site=site, entries=range(ENTRIES)):
                await asyncio.sleep(2 * SPREAD_S)
                start_s = asyncio.get_running_loop().time()
                await site.restart_control()
                await asyncio.sleep(1.5 * WINDOW_S)
            assert limited.arrivals.max_in_window(WINDOW_S, after_s=start_s) <= 2 * WINDOW_S + 2

        run_on_site(tmp_path, "stream", work)

    # Guards against: an entry that gets all requests has only a part of each limit, while others
    # hold the rest in vain. All servers have a limit, as an entry may leave any one of several free
    # servers out for a while, such as one whose last response was late.
    def test_is_available_to_one_entry_that_gets_all_requests(self, tmp_path):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            for server in servers:
                server.limit = "5"

            def recent() -> list[int]:
                now_s = asyncio.get_running_loop().time()
                return [server.arrivals.count(now_s - WINDOW_S, now_s) for server in servers]

            def used() -> list[int] | None:
                found = recent()
                return found if min(found) >= 0.5 * 5 * WINDOW_S else None

            async with Load(site=site, entries=range(1)):
                await asyncio.sleep(SPREAD_S + WINDOW_S)  # until the limits are known
                found = await eventually(used, "requests up to half of each limit")
            assert max(found) <= 5 * WINDOW_S + 2

        run_on_site(tmp_path, "stream", work)

    def test_ends_when_it_is_no_longer_announced(self, tmp_path):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            limited = servers[0]
            limited.limit = "2"
            async with Load(site=site, entries=range(ENTRIES)):
                await asyncio.sleep(3 * SPREAD_S)
                limited.limit = None

                async def unlimited() -> bool:
                    dispatchers = [
                        entry.kernel.get("dispatching", EntryDispatcher) for entry in site.entries
                    ]
                    return all(not dispatcher.limits.table.limits() for dispatcher in dispatchers)

                await eventually(unlimited, "entries that know of no limit")
                start_s = asyncio.get_running_loop().time()
                await asyncio.sleep(1.0)
            assert limited.arrivals.count(start_s, start_s + 1.0) > 5

        run_on_site(tmp_path, "stream", work)

    @pytest.mark.parametrize("value", ["", "-1", "nan", "inf", "1e12", "1,3", "9" * 10_000])
    def test_with_an_invalid_value_is_ignored(self, tmp_path, value):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            servers[0].limit = value[:8_000]
            async with Load(site=site, entries=range(ENTRIES)) as load:
                await asyncio.sleep(2 * SPREAD_S)
            for entry in site.entries:
                assert not entry.kernel.get("dispatching", EntryDispatcher).limits.table
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, "plain", work)

    def test_of_all_servers_refuses_excess_requests_with_503(self, tmp_path):
        async def work(site: Site, servers: list[LimitingServer | LimitingEngine]) -> None:
            for server in servers:
                server.limit = "1"
            async with Load(site=site, entries=range(ENTRIES)) as load:
                await asyncio.sleep(2 * SPREAD_S)
                load.statuses.clear()
                await asyncio.sleep(2.0)
            assert set(load.statuses) <= {200, 503}
            assert 503 in load.statuses

        run_on_site(tmp_path, "plain", work)
