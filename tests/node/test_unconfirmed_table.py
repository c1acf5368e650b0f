"""Which table an entry serves while no majority of the control replicas confirms one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from leadhollow.membership.control_feed import ControlFeed
from tests.node.replicated import SNAPSHOT_ENTRIES, ReplicatedSite
from tests.node.site import PlainServer, route
from tests.support import eventually

OLD = route("/old/", "service")
NEW = route("/new/", "service")
WATCH_S = 1.5  # in which a replica that follows no leader would have shown its table


def with_site(folder: Path, work: Callable[[ReplicatedSite], Awaitable[None]]) -> None:
    async def run() -> None:
        server = PlainServer(instance="s-0", service="service")
        async with ReplicatedSite(folder=folder, server=server) as site:
            await work(site)

    asyncio.run(asyncio.wait_for(run(), 90))


async def serves(site: ReplicatedSite, path: str) -> bool:
    return await site.get(path) == 200


async def statuses(site: ReplicatedSite, path: str, span_s: float = WATCH_S) -> set[int]:
    """Return the statuses of requests that are sent for a time."""
    found = set()
    until_s = asyncio.get_running_loop().time() + span_s
    while asyncio.get_running_loop().time() < until_s:
        found.add(await site.get(path))
        await asyncio.sleep(0.05)
    return found


async def put_snapshotted(site: ReplicatedSite, name: str, table: dict[str, object]) -> None:
    """Put a table until a replica has it in a snapshot."""
    await site.put(table, times=2 * SNAPSHOT_ENTRIES)
    replica = site.replica(name).replica
    await eventually(lambda: replica.store.snapshot.last_index > 0, "a snapshot")


class TestRestartOfAll:
    # Guards against an entry that serves what a newer table took away, while its replica is behind.
    def test_does_not_serve_the_table_of_a_replica_that_is_behind(self, tmp_path):
        async def work(site: ReplicatedSite) -> None:
            await put_snapshotted(site, "c1", OLD)
            await eventually(lambda: serves(site, "/old/1"), "a request that is served")
            await site.kill("c1")
            await site.put(NEW, times=2)
            await site.kill("c2", "c3", "entry")
            await site.start("c1", "entry")
            feed = site.processes["entry"].kernel.get("feed", ControlFeed)
            await eventually(lambda: feed.catalog.revision > 0, "the table of the replica")
            assert await statuses(site, "/old/1") == {503}
            await site.start("c2", "c3")
            await eventually(lambda: serves(site, "/new/1"), "the newest table")
            assert await site.get("/old/1") == 404

        with_site(tmp_path, work)

    # Guards against an entry that stops serving while the replicas start again.
    def test_an_entry_goes_on_with_the_table_that_it_had(self, tmp_path):
        async def work(site: ReplicatedSite) -> None:
            await put_snapshotted(site, "c1", OLD)
            await site.kill("c1")
            await site.put(NEW, times=2)
            await eventually(lambda: serves(site, "/new/1"), "a request that is served")
            await site.kill("c2", "c3")
            await site.start("c1")
            assert await statuses(site, "/new/1") == {200}
            assert await site.get("/old/1") == 404
            await site.start("c2", "c3")
            assert await statuses(site, "/new/1") == {200}

        with_site(tmp_path, work)


class TestCutOffDomain:
    # Guards against a failure domain that serves nothing after the restart of an entry in it.
    def test_an_entry_that_starts_serves_what_its_replica_had_confirmed(self, tmp_path):
        async def work(site: ReplicatedSite) -> None:
            await site.put(NEW)
            await eventually(lambda: serves(site, "/new/1"), "a request that is served")
            await site.kill("c2", "c3", "entry")
            await asyncio.sleep(1.5)  # the last confirmation is old by now
            await site.start("entry")
            await eventually(lambda: serves(site, "/new/1"), "a request that is served")

        with_site(tmp_path, work)
