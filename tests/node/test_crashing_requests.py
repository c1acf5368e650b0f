"""A request that crashes the engines that run it is quarantined by all entries.

Guards against an incident: a request that had crashed three engines was sent to engines again and
again by every entry. Twenty engines crashed, and half of all other requests were refused meanwhile.
Its caller resent it every few seconds, to any entry, each time as a new attempt. Each entry sent
each attempt to two engines, the second one just after the first had crashed. Attempts, the retry
budget and ejection are limited to one call or one process, so no entry knew what all entries
together had observed of a request.

The tests run a control replica and entries as whole processes, servers that crash when they run a
certain body, and a caller that resends it to one entry after the other.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.node.crashing import KINDS, POISON, CrashingServer, CrashLog, service_route
from tests.node.site import Site
from tests.support import eventually, sleep_without_hold

SERVERS = 12
ENTRIES = 3
PAUSE_S = 0.15
SPREAD_S = 0.4  # time within which all entries must know
LATE_S = 0.25  # delay after a server started to run it, while it still runs
FIELDS = {"X-Model": "m", "X-Token-Usage": "10,3"}


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
            await site.put_routes(service_route(kind))
            for entry in range(ENTRIES):
                await eventually(lambda entry=entry: served(site, entry), "an answer")
            await site.pause()
            await work(site, crash_log)

    asyncio.run(asyncio.wait_for(run(), 60))


async def served(site: Site, entry: int) -> bool:
    return await site.post("/ask/a", b"good", entry=entry, fields=FIELDS) == 200


async def send_again(site: Site, times: int, body: bytes = POISON) -> list[int]:
    """Resend a request to one entry after the other; return the statuses."""
    statuses = []
    for number in range(times):
        entry = number % ENTRIES
        statuses.append(await site.post("/ask/p", body, entry=entry, fields=FIELDS))
        await asyncio.sleep(PAUSE_S)
    return statuses


@pytest.mark.parametrize("kind", sorted(KINDS))
class TestPoisonRequest:
    def test_is_not_sent_after_the_third_crash(self, tmp_path, kind):
        async def work(site: Site, crash_log: CrashLog) -> None:
            statuses = await send_again(site, 12)
            assert len(crash_log.crash_times_s) >= 3
            assert crash_log.arrivals_after_third_crash(SPREAD_S) == 0
            assert statuses[-ENTRIES:] == [503] * ENTRIES
            for entry in range(ENTRIES):
                assert await served(site, entry)

        with_site(tmp_path, kind, work)

    def test_causes_few_crashes_when_sent_to_all_entries_at_once(self, tmp_path, kind):
        async def work(site: Site, crash_log: CrashLog) -> None:
            for _ in range(4):
                sends = [
                    site.post("/ask/p", POISON, entry=entry, fields=FIELDS)
                    for entry in range(ENTRIES)
                ]
                await asyncio.gather(*sends)
                await sleep_without_hold(PAUSE_S)
            assert 3 <= len(crash_log.crash_times_s) <= 2 * ENTRIES  # including those in flight
            assert crash_log.arrivals_after_third_crash(SPREAD_S) == 0

        with_site(tmp_path, kind, work)


class TestCallsInFlightWhenTheirRequestIsQuarantined:
    def test_are_aborted_before_they_crash_another_server(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog) -> None:
            first = asyncio.create_task(send_again(site, 3))
            await eventually(lambda: len(crash_log.arrivals_s) == 3, "a third server that runs it")
            await asyncio.sleep(LATE_S)
            statuses = [await site.post("/ask/p", POISON, entry=2, fields=FIELDS), *await first]
            assert 502 in statuses
            assert len(crash_log.crash_times_s) == 3
            assert len(crash_log.arrivals_s) == 4

        with_site(tmp_path, "plain", work, run_s=2 * LATE_S)


class TestQuarantineDecision:
    def test_reaches_an_entry_that_starts_later(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog) -> None:
            await send_again(site, 6)
            await site.restart_entry(1)
            await eventually(lambda: served(site, 1), "an answer of the new entry")
            await refused_everywhere(site, crash_log)

        with_site(tmp_path, "plain", work)

    def test_reaches_a_control_replica_that_restarts(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog) -> None:
            await send_again(site, 6)
            await site.restart_control()
            await site.restart_entry(1)
            await eventually(lambda: served(site, 1), "an answer of the new entry")
            await refused_everywhere(site, crash_log)

        with_site(tmp_path, "plain", work)

    def test_survives_a_restart_of_all_processes(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog) -> None:
            await send_again(site, 6)
            await asyncio.sleep(PAUSE_S)  # until the state is on disk
            await site.restart_control()
            for entry in range(ENTRIES):
                await site.restart_entry(entry)
            for entry in range(ENTRIES):
                await eventually(lambda entry=entry: served(site, entry), "an answer")
            await refused_everywhere(site, crash_log)

        with_site(tmp_path, "plain", work)


async def refused_everywhere(site: Site, crash_log: CrashLog) -> None:
    """Check that no entry sends the request to a server any more."""
    before = len(crash_log.arrivals_s)
    assert await send_again(site, ENTRIES) == [503] * ENTRIES
    assert len(crash_log.arrivals_s) == before


class TestServersThatOnlyResetConnections:
    def test_do_not_cause_quarantine(self, tmp_path):
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
