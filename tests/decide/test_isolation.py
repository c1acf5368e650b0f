"""When an entry that is cut off sends callers to other failure domains."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.decide.isolation import CALM, OVERLOADED, UNCONFIRMED_S, IsolationDetector
from tests.decide.test_engine_queue import EnginePool, in_loop


class Entry:
    """An entry of domain a with one engine there and one in domain b."""

    def __init__(self) -> None:
        self.now_s = asyncio.get_running_loop().time()
        group = EnginePool()
        group.engine("here")
        self.there = group.engine("there", domain="b")
        self.pressure = 1.0
        self.confirmed_s: float | None = self.now_s - 10.0
        self.isolation = IsolationDetector(
            directory=group.board,
            failure_domain="a",
            pressure=lambda: self.pressure,
            confirmed_s=lambda: self.confirmed_s,
            clock=lambda: self.now_s,
        )

    def cut_off(self) -> None:
        self.there.health.record_unreachable(self.now_s)


class TestIsolation:
    def test_one_that_is_cut_off_and_overloaded_sends_callers_away(self):
        async def work() -> None:
            entry = Entry()
            entry.cut_off()
            assert entry.isolation.should_divert()

        in_loop(work)

    @pytest.mark.parametrize("missing", ["overload", "unreachable", "unconfirmed"])
    def test_neither_an_overload_nor_a_cut_alone_does(self, missing):
        async def work() -> None:
            entry = Entry()
            if missing != "unreachable":
                entry.cut_off()
            if missing == "overload":
                entry.pressure = OVERLOADED / 2
            if missing == "unconfirmed":
                entry.confirmed_s = entry.now_s - UNCONFIRMED_S / 2
            assert not entry.isolation.should_divert()

        in_loop(work)

    def test_callers_are_taken_again_once_engines_have_room(self):
        async def work() -> None:
            entry = Entry()
            entry.cut_off()
            assert entry.isolation.should_divert()
            entry.pressure = (CALM + OVERLOADED) / 2
            assert entry.isolation.should_divert()
            entry.pressure = CALM / 2
            assert not entry.isolation.should_divert()

        in_loop(work)

    def test_callers_are_taken_again_once_the_cut_is_over(self):
        async def work() -> None:
            entry = Entry()
            entry.cut_off()
            assert entry.isolation.should_divert()
            entry.there.health.record_reachable(entry.now_s)
            assert not entry.isolation.should_divert()

        in_loop(work)
