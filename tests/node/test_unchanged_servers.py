"""The incident of the configuration whose new routes nobody served.

Seen: a table with more routes was acknowledged and in force, yet requests on the new routes got
503 without end, while those on the first ones went on being served.

How it came about: the new routes led to a plain service. Its servers had announced themselves
without a change for a minute, and each entry had dropped all of them, one after the other, though
they went on announcing themselves. Model engines were spared: installing a version is a change.

Cause: a control replica tells an entry what *changes*; the entry took the age of the last change
for the age of the last sign of life, and forgot who had nothing new to say.

Proof: with the time until an entry forgets shortened, and nothing else touched, servers that
announce themselves twenty times a second are gone from the entry after it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from leadhollow.forward.board import ServerBoard
from leadhollow.node import control_role, entry_role
from leadhollow.node.entry_role import EntryDispatcher
from tests.node.site import PlainServer, Site, route
from tests.support import eventually

FORGET_AFTER_S = 0.6
CALM_S = 2 * FORGET_AFTER_S
TIDY_INTERVAL_S = 0.04  # how often an entry looks for servers to forget


@pytest.fixture
def short_memory(monkeypatch):
    """Let entries forget soon."""
    monkeypatch.setattr(entry_role, "FEED_FORGET_AFTER_S", FORGET_AFTER_S)
    monkeypatch.setattr(entry_role, "TIDY_INTERVAL_S", TIDY_INTERVAL_S)


def with_site(folder: Path, work: Callable[[Site], Awaitable[None]]) -> None:
    async def run() -> None:
        servers = [PlainServer(instance=f"i-{number}", service="status") for number in range(2)]
        async with Site(folder=folder, servers=servers) as site:
            await site.put_routes(route("/first/", "status"))
            await eventually(lambda: len(known(site)) == 2, "both servers")
            await eventually(lambda: served(site, "/first/"), "the first answer")
            await work(site)

    asyncio.run(asyncio.wait_for(run(), 60))


def known(site: Site) -> list[str]:
    """Give the backend servers that the entry may use."""
    board: ServerBoard = site.entry.kernel.get("dispatching", EntryDispatcher).board
    return [server.instance.instance for server in board.servers("status")]


async def served(site: Site, path: str) -> bool:
    return await site.get(path) == 200


@pytest.mark.usefixtures("short_memory")
class TestServersThatHaveNothingNewToSay:
    def test_serve_the_routes_that_are_added_later(self, tmp_path):
        async def work(site: Site) -> None:
            await asyncio.sleep(CALM_S)
            await site.put_routes(route("/first/", "status"), route("/added/", "status"))
            await eventually(lambda: in_force(site, "/added/"), "the new route in force")
            assert [await site.get(path) for path in ("/first/a", "/added/a")] == [200, 200]

        with_site(tmp_path, work)

    def test_are_kept_while_no_control_replica_is_heard(self, tmp_path):
        async def work(site: Site) -> None:
            await site.control.kernel.kill()
            await asyncio.sleep(CALM_S)
            assert await site.get("/first/a") == 200

        with_site(tmp_path, work)


@pytest.mark.usefixtures("short_memory")
class TestServersThatFellSilent:
    def test_are_forgotten(self, tmp_path, monkeypatch):
        monkeypatch.setattr(control_role, "FORGET_AFTER_S", FORGET_AFTER_S)

        async def work(site: Site) -> None:
            site.servers[0].silent = True
            await eventually(lambda: known(site) == ["i-1"], "the silent server forgotten")
            site.servers[0].silent = False
            await eventually(lambda: len(known(site)) == 2, "the server that speaks again")

        with_site(tmp_path, work)


async def in_force(site: Site, prefix: str) -> bool:
    """Tell whether the entry knows a route: it no longer answers that there is none."""
    return await site.get(f"{prefix}a") != 404
