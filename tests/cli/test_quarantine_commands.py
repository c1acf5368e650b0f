"""Tests of the quarantine commands, run as a user runs them against a control replica."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from tests.cli.test_application import run
from tests.node.crashing import POISON, CrashingServer, CrashLog
from tests.node.site import Site, route
from tests.support import eventually

UNKNOWN = "0" * 32


async def ask(*arguments: str, **variables: str):
    return await asyncio.to_thread(run, *arguments, **variables)


def with_quarantined_request(folder: Path, work) -> None:
    """Start a site, get one request into quarantine and run the work on it."""
    crash_log = CrashLog()

    async def run_site() -> None:
        servers = [
            CrashingServer(number=number, service="service", crash_log=crash_log)
            for number in range(8)
        ]
        async with Site(folder=folder, servers=servers, entries=2) as site:
            await site.put_routes(route("/ask/", "service"))
            for entry in range(2):
                await eventually(lambda entry=entry: is_served(site, entry), "an answer")
            for number in range(4):
                await site.post("/ask/p", POISON, entry=number % 2)
                await asyncio.sleep(0.15)
            assert await site.post("/ask/p", POISON) == 503
            await work(site, crash_log, site._control_settings.wire_address)

    asyncio.run(asyncio.wait_for(run_site(), 90))


async def is_served(site: Site, entry: int) -> bool:
    return await site.post("/ask/a", b"good", entry=entry) == 200


class TestQuarantine:
    def test_quarantined_request_is_listed_shown_and_released(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog, replica: str) -> None:
            listed = json.loads((await ask("quarantine", "list", replica, "--json")).stdout)
            assert [(found["released"], found["kind"]) for found in listed] == [(False, "request")]
            fingerprint = listed[0]["fingerprint"]
            shown = (await ask("quarantine", "show", replica, fingerprint[:12])).stdout
            assert shown.count("i-") == 3
            released = await ask("quarantine", "release", replica, fingerprint[:12])
            assert released.returncode == 0
            before = len(crash_log.arrivals_s)
            await site.post("/ask/p", POISON, entry=1)
            assert len(crash_log.arrivals_s) > before
            again = await ask("quarantine", "release", replica, fingerprint)
            assert (again.returncode, "[412]" in again.stderr) == (4, True)
            assert "held" not in (await ask("quarantine", "list", replica)).stdout
            assert "released" in (await ask("quarantine", "list", replica, "--all")).stdout

        with_quarantined_request(tmp_path, work)

    @pytest.mark.parametrize(
        ("fingerprint", "code"), [(UNKNOWN, "[412]"), ("no digits", "[413]"), ("", "[413]")]
    )
    def test_release_of_an_unknown_fingerprint_changes_nothing(self, tmp_path, fingerprint, code):
        async def work(site: Site, crash_log: CrashLog, replica: str) -> None:
            completed = await ask("quarantine", "release", replica, fingerprint)
            assert (completed.returncode, code in completed.stderr) == (4, True)
            assert await site.post("/ask/p", POISON, entry=1) == 503

        with_quarantined_request(tmp_path, work)

    def test_release_with_a_wrong_token_is_refused(self, tmp_path):
        async def work(site: Site, crash_log: CrashLog, replica: str) -> None:
            arguments = ("quarantine", "release", replica, UNKNOWN)
            completed = await ask(*arguments, LEADHOLLOW_WIRE_TOKEN="another")
            assert (completed.returncode, "[704]" in completed.stderr) == (7, True)

        with_quarantined_request(tmp_path, work)

    def test_unreachable_replica_exits_with_7(self):
        completed = run("quarantine", "list", "127.0.0.1:1")
        assert (completed.returncode, "[705]" in completed.stderr) == (7, True)
