"""Tests of what holds where entries fail to apply a route table that replicas have accepted.

A table is checked in full before it is acknowledged, and nothing counts entries that fail on it.
These tests show that such a table ends no entry, and that the next one is applied.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from leadhollow.membership.control_feed import ControlFeed
from leadhollow.state.records import CatalogItem
from tests.node.site import PlainServer, Site, route
from tests.support import eventually

FAILING = "r-failing"


def fail_on(entry_feed: ControlFeed) -> list[int]:
    """Let an entry raise an exception while it applies a table with a certain route.

    Returns
    -------
    list of int
        Gets the revision at each such exception.
    """
    failures: list[int] = []

    def listener(items: list[CatalogItem]) -> None:
        if any(getattr(item.value, "name", "") == FAILING for item in items):
            failures.append(entry_feed.catalog.revision)
            raise RuntimeError("this route cannot be applied")

    entry_feed.catalog._listeners.insert(0, listener)
    return failures


class TestTableThatEntriesFailToApply:
    # A table that raises an exception would end every entry, and again at each start.
    def test_ends_no_entry_and_is_left_for_the_next_one(self, tmp_path: Path):
        async def work() -> None:
            servers = [PlainServer(instance="i-1", service="service")]
            async with Site(folder=tmp_path, servers=servers, entries=2) as site:
                await site.put_routes(route("/old/", "service"))
                failures = []
                for entry in range(2):
                    await eventually(lambda entry=entry: served(site, "/old/", entry), "an answer")
                    failures.append(fail_on(site.entries[entry].kernel.get("feed", ControlFeed)))
                await site.put_routes(route("/old/", "service"), route("/failing/", "service"))
                await asyncio.sleep(1.0)  # several attempts to apply it
                assert all(failures)
                for entry in range(2):
                    assert await served(site, "/old/", entry)
                await site.put_routes(route("/old/", "service"), route("/new/", "service"))
                for entry in range(2):
                    await eventually(lambda entry=entry: served(site, "/new/", entry), "an answer")

        asyncio.run(asyncio.wait_for(work(), 60))


async def served(site: Site, prefix: str, entry: int) -> bool:
    return await site.post(f"{prefix}a", b"body", entry=entry) == 200
