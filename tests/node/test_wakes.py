"""How often processes of a large fleet wake while there is nothing to do."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.membership.reporting import MIN_REPORT_INTERVAL_S, report_interval_s
from leadhollow.node import entry_role
from leadhollow.node.entry_role import EntryDispatcher
from leadhollow.staging.link_gauge import INTERVAL_S, PROBES_PER_S, LinkGauge
from leadhollow.staging.load_reports import ask_interval_s
from tests.decide.test_engine_queue import EnginePool, make_request

SPAN_S = 0.5


class TestAStager:
    def test_asks_its_engine_ten_times_a_second_in_a_small_fleet(self):
        assert ask_interval_s(MIN_REPORT_INTERVAL_S) == 0.1

    @pytest.mark.parametrize("engines", [41, 102, 300])
    def test_asks_it_the_rarer_the_more_engines_there_are(self, engines):
        assert ask_interval_s(report_interval_s(engines)) >= report_interval_s(engines) / 5

    @pytest.mark.parametrize(("stagers", "least_s"), [(10, INTERVAL_S), (102, 102 / PROBES_PER_S)])
    async def test_probes_its_link_the_rarer_the_more_there_are(
        self, stagers, least_s, monkeypatch
    ):
        slept: list[float] = []

        async def counted(wait_s: float) -> None:
            slept.append(wait_s)
            raise asyncio.CancelledError

        monkeypatch.setattr(asyncio, "sleep", counted)
        gauge = LinkGauge(
            feed=SimpleNamespace(source=""),
            peers=SimpleNamespace(),
            vm="a",
            stagers=lambda: stagers,
        )
        with pytest.raises(asyncio.CancelledError):
            await gauge._work()
        assert slept == [least_s]


class TestAnEntry:
    async def test_that_has_room_for_all_does_not_wake_to_look_for_places(self, monkeypatch):
        group, looks = EnginePool(), []
        monkeypatch.setattr(entry_role, "TIDY_INTERVAL_S", 60.0)
        monkeypatch.setattr(EngineQueue, "pump", lambda self: looks.append(1))
        working = asyncio.create_task(_dispatching(group)._work())
        await asyncio.sleep(SPAN_S)
        working.cancel()
        assert looks == []

    async def test_looks_again_and_again_while_a_request_waits(self, monkeypatch):
        group, looks = EnginePool(), []
        monkeypatch.setattr(entry_role, "TIDY_INTERVAL_S", 60.0)
        working = asyncio.create_task(_dispatching(group)._work())
        await asyncio.sleep(0.01)
        group.queue.submit(make_request(decide_s=60.0))
        monkeypatch.setattr(EngineQueue, "pump", lambda self: looks.append(1))
        await asyncio.sleep(SPAN_S)
        working.cancel()
        assert len(looks) >= 3


def _dispatching(group: EnginePool) -> EntryDispatcher:
    """Make the part that looks for places, before engines of a group."""
    made = EntryDispatcher.__new__(EntryDispatcher)
    made.queue = group.queue
    made.board = group.board
    made._waiting = asyncio.Event()
    group.queue.on_waiting(made._waiting.set)
    return made
