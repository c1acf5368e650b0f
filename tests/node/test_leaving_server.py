"""Backend servers that report in their responses that they leave, tested with whole entries."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.node.load import Load, with_site
from tests.node.self_reporting import SelfReportingEngine, SelfReportingServer
from tests.node.site import HEARTBEAT_S, Site
from tests.support import eventually

SERVERS = 3
ENTRIES = 3
KINDS = {"plain": SelfReportingServer, "stream": SelfReportingEngine}
SLOW_S = 0.1  # of all servers but the first, so that entries prefer the first
READ_S = 0.05  # until a response that was sent has been read
SPREAD_S = 0.2  # until all connected entries know

Work = Callable[[Site, list[SelfReportingServer | SelfReportingEngine]], Awaitable[None]]


def now_s() -> float:
    return asyncio.get_running_loop().time()


def run_on_site(folder: Path, kind: str, work: Work) -> None:
    servers = [
        KINDS[kind](number=number, service="service", run_s=0.02 if number == 0 else SLOW_S)
        for number in range(SERVERS)
    ]
    with_site(folder, kind=kind, servers=servers, entries=ENTRIES, work=work)


@pytest.mark.parametrize("kind", sorted(KINDS))
class TestLeavingServer:
    # Guards against: requests to a server whose response told this entry that it leaves.
    def test_gets_no_request_after_its_first_response_that_says_so(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            async with Load(site=site, entries=[0]) as load:
                servers[0].leaving = True
                await asyncio.sleep(1.0)
            assert servers[0].first_report_s is not None
            assert servers[0].arrivals_after(servers[0].first_report_s + READ_S) == 0
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, kind, work)

    # Guards against: an entry without a control replica ignores reports in responses.
    def test_gets_no_request_from_an_entry_without_a_control_replica(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            await site.control.kernel.kill()
            async with Load(site=site, entries=[0]) as load:
                servers[0].leaving = True
                await asyncio.sleep(1.0)
            assert servers[0].first_report_s is not None
            assert servers[0].arrivals_after(servers[0].first_report_s + READ_S) == 0
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, kind, work)

    # Guards against: entries that got no such response use the server until its next heartbeat.
    def test_soon_gets_no_request_from_other_entries(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            servers[0].leaving = True
            async with Load(site=site, entries=[0], rate_per_s=200):
                await eventually(lambda: servers[0].first_report_s, "an answer that says so")
            assert servers[0].first_report_s is not None
            await asyncio.sleep(max(0.0, servers[0].first_report_s + SPREAD_S - now_s()))
            async with Load(site=site, entries=[1, 2]):
                await asyncio.sleep(0.5)
            assert servers[0].arrivals_after(servers[0].first_report_s + SPREAD_S) == 0

        run_on_site(tmp_path, kind, work)


class TestLeavingReport:
    # Guards against: entries miss one of the ways in which servers report that they leave.
    @pytest.mark.parametrize("way", ["state", "farewell", "answers", "all"])
    def test_soon_reaches_all_entries(self, tmp_path, way):
        async def work(site: Site, servers) -> None:
            async with Load(site=site, entries=range(ENTRIES)) as load:
                await asyncio.sleep(0.3)
                servers[0].draining = way in ("state", "all")
                servers[0].leaving = way in ("answers", "all")
                await asyncio.sleep(2 * HEARTBEAT_S)  # until a heartbeat has been sent
                if way in ("farewell", "all"):
                    servers[0].silent = True
                    await site.deregister(servers[0])
                if way == "answers":
                    await eventually(lambda: servers[0].first_report_s, "an answer that says so")
                reported_s = now_s()
                await asyncio.sleep(SPREAD_S + 0.5)
            assert servers[0].arrivals_after(reported_s + SPREAD_S) == 0
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, "plain", work)


class TestServerLife:
    # Guards against: a server that restarts under the same name stays unused.
    def test_is_used_after_a_former_life_left(self, tmp_path):
        async def work(site: Site, servers) -> None:
            servers[0].leaving = True
            async with Load(site=site, entries=range(ENTRIES)):
                await eventually(lambda: servers[0].first_report_s, "an answer that says so")
                servers[0].reset()
                servers[0].born_ms = 1_000
                await eventually(lambda: len(servers[0].arrivals_s) > 5, "requests")

        run_on_site(tmp_path, "stream", work)

    # Guards against: a leaving server is used again after a control replica restarted.
    def test_that_leaves_stays_unused_when_the_control_replica_restarts(self, tmp_path):
        async def work(site: Site, servers) -> None:
            servers[0].leaving = True
            async with Load(site=site, entries=range(ENTRIES)):
                await eventually(lambda: servers[0].first_report_s, "an answer that says so")
                await asyncio.sleep(SPREAD_S)
                await site.restart_control()
                await asyncio.sleep(2.0)
            assert servers[0].first_report_s is not None
            assert servers[0].arrivals_after(servers[0].first_report_s + SPREAD_S) == 0

        run_on_site(tmp_path, "plain", work)

    # Guards against: an entry that starts later learns of it only by a request of its own.
    def test_that_leaves_gets_no_request_from_an_entry_that_starts(self, tmp_path):
        async def work(site: Site, servers) -> None:
            servers[0].leaving = True
            async with Load(site=site, entries=[0, 1]):
                await eventually(lambda: servers[0].first_report_s, "an answer that says so")
            assert servers[0].first_report_s is not None
            await site.restart_entry(2)
            async with Load(site=site, entries=[2]) as load:
                await eventually(lambda: 200 in load.statuses, "an answer of the new entry")
                await asyncio.sleep(0.5)
            assert servers[0].arrivals_after(servers[0].first_report_s + SPREAD_S) == 0

        run_on_site(tmp_path, "plain", work)
