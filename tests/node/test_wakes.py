"""Wake-ups of idle processes in a large fleet."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.membership.reporting import MIN_REPORT_INTERVAL_S, report_interval_s
from leadhollow.node import entry_role
from leadhollow.node.entry_role import EntryDispatcher
from leadhollow.staging.engine_monitor import poll_interval_s
from leadhollow.staging.link_monitor import MAX_PROBES_PER_S, MIN_PROBE_INTERVAL_S, LinkMonitor
from tests.decide.test_engine_queue import EnginePool, make_request

SPAN_S = 0.5


class TestStager:
    def test_polls_its_engine_ten_times_a_second_in_a_small_fleet(self):
        assert poll_interval_s(MIN_REPORT_INTERVAL_S) == 0.1

    @pytest.mark.parametrize("engines", [41, 102, 300])
    def test_polls_its_engine_less_often_in_a_larger_fleet(self, engines):
        assert poll_interval_s(report_interval_s(engines)) >= report_interval_s(engines) / 5

    @pytest.mark.parametrize(
        ("stagers", "least_s"), [(10, MIN_PROBE_INTERVAL_S), (102, 102 / MAX_PROBES_PER_S)]
    )
    async def test_probes_its_link_less_often_in_a_larger_fleet(
        self, stagers, least_s, monkeypatch
    ):
        delays_s: list[float] = []

        async def record_sleep(wait_s: float) -> None:
            delays_s.append(wait_s)
            raise asyncio.CancelledError

        monkeypatch.setattr(asyncio, "sleep", record_sleep)
        gauge = LinkMonitor(
            feed=SimpleNamespace(source=""),
            peers=SimpleNamespace(),
            vm="a",
            stager_count=lambda: stagers,
        )
        with pytest.raises(asyncio.CancelledError):
            await gauge._work()
        assert delays_s == [least_s]


class TestEntry:
    async def test_does_not_wake_to_place_requests_while_its_queue_is_empty(self, monkeypatch):
        group, pump_calls = EnginePool(), []
        monkeypatch.setattr(entry_role, "TIDY_INTERVAL_S", 60.0)
        monkeypatch.setattr(EngineQueue, "pump", lambda self: pump_calls.append(1))
        task = asyncio.create_task(_dispatcher_of(group)._work())
        await asyncio.sleep(SPAN_S)
        task.cancel()
        assert pump_calls == []

    async def test_places_requests_periodically_while_one_is_queued(self, monkeypatch):
        group, pump_calls = EnginePool(), []
        monkeypatch.setattr(entry_role, "TIDY_INTERVAL_S", 60.0)
        task = asyncio.create_task(_dispatcher_of(group)._work())
        await asyncio.sleep(0.01)
        group.queue.submit(make_request(decide_s=60.0))
        monkeypatch.setattr(EngineQueue, "pump", lambda self: pump_calls.append(1))
        await asyncio.sleep(SPAN_S)
        task.cancel()
        assert len(pump_calls) >= 3


def _dispatcher_of(group: EnginePool) -> EntryDispatcher:
    """Make a dispatcher with the queue and the servers of a group of engines."""
    dispatcher = EntryDispatcher.__new__(EntryDispatcher)
    dispatcher.queue = group.queue
    dispatcher.directory = group.board
    dispatcher._request_queued = asyncio.Event()
    group.queue.on_waiting(dispatcher._request_queued.set)
    return dispatcher
