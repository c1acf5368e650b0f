"""Backend servers that say in their answers that they leave, before whole entries."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.node.load import Load, with_site
from tests.node.self_reporting import SelfReportingEngine, SelfReportingServer
from tests.node.site import BEAT_S, Site
from tests.support import eventually

SERVERS = 3
ENTRIES = 3
KINDS = {"plain": SelfReportingServer, "stream": SelfReportingEngine}
SLOW_S = 0.1  # of all servers but the first, so that entries prefer that one
READ_S = 0.05  # until an answer that was written has been read
SPREAD_S = 0.2  # until all entries in touch know

Work = Callable[[Site, list[SelfReportingServer | SelfReportingEngine]], Awaitable[None]]


def now_s() -> float:
    return asyncio.get_running_loop().time()


def on_site(folder: Path, kind: str, work: Work) -> None:
    servers = [
        KINDS[kind](number=number, service="service", run_s=0.02 if number == 0 else SLOW_S)
        for number in range(SERVERS)
    ]
    with_site(folder, kind=kind, servers=servers, entries=ENTRIES, work=work)


@pytest.mark.parametrize("kind", sorted(KINDS))
class TestServerThatLeaves:
    # Guards against: requests to a server whose own answer had told this entry that it leaves.
    def test_gets_no_request_after_its_first_answer_that_says_so(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            async with Load(site=site, entries=[0]) as load:
                servers[0].leaving = True
                await asyncio.sleep(1.0)
            assert servers[0].told_s is not None
            assert servers[0].arrivals_after(servers[0].told_s + READ_S) == 0
            assert set(load.statuses) == {200}

        on_site(tmp_path, kind, work)

    # Guards against: only control's word holds for an entry that no control replica tells anything.
    def test_gets_none_from_an_entry_that_is_out_of_touch_either(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            await site.control.kernel.kill()
            async with Load(site=site, entries=[0]) as load:
                servers[0].leaving = True
                await asyncio.sleep(1.0)
            assert servers[0].told_s is not None
            assert servers[0].arrivals_after(servers[0].told_s + READ_S) == 0
            assert set(load.statuses) == {200}

        on_site(tmp_path, kind, work)

    # Guards against: entries that read no such answer themselves go on until a heartbeat says so.
    def test_gets_none_from_other_entries_soon_after(self, tmp_path, kind):
        async def work(site: Site, servers) -> None:
            servers[0].leaving = True
            async with Load(site=site, entries=[0], rate_per_s=200):
                await eventually(lambda: servers[0].told_s, "an answer that says so")
            assert servers[0].told_s is not None
            await asyncio.sleep(max(0.0, servers[0].told_s + SPREAD_S - now_s()))
            async with Load(site=site, entries=[1, 2]):
                await asyncio.sleep(0.5)
            assert servers[0].arrivals_after(servers[0].told_s + SPREAD_S) == 0

        on_site(tmp_path, kind, work)


class TestWayToLeave:
    # Guards against: one of the ways in which servers say that they leave is not heard by entries.
    @pytest.mark.parametrize("way", ["state", "farewell", "answers", "all"])
    def test_is_heard_by_all_entries_soon(self, tmp_path, way):
        async def work(site: Site, servers) -> None:
            async with Load(site=site, entries=range(ENTRIES)) as load:
                await asyncio.sleep(0.3)
                servers[0].draining = way in ("state", "all")
                servers[0].leaving = way in ("answers", "all")
                await asyncio.sleep(2 * BEAT_S)  # until a heartbeat has said so
                if way in ("farewell", "all"):
                    servers[0].silent = True
                    await site.leave(servers[0])
                if way == "answers":
                    await eventually(lambda: servers[0].told_s, "an answer that says so")
                told_s = now_s()
                await asyncio.sleep(SPREAD_S + 0.5)
            assert servers[0].arrivals_after(told_s + SPREAD_S) == 0
            assert set(load.statuses) == {200}

        on_site(tmp_path, "plain", work)


class TestLife:
    # Guards against: a server that starts again under its name stays out of use.
    def test_after_one_that_left_is_used(self, tmp_path):
        async def work(site: Site, servers) -> None:
            servers[0].leaving = True
            async with Load(site=site, entries=range(ENTRIES)):
                await eventually(lambda: servers[0].told_s, "an answer that says so")
                servers[0].reset()
                servers[0].born_ms = 1_000
                await eventually(lambda: len(servers[0].arrivals_s) > 5, "requests")

        on_site(tmp_path, "stream", work)

    # Guards against: a control replica that starts again brings a leaving server back.
    def test_that_leaves_stays_away_when_control_starts_again(self, tmp_path):
        async def work(site: Site, servers) -> None:
            servers[0].leaving = True
            async with Load(site=site, entries=range(ENTRIES)):
                await eventually(lambda: servers[0].told_s, "an answer that says so")
                await asyncio.sleep(SPREAD_S)
                await site.restart_control()
                await asyncio.sleep(2.0)
            assert servers[0].told_s is not None
            assert servers[0].arrivals_after(servers[0].told_s + SPREAD_S) == 0

        on_site(tmp_path, "plain", work)

    # Guards against: an entry that starts after the answer learns of it by an answer of its own.
    def test_that_leaves_gets_nothing_from_an_entry_that_starts(self, tmp_path):
        async def work(site: Site, servers) -> None:
            servers[0].leaving = True
            async with Load(site=site, entries=[0, 1]):
                await eventually(lambda: servers[0].told_s, "an answer that says so")
            assert servers[0].told_s is not None
            await site.restart_entry(2)
            async with Load(site=site, entries=[2]) as load:
                await eventually(lambda: 200 in load.statuses, "an answer of the new entry")
                await asyncio.sleep(0.5)
            assert servers[0].arrivals_after(servers[0].told_s + SPREAD_S) == 0

        on_site(tmp_path, "plain", work)
