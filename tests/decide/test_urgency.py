"""Tests of the order of requests and of who gives way when room is short."""

from __future__ import annotations

import pytest

from leadhollow.decide.engine_request import EngineRequest, QueuePriority
from leadhollow.decide.pressure import Pressure
from leadhollow.decide.urgency import (
    YIELD_MARGIN_S,
    engine_priority,
    order,
    yield_margin_s,
    yields,
)
from leadhollow.decide.waiter import Waiter, insert
from leadhollow.routing.model import ServiceRecord

NOW_S = 1.0


def waiter(name: str, queue_priority: QueuePriority, urgency: int) -> Waiter:
    request = EngineRequest(
        service=ServiceRecord(name="models"),
        model="m",
        prompt_tokens=1_000,
        output_tokens=100.0,
        objective_s=0.4,
        on_time_until_s=1.4,
        decide_by_s=1.1,
        hold_until_s=1.1,
        queue_priority=queue_priority,
        organisation="",
        request_id=name,
        excluded=set(),
        last_attempt=False,
        urgency=urgency,
        urgencies=3,
    )
    return Waiter(request=request, deadline_s=1.1)


def pressure_of(**refused_of_twenty: int) -> Pressure:
    """Return the pressure after twenty decisions on requests of each urgency, u0 to u9."""
    pressure = Pressure()
    for name, refused in refused_of_twenty.items():
        for number in range(20):
            pressure.record(refused=number < refused, now_s=NOW_S, urgency=int(name[1:]))
    return pressure


class TestOrder:
    def test_waiting_requests_are_placed_by_resumption_then_urgency_then_novelty(self):
        waiters: list[Waiter] = []
        for name, priority, urgency in (
            ("returned, less urgent", QueuePriority.CAME_BACK, 1),
            ("new, less urgent", QueuePriority.NEW, 1),
            ("returned, urgent", QueuePriority.CAME_BACK, 0),
            ("new, urgent", QueuePriority.NEW, 0),
            ("new, urgent, later", QueuePriority.NEW, 0),
            ("resumed, less urgent", QueuePriority.RESUMED, 2),
        ):
            insert(waiters, waiter(name, priority, urgency))
        assert [found.request.request_id for found in waiters] == [
            "resumed, less urgent",
            "new, urgent",
            "new, urgent, later",
            "returned, urgent",
            "new, less urgent",
            "returned, less urgent",
        ]

    def test_resumed_streams_differ_by_urgency(self):
        urgent = waiter("a", QueuePriority.RESUMED, 0).request
        other = waiter("b", QueuePriority.RESUMED, 1).request
        assert order(urgent) < order(other)


class TestYields:
    def test_the_most_urgent_give_way_to_nobody(self):
        assert not yields(pressure_of(u0=10, u1=10), 0, NOW_S)
        assert yields(pressure_of(u0=10, u1=10), 1, NOW_S)

    def test_nobody_gives_way_where_all_are_equally_urgent(self):
        pressure = pressure_of(u0=20)
        assert yield_margin_s(pressure, 0, NOW_S, level=1.0) == 0.0

    def test_margin_grows_with_the_pressure(self):
        pressure = pressure_of(u0=0, u1=10)
        assert yield_margin_s(pressure, 1, NOW_S, level=0.0) == 0.0
        full = YIELD_MARGIN_S * (20 / 30) ** 2  # of 30 places, the urgent ones ask for 20
        assert yield_margin_s(pressure, 1, NOW_S, level=1.0) == pytest.approx(full)

    def test_margin_is_small_beside_few_urgent_requests(self):
        pressure = pressure_of(u1=10)
        pressure.record(refused=False, now_s=NOW_S, urgency=0)
        assert 0.0 < yield_margin_s(pressure, 1, NOW_S, level=1.0) < YIELD_MARGIN_S / 10

    def test_requests_that_get_less_than_a_quarter_of_the_mean_give_way_no_more(self):
        assert not yields(pressure_of(u0=0, u1=18), 1, NOW_S)

    def test_what_others_refuse_counts(self):
        pressure = Pressure()
        pressure.update_peers(pressure_of(u0=0, u1=18).own(NOW_S), NOW_S)
        assert not yields(pressure, 1, NOW_S)


class TestEnginePriority:
    def test_engines_are_told_nothing_where_all_are_equally_urgent(self):
        assert engine_priority(pressure_of(u0=20), 1, 0, NOW_S) is None

    def test_all_are_told_to_be_equally_urgent_while_there_is_room(self):
        assert engine_priority(pressure_of(u0=0, u2=0), 2, 2, NOW_S) == 0

    def test_engines_are_told_the_urgency_while_requests_are_refused(self):
        assert engine_priority(pressure_of(u0=0, u2=5), 2, 2, NOW_S) == 2
