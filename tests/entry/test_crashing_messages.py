"""A message that crashes the engines behind gates is quarantined by all entries.

Guards against engines that end one after the other: each entry remembered only its own attempts of
one call, so each call with such a message ended up to four engines, for good.
"""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import pytest

from leadhollow.codes import Code
from leadhollow.entry.call_result import CODE_HEADER
from leadhollow.standin.engine_records import EngineFaults
from leadhollow.standin.site import Site, SitePlan
from tests.contract.steps.world import KEY, MODEL, World
from tests.support import eventually

CRASHING = "the message that crashes"
CALLS = 12
PAUSE_S = 0.1
SPREAD_S = 0.25  # time within which all entries must know


@pytest.fixture
async def world(tmp_path):
    plan = SitePlan(entries={"south": 2, "north": 1}, engines={"south": 4, "north": 3}, step_ms=1)
    site = Site(plan=plan, folder=tmp_path)
    assert (await site.start()).is_ok()
    made = World(site=site, session=aiohttp.ClientSession())
    await made.begin()
    for engine in site.engines.values():
        engine.faults = EngineFaults(crash_text=CRASHING)
    yield made
    await made.close()


async def ask(world: World, url: str, number: int, message: str) -> tuple[int, int]:
    """Send a call that no other one equals; return status and code."""
    contents = ["rules for all", message, f"question {number}"]
    body = {
        "model": MODEL,
        "max_tokens": 2,
        "messages": [{"role": "user", "content": content} for content in contents],
    }
    headers = {"Authorization": f"Bearer {KEY}"}
    answer = await world.session.post(
        f"{url}/v1/chat/completions", data=msgspec.json.encode(body), headers=headers
    )
    async with answer:
        await answer.read()
        return answer.status, int(answer.headers.get(CODE_HEADER, 0))


def crash_times_s(world: World) -> list[float]:
    return sorted(
        crash_s for engine in world.site.engines.values() for crash_s in engine.crash_times_s
    )


async def ask_everywhere(world: World, first: int) -> tuple[list[int], list[int]]:
    """Send calls with the crashing message to all entries in turn, each beside sound ones."""
    urls = world.site.entry_urls()
    codes, statuses = [], []
    for number in range(first, first + CALLS):
        sends = [
            ask(world, urls[number % len(urls)], 2 * number, CRASHING),
            *(ask(world, url, 2 * number + 1, "a sound message") for url in urls),
        ]
        answers = await asyncio.gather(*sends)
        codes.append(answers[0][1])
        statuses += [status for status, _ in answers[1:]]
        await asyncio.sleep(PAUSE_S)
    return codes, statuses


class TestCrashingMessage:
    # Calls that share only a crashing message ended engines without bound, up to four a call.
    async def test_is_sent_to_no_engine_after_the_fifth_crash(self, world):
        codes, statuses = await ask_everywhere(world, 1)
        times_s = crash_times_s(world)
        assert 3 <= len(times_s) <= 5
        assert codes[-3:] == [Code.REQUEST_QUARANTINED] * 3
        assert statuses == [200] * len(statuses)

    # A verdict would be lost with the replicas that know it, or not reach an entry that starts.
    async def test_is_held_after_a_restart_of_all_entries(self, world):
        await ask_everywhere(world, 1)
        before = len(crash_times_s(world))
        names = world.site.entry_names
        for vm in names:
            await world.site.kill_process(vm)
        started = await asyncio.gather(*map(world.site.start_process, names))
        assert all(one.is_ok() for one in started)
        for url in world.site.entry_urls():

            async def serves(url: str = url) -> bool:
                return (await ask(world, url, 0, "a sound message"))[0] == 200

            await eventually(serves, "an answer")
        codes, statuses = await ask_everywhere(world, 100)
        assert codes == [Code.REQUEST_QUARANTINED] * CALLS
        assert statuses == [200] * len(statuses)
        assert len(crash_times_s(world)) == before
