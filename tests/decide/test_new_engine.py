"""Tests of 14 entries that see one empty engine among busy ones at the same moment."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.membership.uses import Use
from tests.decide.test_engine_queue import SPEC, EnginePool, FakeVersionRules, make_request

ENTRIES = 14
ENGINES = 13
BUSY = Use(requests=SPEC.slots - 1, unread_tokens=0)


def make_entry(seed: int, *, busy: Use = BUSY) -> EnginePool:
    """Make an entry that does not know yet what the other entries are doing."""
    pool = EnginePool()
    for number in range(ENGINES):
        pool.engine("e" * number + "x")
    uses = {server.instance.address: busy for server in pool.board.all_servers()}
    uses[pool.board.all_servers()[0].instance.address] = Use(requests=0, unread_tokens=0)
    pool.board.update_peer_uses(uses, True)
    pool.queue = EngineQueue(
        directory=pool.board,
        versions=FakeVersionRules(),
        failure_domain="a",
        seed=seed,
        clock=asyncio.get_running_loop().time,
    )
    return pool


class TestNewEngine:
    @pytest.mark.parametrize("round_number", range(5))
    async def test_is_not_chosen_by_every_entry_at_once(self, round_number):
        chosen: Counter[str] = Counter()
        for place in range(ENTRIES):
            entry = make_entry(100 * round_number + place)
            placement = entry.queue.submit(make_request()).placement
            assert placement is not None
            chosen[placement.server.instance.instance] += 1
        assert chosen["x"] <= 2 * SPEC.slots
        assert len(chosen) >= ENGINES // 3

    async def test_is_chosen_by_all_entries_if_no_other_engine_is_on_time(self):
        overloaded = Use(requests=6 * SPEC.slots, unread_tokens=60_000)
        for place in range(ENTRIES):
            entry = make_entry(place, busy=overloaded)
            placement = entry.queue.submit(make_request()).placement
            assert placement is not None
            assert placement.server.instance.instance == "x"
