"""Backend servers that turn requests away and ask for rest, before whole entries."""

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
READ_S = 0.05  # until an answer that was written has been read
SPREAD_S = 0.2  # until all entries in touch know
REST_S = 1.5
OBJECTIVE_S = 1.0  # of the route; a request that is kept for an end is kept until then

Work = Callable[[Site, list[SelfReportingServer | SelfReportingEngine]], Awaitable[None]]


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def asked(site: Site) -> tuple[int, float]:
    """Send one request; gives status and Retry-After."""
    headers = {"Host": HOST, "X-Attempt-Id": f"{0xFFFF:016x}", **FIELDS}
    async with site.http.post(f"http://{site.callers}/ask/a", data=b"x", headers=headers) as answer:
        await answer.read()
        return answer.status, float(answer.headers.get("Retry-After", "nan"))


def on_site(folder: Path, kind: str, work: Work, *, entries: int = 1) -> None:
    servers = [KINDS[kind](number=number, service="service") for number in range(SERVERS)]
    with_site(folder, kind=kind, servers=servers, entries=entries, work=work)


@pytest.mark.parametrize("kind", sorted(KINDS))
class TestServerThatRests:
    # Guards against: requests and repeats that are spent on a server whose 503 had asked for rest.
    def test_gets_no_request_until_its_rest_is_over(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            resting = servers[0]
            async with Load(site=site, entries=[0]) as load:
                resting.retry_after = f"{REST_S}"
                await asyncio.sleep(1.0)
            assert resting.told_s is not None
            assert resting.arrivals_after(resting.told_s + READ_S) == 0
            assert set(load.statuses) == {200}

        on_site(tmp_path, kind, work)

    # Guards against: a server that had rested stays out of use, or only some entries come back.
    def test_is_used_again_soon_after(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            resting = servers[0]
            resting.retry_after = "0.6"
            async with Load(site=site, entries=range(ENTRIES)):
                await eventually(lambda: resting.told_s, "a request for rest")
                await asyncio.sleep(0.3)
                resting.reset()
                await asyncio.sleep(0.3 + 1.0)
                resting.arrivals_s.clear()
                await asyncio.sleep(0.5)
            assert len(resting.arrivals_s) >= 3

        on_site(tmp_path, kind, work, entries=ENTRIES)

    # Guards against: all that waited for the end of a rest arrive in the same moment.
    def test_is_tried_by_one_request_of_each_entry_at_first(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            resting = servers[0]
            async with Load(site=site, entries=range(ENTRIES)) as load:
                resting.retry_after = "0.8"
                await eventually(lambda: resting.told_s, "a request for rest")
                await asyncio.sleep(0.4)
                resting.arrivals_s.clear()
                await asyncio.sleep(1.6)  # some rests, each asked for by a request that tried
            assert 1 <= len(resting.arrivals_s) <= 3 * ENTRIES
            assert set(load.statuses) == {200}

        on_site(tmp_path, kind, work, entries=ENTRIES)

    # Guards against: callers held without hope, or told a time at which everybody still rests.
    def test_and_all_others_too_refuse_at_once_with_the_first_end(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            for server, rest_s in zip(servers, (5, 3, 4), strict=True):
                server.retry_after = f"{rest_s}"
            async with Load(site=site, entries=[0]):
                await eventually(lambda: all(server.told_s for server in servers), "rests")
            arrived = sum(len(server.arrivals_s) for server in servers)
            asked_s = now_s()
            status, retry_after_s = await asked(site)
            assert now_s() - asked_s < OBJECTIVE_S
            assert status == 503
            assert 2.0 < retry_after_s < 4.0
            assert sum(len(server.arrivals_s) for server in servers) == arrived

        on_site(tmp_path, kind, work)

    # Guards against: a request refused though a server takes it within its objective.
    def test_and_all_others_too_keep_a_request_for_an_end_in_time(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            for server in servers:
                server.retry_after = "0.25"
            async with Load(site=site, entries=[0], rate_per_s=20):
                await eventually(lambda: all(server.told_s for server in servers), "rests")
            for server in servers:
                server.reset()
            status, _ = await asked(site)
            assert status == 200

        on_site(tmp_path, kind, work)


class TestRest:
    @pytest.mark.parametrize("value", ["", "0", "-1", "nan", "inf", "1e9", "1,5", "9" * 8_000])
    def test_that_is_no_time_changes_nothing(self, tmp_path, value):
        async def work(site: Site, servers) -> None:
            servers[0].retry_after = value
            async with Load(site=site, entries=[0]) as load:
                await asyncio.sleep(0.7)
            assert len(servers[0].arrivals_s) > 3
            assert set(load.statuses) == {200}

        on_site(tmp_path, "plain", work)

    @pytest.mark.parametrize("status", [429, 500])
    def test_is_asked_for_by_503_only(self, tmp_path, status):
        async def work(site: Site, servers) -> None:
            servers[0].retry_after = "600"
            servers[0].turned_away_status = status
            async with Load(site=site, entries=[0]):
                await eventually(lambda: len(servers[0].arrivals_s) > 3, "requests")

        on_site(tmp_path, "plain", work)

    # Guards against: a new life of a server, at the same address, inherits a long rest.
    def test_of_a_former_life_is_over(self, tmp_path):
        async def work(site: Site, servers) -> None:
            servers[0].retry_after = "600"
            async with Load(site=site, entries=[0]):
                await eventually(lambda: servers[0].told_s, "a request for rest")
                servers[0].reset()
                servers[0].born_ms = 1_000
                await eventually(lambda: len(servers[0].arrivals_s) > 5, "requests")

        on_site(tmp_path, "stream", work)

    # Guards against: each entry finds out for itself, at the cost of a repeat each.
    def test_of_another_entry_makes_this_one_prefer_other_servers(self, tmp_path):
        async def work(site: Site, servers) -> None:
            async with Load(site=site, entries=range(ENTRIES)):
                await eventually(lambda: len(servers[0].arrivals_s) > 10, "answers everywhere")
            servers[0].retry_after = "30"
            async with Load(site=site, entries=[0]):
                await eventually(lambda: servers[0].told_s, "a request for rest")
            await asyncio.sleep(SPREAD_S)
            servers[0].arrivals_s.clear()
            async with Load(site=site, entries=[1, 2]) as load:
                await asyncio.sleep(0.7)
            assert servers[0].arrivals_s == []
            assert set(load.statuses) == {200}

        on_site(tmp_path, "plain", work, entries=ENTRIES)

    # Guards against: a server that wants rest of one entry only is lost to all.
    def test_of_another_entry_does_not_bind_this_one(self, tmp_path):
        async def work(site: Site, servers) -> None:
            for server in servers:
                server.retry_after = "30"
            async with Load(site=site, entries=[0]):
                await eventually(lambda: all(server.told_s for server in servers), "rests")
            for server in servers:
                server.reset()
            async with Load(site=site, entries=[1]) as load:
                await asyncio.sleep(0.7)
            assert set(load.statuses) == {200}

        on_site(tmp_path, "stream", work, entries=ENTRIES)
