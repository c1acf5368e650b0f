"""Tests of when an entry that is cut off diverts callers to other failure domains."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.decide.eligibility import FailureDomains
from leadhollow.decide.isolation import (
    CONFIRMATION_TIMEOUT_S,
    DIVERT_PRESSURE,
    RESUME_PRESSURE,
    IsolationDetector,
)
from tests.decide.test_engine_queue import EnginePool, run_in_loop


class Entry:
    """An entry of domain a with one engine there and one in domain b."""

    def __init__(self) -> None:
        self.now_s = asyncio.get_running_loop().time()
        self.domains = FailureDomains(regions={})
        pool = EnginePool(domains=self.domains)
        pool.engine("here")
        self.remote = pool.engine("there", domain="b")
        self.pressure = 1.0
        self.confirmed_s: float | None = self.now_s - 10.0
        self.detector = IsolationDetector(
            directory=pool.board,
            failure_domain="a",
            pressure=lambda: self.pressure,
            confirmed_s=lambda: self.confirmed_s,
            clock=lambda: self.now_s,
        )

    def cut_off(self) -> None:
        self.remote.health.record_unreachable(self.now_s)


class TestIsolationDetector:
    def test_diverts_callers_if_cut_off_and_overloaded(self):
        async def work() -> None:
            entry = Entry()
            entry.cut_off()
            assert entry.detector.should_divert()

        run_in_loop(work)

    @pytest.mark.parametrize("missing", ["overload", "unreachable", "unconfirmed"])
    def test_does_not_divert_callers_if_one_condition_is_missing(self, missing):
        async def work() -> None:
            entry = Entry()
            if missing != "unreachable":
                entry.cut_off()
            if missing == "overload":
                entry.pressure = DIVERT_PRESSURE / 2
            if missing == "unconfirmed":
                entry.confirmed_s = entry.now_s - CONFIRMATION_TIMEOUT_S / 2
            assert not entry.detector.should_divert()

        run_in_loop(work)

    def test_accepts_callers_again_when_the_pressure_is_low(self):
        async def work() -> None:
            entry = Entry()
            entry.cut_off()
            assert entry.detector.should_divert()
            entry.pressure = (RESUME_PRESSURE + DIVERT_PRESSURE) / 2
            assert entry.detector.should_divert()
            entry.pressure = RESUME_PRESSURE / 2
            assert not entry.detector.should_divert()

        run_in_loop(work)

    def test_accepts_callers_again_when_the_cut_is_over(self):
        async def work() -> None:
            entry = Entry()
            entry.cut_off()
            assert entry.detector.should_divert()
            entry.remote.health.record_reachable(entry.now_s)
            assert not entry.detector.should_divert()

        run_in_loop(work)

    # Guards against: an entry that reaches all other engines sends its callers away.
    def test_does_not_take_an_evacuated_domain_for_lost(self):
        async def work() -> None:
            entry = Entry()
            entry.cut_off()
            entry.domains.set_evacuated({"b"})
            assert not entry.detector.should_divert()
            entry.domains.set_evacuated(())
            assert entry.detector.should_divert()

        run_in_loop(work)
