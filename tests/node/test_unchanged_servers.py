"""Backend servers whose announcements do not change stay known to entries.

A control replica sends an entry only what changes. The entry once took the age of the last change
for the age of the last sign of life, and forgot servers that had announced themselves unchanged for
a minute. Requests on routes added later to a plain service were then refused with 503 forever.
Model engines were not affected, because installing a version is a change.

The tests shorten the time after which an entry forgets a server; the servers announce themselves
twenty times a second.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.node import control_role, entry_role
from leadhollow.node.entry_role import EntryDispatcher
from tests.node.site import PlainServer, Site, route
from tests.support import eventually

FORGET_AFTER_S = 0.6
QUIET_S = 2 * FORGET_AFTER_S
TIDY_INTERVAL_S = 0.04  # how often an entry checks for servers to forget


@pytest.fixture
def short_memory(monkeypatch):
    """Shorten the time after which entries forget a server."""
    monkeypatch.setattr(entry_role, "FEED_FORGET_AFTER_S", FORGET_AFTER_S)
    monkeypatch.setattr(entry_role, "TIDY_INTERVAL_S", TIDY_INTERVAL_S)


def with_site(folder: Path, work: Callable[[Site], Awaitable[None]]) -> None:
    async def run() -> None:
        servers = [PlainServer(instance=f"i-{number}", service="status") for number in range(2)]
        async with Site(folder=folder, servers=servers) as site:
            await site.put_routes(route("/first/", "status"))
            await eventually(lambda: len(known_servers(site)) == 2, "both servers")
            await eventually(lambda: is_served(site, "/first/"), "the first answer")
            await work(site)

    asyncio.run(asyncio.wait_for(run(), 60))


def known_servers(site: Site) -> list[str]:
    """Return the instances that the entry may use."""
    directory: ServerDirectory = site.entry.kernel.get("dispatching", EntryDispatcher).directory
    return [server.instance.instance for server in directory.servers("status")]


async def is_served(site: Site, path: str) -> bool:
    return await site.get(path) == 200


@pytest.mark.usefixtures("short_memory")
class TestServersWithUnchangedAnnouncements:
    def test_serve_routes_that_are_added_later(self, tmp_path):
        async def work(site: Site) -> None:
            await asyncio.sleep(QUIET_S)
            await site.put_routes(route("/first/", "status"), route("/added/", "status"))
            await eventually(lambda: route_applied(site, "/added/"), "the new route in force")
            assert [await site.get(path) for path in ("/first/a", "/added/a")] == [200, 200]

        with_site(tmp_path, work)

    def test_are_kept_while_no_control_replica_is_reachable(self, tmp_path):
        async def work(site: Site) -> None:
            await site.control.kernel.kill()
            await asyncio.sleep(QUIET_S)
            assert await site.get("/first/a") == 200

        with_site(tmp_path, work)


@pytest.mark.usefixtures("short_memory")
class TestServersWithoutHeartbeats:
    def test_are_forgotten_until_they_resume(self, tmp_path, monkeypatch):
        monkeypatch.setattr(control_role, "FORGET_AFTER_S", FORGET_AFTER_S)

        async def work(site: Site) -> None:
            site.servers[0].silent = True
            await eventually(lambda: known_servers(site) == ["i-1"], "the silent server forgotten")
            site.servers[0].silent = False
            await eventually(lambda: len(known_servers(site)) == 2, "the server that speaks again")

        with_site(tmp_path, work)


async def route_applied(site: Site, prefix: str) -> bool:
    """Return whether the entry knows a route, that is, no longer responds with 404."""
    return await site.get(f"{prefix}a") != 404
