"""An entry that drains completes the requests in progress."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from leadhollow.codes import Code, Outcome
from leadhollow.standin.site import Site, SitePlan
from tests.contract.steps.world import MODEL, World
from tests.support import eventually

TOKENS = 1_500


@pytest.fixture
async def world(tmp_path):
    plan = SitePlan(
        entries={"south": 1}, engines={"south": 1}, service=("depot", "south"), step_ms=2
    )
    site = Site(plan=plan, folder=tmp_path)
    assert (await site.start()).is_ok()
    made = World(site=site, session=aiohttp.ClientSession())
    await made.begin()
    yield made
    await made.close()


class TestDrain:
    async def test_completes_a_stream_and_refuses_later_requests(self, world):
        url = world.url
        vm = world.site.entry_names[0]
        stream = asyncio.ensure_future(world.caller.chat(url, model=MODEL, tokens=TOKENS))
        engine = next(iter(world.site.engines.values()))
        await eventually(lambda: any(run.generated for run in engine.generations), "the stream")
        stopping = asyncio.ensure_future(world.site.processes[vm].kernel.stop())
        await eventually(lambda: self.unhealthy(world, url), "the health answer to turn")
        await eventually(lambda: self.refused(world, url), "new requests to be refused")
        record = await stream
        assert record.correct
        assert await stopping

    async def unhealthy(self, world, url: str) -> bool:
        async with world.session.get(f"{url}/healthz") as answer:
            return answer.status == 503

    async def refused(self, world, url: str) -> bool:
        record = await world.caller.chat(url, model=MODEL, tokens=1, stream=False)
        if record.error:
            return True
        if record.outcome == Outcome.EXECUTED:
            return False
        assert (record.outcome, record.code) == (Outcome.NOT_EXECUTED, Code.STOPPING)
        return True
