"""A prompt part that crashes the engines that run it is quarantined by all entries.

Guards against an incident: requests that had one prompt part in common, and were otherwise all
different, crashed one engine after the other. Thirty-eight engines crashed. Only whole requests
were suspected, so each of these requests was a new one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.node.crashing import CRASHING_PART, KINDS, CrashLog, service_route
from tests.node.site import Site
from tests.support import eventually

SERVERS = 12
ENTRIES = 3
REQUESTS = 24
PAUSE_S = 0.1
SPREAD_S = 0.25  # time within which all entries must know
FRAMINGS = {"framed": False, "until-close": True}


def with_site(
    folder: Path,
    kind: str,
    work: Callable[[Site, CrashLog], Awaitable[None]],
    *,
    until_close: bool = False,
) -> None:
    crash_log = CrashLog()

    async def run() -> None:
        servers = [
            KINDS[kind](number=number, service="service", crash_log=crash_log)
            for number in range(SERVERS)
        ]
        for server in servers:
            server.until_close = until_close
        async with Site(folder=folder, servers=servers, entries=ENTRIES) as site:
            await site.put_routes(service_route(kind))
            for entry in range(ENTRIES):
                await eventually(lambda entry=entry: sound(site, entry), "an answer")
            await site.pause()
            await work(site, crash_log)

    asyncio.run(asyncio.wait_for(run(), 60))


async def ask(site: Site, number: int, parts: str, *, entry: int) -> int:
    """Send a request that no other one equals; return the status."""
    fields = {
        "X-Model": "m",
        "X-Token-Usage": "10,3",
        "X-Prompt-Prefix": f"5c:40,{parts}{0xA000 + number:x}:10",
    }
    return await site.post("/ask/p", b"body %d" % number, entry=entry, fields=fields)


async def sound(site: Site, entry: int) -> bool:
    return await ask(site, 0, "77:20,", entry=entry) == 200


async def ask_with_crashing_part(site: Site, first: int, times: int) -> tuple[list[int], list[int]]:
    """Send requests with the crashing part, each beside sound ones; return all statuses."""
    crashing, others = [], []
    for number in range(first, first + times):
        entry = number % ENTRIES
        sends = [
            ask(site, 2 * number, f"{CRASHING_PART}:30,", entry=entry),
            *(ask(site, 2 * number + 1, "77:20,", entry=other) for other in range(ENTRIES)),
        ]
        statuses = await asyncio.gather(*sends)
        crashing.append(statuses[0])
        others += statuses[1:]
        await asyncio.sleep(PAUSE_S)
    return crashing, others


@pytest.mark.parametrize("framing", sorted(FRAMINGS))
@pytest.mark.parametrize("kind", sorted(KINDS))
class TestCrashingPart:
    # Requests that share only a crashing part ended engines without bound. Where all answers end
    # with their connection, none cleared anybody, and parts of sound requests were refused.
    def test_is_not_sent_after_the_fifth_crash(self, tmp_path, kind, framing):
        async def work(site: Site, crash_log: CrashLog) -> None:
            crashing, others = await ask_with_crashing_part(site, 1, REQUESTS)
            crashes = len(crash_log.crash_times_s)
            assert 3 <= crashes <= 5
            assert crash_log.arrivals_after_crash(crashes, SPREAD_S) == 0
            assert crashing[-ENTRIES:] == [503] * ENTRIES
            assert others == [200] * (ENTRIES * REQUESTS)

        with_site(tmp_path, kind, work, until_close=FRAMINGS[framing])


class TestQuarantineOfAPart:
    # A verdict on a part would be lost with the processes that know it.
    def test_survives_a_restart_of_all_processes(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog) -> None:
            await ask_with_crashing_part(site, 1, REQUESTS // 2)
            await site.restart_control()
            for entry in range(ENTRIES):
                await site.restart_entry(entry)
            for entry in range(ENTRIES):
                await eventually(lambda entry=entry: sound(site, entry), "an answer")
            before = len(crash_log.arrivals_s)
            crashing, others = await ask_with_crashing_part(site, 100, ENTRIES)
            assert crashing == [503] * ENTRIES
            assert others == [200] * (ENTRIES * ENTRIES)
            assert len(crash_log.arrivals_s) == before

        with_site(tmp_path, "stream", work)
