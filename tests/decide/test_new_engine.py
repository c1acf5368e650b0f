"""Fourteen entries that see one empty engine among busy ones at the same moment."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.membership.uses import Use
from tests.decide.test_engine_queue import SPEC, EnginePool, Weights, make_request

ENTRIES = 14
ENGINES = 13
BUSY = Use(requests=SPEC.slots - 1, unread_tokens=0)


def an_entry(seed: int, *, busy: Use = BUSY) -> EnginePool:
    """Make an entry that has heard of nothing that the others do now."""
    group = EnginePool()
    for number in range(ENGINES):
        group.engine("e" * number + "x")
    told = {server.instance.address: busy for server in group.board.all_servers()}
    told[group.board.all_servers()[0].instance.address] = Use(requests=0, unread_tokens=0)
    group.board.take_told(told, True)
    group.queue = EngineQueue(
        directory=group.board,
        versions=Weights(),
        failure_domain="a",
        seed=seed,
        clock=asyncio.get_running_loop().time,
    )
    return group


class TestAnEngineThatHasJustCome:
    @pytest.mark.parametrize("round_number", range(5))
    async def test_is_not_taken_by_every_entry_at_once(self, round_number):
        taken: Counter[str] = Counter()
        for place in range(ENTRIES):
            entry = an_entry(100 * round_number + place)
            placement = entry.queue.submit(make_request()).placement
            assert placement is not None
            taken[placement.server.instance.instance] += 1
        assert taken["x"] <= 2 * SPEC.slots
        assert len(taken) >= ENGINES // 3

    async def test_is_found_by_all_where_no_other_will_do(self):
        hopeless = Use(requests=6 * SPEC.slots, unread_tokens=60_000)
        for place in range(ENTRIES):
            entry = an_entry(place, busy=hopeless)
            placement = entry.queue.submit(make_request()).placement
            assert placement is not None
            assert placement.server.instance.instance == "x"
