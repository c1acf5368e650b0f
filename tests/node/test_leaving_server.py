"""Backend servers that say in their answers that they leave, before whole entries."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.node.load import Load, with_site
from tests.node.self_reporting import SelfReportingEngine, SelfReportingServer
from tests.node.site import Site

SERVERS = 3
ENTRIES = 3
KINDS = {"plain": SelfReportingServer, "stream": SelfReportingEngine}
SLOW_S = 0.1  # of all servers but the first, so that entries prefer that one
READ_S = 0.05  # until an answer that was written has been read
SPREAD_S = 0.2  # until all entries in touch know

Work = Callable[[Site, list[SelfReportingServer | SelfReportingEngine]], Awaitable[None]]


def on_site(folder: Path, kind: str, work: Work) -> None:
    servers = [
        KINDS[kind](number=number, service="service", run_s=0.02 if number == 0 else SLOW_S)
        for number in range(SERVERS)
    ]
    with_site(
        folder,
        kind=kind,
        servers=servers,
        entries=ENTRIES,
        work=lambda site: work(site, servers),
    )


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
