"""Backend servers that refuse requests and ask for a back-off, tested with whole entries."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.node.load import FIELDS, Load, with_site
from tests.node.self_reporting import SelfReportingEngine, SelfReportingServer
from tests.node.site import HOST, Site
from tests.support import eventually

SERVERS = 3
ENTRIES = 3
KINDS = {"plain": SelfReportingServer, "stream": SelfReportingEngine}
READ_S = 0.05  # until a response that was sent has been read
SPREAD_S = 0.2  # until all connected entries know
BACKOFF_S = 1.5
OBJECTIVE_S = 1.0  # of the route; a request may wait that long for the end of a back-off

Work = Callable[[Site, list[SelfReportingServer | SelfReportingEngine]], Awaitable[None]]


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def send_request(site: Site) -> tuple[int, float]:
    """Send one request; return status and Retry-After."""
    headers = {"Host": HOST, "X-Attempt-Id": f"{0xFFFF:016x}", **FIELDS}
    async with site.http.post(f"http://{site.callers}/ask/a", data=b"x", headers=headers) as answer:
        await answer.read()
        return answer.status, float(answer.headers.get("Retry-After", "nan"))


def run_on_site(folder: Path, kind: str, work: Work, *, entries: int = 1) -> None:
    servers = [KINDS[kind](number=number, service="service") for number in range(SERVERS)]
    with_site(folder, kind=kind, servers=servers, entries=entries, work=work)


@pytest.mark.parametrize("kind", sorted(KINDS))
class TestServerInBackoff:
    # Guards against: requests and retries sent to a server whose 503 asked for a back-off.
    def test_gets_no_request_until_its_backoff_ends(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            backing_off = servers[0]
            async with Load(site=site, entries=[0]) as load:
                backing_off.retry_after = f"{BACKOFF_S}"
                await asyncio.sleep(1.0)
            assert backing_off.first_report_s is not None
            assert backing_off.arrivals_after(backing_off.first_report_s + READ_S) == 0
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, kind, work)

    # Guards against: a server stays unused after its back-off, by all entries or by some.
    def test_is_used_again_soon_after_its_backoff(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            backing_off = servers[0]
            backing_off.retry_after = "0.6"
            async with Load(site=site, entries=range(ENTRIES)):
                await eventually(lambda: backing_off.first_report_s, "a request for rest")
                await asyncio.sleep(0.3)
                backing_off.reset()
                await asyncio.sleep(0.3 + 1.0)
                backing_off.arrivals_s.clear()
                await asyncio.sleep(0.5)
            assert len(backing_off.arrivals_s) >= 3

        run_on_site(tmp_path, kind, work, entries=ENTRIES)

    # Guards against: all requests that waited for the end of a back-off arrive at once.
    def test_is_probed_by_one_request_of_each_entry_at_first(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            backing_off = servers[0]
            async with Load(site=site, entries=range(ENTRIES)) as load:
                backing_off.retry_after = "0.8"
                await eventually(lambda: backing_off.first_report_s, "a request for rest")
                await asyncio.sleep(0.4)
                backing_off.arrivals_s.clear()
                await asyncio.sleep(1.6)  # several back-offs, each asked for in reply to a probe
            assert 1 <= len(backing_off.arrivals_s) <= 3 * ENTRIES
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, kind, work, entries=ENTRIES)

    # Guards against: callers wait in vain, or get a Retry-After before any back-off ends.
    def test_with_all_others_in_backoff_leads_to_an_immediate_503_with_the_earliest_end(
        self, tmp_path, kind
    ):
        async def work(site: Site, servers) -> None:
            for server, backoff_s in zip(servers, (5, 3, 4), strict=True):
                server.retry_after = f"{backoff_s}"
            async with Load(site=site, entries=[0]):
                await eventually(lambda: all(server.first_report_s for server in servers), "rests")
            arrived = sum(len(server.arrivals_s) for server in servers)
            sent_s = now_s()
            status, retry_after_s = await send_request(site)
            assert now_s() - sent_s < OBJECTIVE_S
            assert status == 503
            assert 2.0 < retry_after_s < 4.0
            assert sum(len(server.arrivals_s) for server in servers) == arrived

        run_on_site(tmp_path, kind, work)

    # Guards against: refusing a request that a server could run within its latency objective.
    def test_with_all_others_in_backoff_lets_a_request_wait_for_an_end_in_time(
        self, tmp_path, kind
    ):
        async def work(site: Site, servers) -> None:
            for server in servers:
                server.retry_after = "0.25"
            async with Load(site=site, entries=[0], rate_per_s=20):
                await eventually(lambda: all(server.first_report_s for server in servers), "rests")
            for server in servers:
                server.reset()
            status, _ = await send_request(site)
            assert status == 200

        run_on_site(tmp_path, kind, work)


class TestBackoff:
    @pytest.mark.parametrize("value", ["", "0", "-1", "nan", "inf", "1e9", "1,5", "9" * 8_000])
    def test_with_an_invalid_time_is_ignored(self, tmp_path, value):
        async def work(site: Site, servers) -> None:
            servers[0].retry_after = value
            async with Load(site=site, entries=[0]) as load:
                await asyncio.sleep(0.7)
            assert len(servers[0].arrivals_s) > 3
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, "plain", work)

    @pytest.mark.parametrize("status", [429, 500])
    def test_requires_status_503(self, tmp_path, status):
        async def work(site: Site, servers) -> None:
            servers[0].retry_after = "600"
            servers[0].refusal_status = status
            async with Load(site=site, entries=[0]):
                await eventually(lambda: len(servers[0].arrivals_s) > 3, "requests")

        run_on_site(tmp_path, "plain", work)

    # Guards against: a new life of a server at the same address inherits a long back-off.
    def test_of_a_former_life_is_ignored(self, tmp_path):
        async def work(site: Site, servers) -> None:
            servers[0].retry_after = "600"
            async with Load(site=site, entries=[0]):
                await eventually(lambda: servers[0].first_report_s, "a request for rest")
                servers[0].reset()
                servers[0].born_ms = 1_000
                await eventually(lambda: len(servers[0].arrivals_s) > 5, "requests")

        run_on_site(tmp_path, "stream", work)

    # Guards against: each entry learns of a back-off only by a refusal and a retry of its own.
    def test_reported_by_another_entry_makes_this_one_prefer_other_servers(self, tmp_path):
        async def work(site: Site, servers) -> None:
            async with Load(site=site, entries=range(ENTRIES)):
                await eventually(lambda: len(servers[0].arrivals_s) > 10, "answers everywhere")
            servers[0].retry_after = "30"
            async with Load(site=site, entries=[0]):
                await eventually(lambda: servers[0].first_report_s, "a request for rest")
            await asyncio.sleep(SPREAD_S)
            servers[0].arrivals_s.clear()
            async with Load(site=site, entries=[1, 2]) as load:
                await asyncio.sleep(0.7)
            assert servers[0].arrivals_s == []
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, "plain", work, entries=ENTRIES)

    # Guards against: no entry uses a server that asked only one entry for a back-off.
    def test_reported_by_another_entry_does_not_prevent_requests(self, tmp_path):
        async def work(site: Site, servers) -> None:
            for server in servers:
                server.retry_after = "30"
            async with Load(site=site, entries=[0]):
                await eventually(lambda: all(server.first_report_s for server in servers), "rests")
            for server in servers:
                server.reset()
            async with Load(site=site, entries=[1]) as load:
                await asyncio.sleep(0.7)
            assert set(load.statuses) == {200}

        run_on_site(tmp_path, "stream", work, entries=ENTRIES)
