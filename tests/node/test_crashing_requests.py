"""The incident of the request that ended one engine after the other.

Seen: a request under which three engines had ended was sent to engines again and again, by every
entry; twenty engines ended, and half of what all other callers asked for was refused meanwhile.

How it came about: its caller sent it again each few seconds, at whatever entry, each time as a new
attempt. Each entry sent each attempt to two engines, the second a moment after the first had ended.

Cause: whether a request may be sent again was judged for each call alone. Attempts, the budget of
repeats and ejection all end with the call or stay within one process, so what all entries together
had seen of a request was known to none.

Proof: entries and a control replica as whole processes, servers that end when they begin to run
one certain body, and a caller that sends it again at one entry after the other.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.node.crashing import POISON, CrashingEngine, CrashingServer, CrashLog
from tests.node.site import Site, route
from tests.support import eventually

SERVERS = 12
ENTRIES = 3
PAUSE_S = 0.15
SPREAD_S = 0.4  # until all entries have to know
LATE_S = 0.25  # after a server began to run it, while it still runs
FIELDS = {"X-Model": "m", "X-Token-Usage": "10,3"}
KINDS = {"plain": CrashingServer, "stream": CrashingEngine}


def a_route(kind: str) -> dict[str, object]:
    streams = {"type": "streaming", "resumable": True, "gapTargetMs": 400}
    return {**route("/ask/", "service"), **(streams if kind == "stream" else {})}


def with_site(
    folder: Path,
    kind: str,
    work: Callable[[Site, CrashLog], Awaitable[None]],
    *,
    run_s: float = 0.02,
) -> None:
    crash_log = CrashLog()

    async def run() -> None:
        servers = [
            KINDS[kind](number=number, service="service", crash_log=crash_log, run_s=run_s)
            for number in range(SERVERS)
        ]
        async with Site(folder=folder, servers=servers, entries=ENTRIES) as site:
            await site.put_routes(a_route(kind))
            for entry in range(ENTRIES):
                await eventually(lambda entry=entry: served(site, entry), "an answer")
            await site.pause()
            await work(site, crash_log)

    asyncio.run(asyncio.wait_for(run(), 60))


async def served(site: Site, entry: int) -> bool:
    return await site.post("/ask/a", b"good", entry=entry, fields=FIELDS) == 200


async def send_again(site: Site, times: int, body: bytes = POISON) -> list[int]:
    """Send one request again and again, at one entry after the other; gives the statuses."""
    statuses = []
    for number in range(times):
        entry = number % ENTRIES
        statuses.append(await site.post("/ask/p", body, entry=entry, fields=FIELDS))
        await asyncio.sleep(PAUSE_S)
    return statuses


@pytest.mark.parametrize("kind", sorted(KINDS))
class TestRequestThatEndsItsServers:
    def test_is_sent_no_more_after_the_third(self, tmp_path, kind):
        async def work(site: Site, crash_log: CrashLog) -> None:
            statuses = await send_again(site, 12)
            assert len(crash_log.ends_s) >= 3
            assert crash_log.arrivals_after_third_end(SPREAD_S) == 0
            assert statuses[-ENTRIES:] == [503] * ENTRIES
            for entry in range(ENTRIES):
                assert await served(site, entry)

        with_site(tmp_path, kind, work)

    def test_ends_no_more_servers_where_it_comes_to_all_entries_at_once(self, tmp_path, kind):
        async def work(site: Site, crash_log: CrashLog) -> None:
            for _ in range(4):
                sends = [
                    site.post("/ask/p", POISON, entry=entry, fields=FIELDS)
                    for entry in range(ENTRIES)
                ]
                await asyncio.gather(*sends)
                await asyncio.sleep(PAUSE_S)
            assert (
                3 <= len(crash_log.ends_s) <= 2 * ENTRIES
            )  # those that were on their way included
            assert crash_log.arrivals_after_third_end(SPREAD_S) == 0

        with_site(tmp_path, kind, work)


class TestCallsThatRunWhenTheirRequestIsHeld:
    def test_are_broken_off_before_they_end_another_server(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog) -> None:
            first = asyncio.create_task(send_again(site, 3))
            await eventually(lambda: len(crash_log.arrivals_s) == 3, "a third server that runs it")
            await asyncio.sleep(LATE_S)
            statuses = [await site.post("/ask/p", POISON, entry=2, fields=FIELDS), *await first]
            assert 502 in statuses
            assert len(crash_log.ends_s) == 3
            assert len(crash_log.arrivals_s) == 4

        with_site(tmp_path, "plain", work, run_s=2 * LATE_S)


class TestVerdict:
    def test_is_known_to_an_entry_that_starts_later(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog) -> None:
            await send_again(site, 6)
            await site.restart_entry(1)
            await eventually(lambda: served(site, 1), "an answer of the new entry")
            await refused_everywhere(site, crash_log)

        with_site(tmp_path, "plain", work)

    def test_is_told_to_a_control_replica_that_starts_again(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog) -> None:
            await send_again(site, 6)
            await site.restart_control()
            await site.restart_entry(1)
            await eventually(lambda: served(site, 1), "an answer of the new entry")
            await refused_everywhere(site, crash_log)

        with_site(tmp_path, "plain", work)

    def test_outlasts_all_processes(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog) -> None:
            await send_again(site, 6)
            await asyncio.sleep(PAUSE_S)  # the disk has time
            await site.restart_control()
            for entry in range(ENTRIES):
                await site.restart_entry(entry)
            for entry in range(ENTRIES):
                await eventually(lambda entry=entry: served(site, entry), "an answer")
            await refused_everywhere(site, crash_log)

        with_site(tmp_path, "plain", work)


async def refused_everywhere(site: Site, crash_log: CrashLog) -> None:
    """Check that no entry sends the request any more."""
    before = len(crash_log.arrivals_s)
    assert await send_again(site, ENTRIES) == [503] * ENTRIES
    assert len(crash_log.arrivals_s) == before


class TestServersThatOnlyBreakConnections:
    def test_do_not_bring_a_request_into_quarantine(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog) -> None:
            for server in site.servers:
                assert isinstance(server, CrashingServer)
                server.only_resets = True
            await send_again(site, 9)
            for server in site.servers:
                assert isinstance(server, CrashingServer)
                server.only_resets = False
            before = len(crash_log.arrivals_s)
            assert before >= 9
            await send_again(site, 1)
            assert len(crash_log.arrivals_s) > before

        with_site(tmp_path, "plain", work)
