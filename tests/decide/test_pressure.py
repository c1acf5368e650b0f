"""Tests of the pressure of entries on the engines that they share."""

from __future__ import annotations

import pytest

from leadhollow.decide.pressure import (
    BALANCE_GAIN,
    HALF_LIFE_S,
    MAX_LEVEL,
    OVERLOAD_REFUSED_SHARE,
    DecisionCounts,
    Pressure,
)


def after(made: int, refused: int, now_s: float = 1.0) -> Pressure:
    """Return the pressure at an entry that has just made some decisions."""
    pressure = Pressure()
    for number in range(made):
        pressure.record(refused=number < refused, now_s=now_s)
    return pressure


class TestLevel:
    def test_rises_from_0_to_1_with_the_share_of_refusals(self):
        assert after(20, 0).level(1.0) == 0.0
        assert after(20, 2).level(1.0) == pytest.approx(0.1 / OVERLOAD_REFUSED_SHARE)
        assert after(20, 15).level(1.0) == 1.0

    def test_counts_refusals_of_other_entries_equally(self):
        pressure = after(20, 0)
        pressure.update_peers({0: DecisionCounts(made=180.0, refused=20.0)}, 1.0)
        assert pressure.level(1.0) == pytest.approx(0.1 / OVERLOAD_REFUSED_SHARE)

    def test_decays_without_further_updates_from_other_entries(self):
        pressure = Pressure()
        pressure.update_peers({0: DecisionCounts(made=200.0, refused=200.0)}, 1.0)
        assert pressure.level(1.0 + 20 * HALF_LIFE_S) < 0.01


class TestBalancedLevel:
    def test_is_higher_for_an_entry_that_refuses_less_than_the_others(self):
        ahead = after(100, 10)
        ahead.update_peers({0: DecisionCounts(made=100.0, refused=30.0)}, 1.0)
        behind = after(100, 30)
        behind.update_peers({0: DecisionCounts(made=100.0, refused=10.0)}, 1.0)
        assert ahead.balanced_level(1.0) == pytest.approx(min(MAX_LEVEL, 1.0 + BALANCE_GAIN * 0.1))
        assert behind.balanced_level(1.0) == pytest.approx(1.0 - BALANCE_GAIN * 0.1)

    def test_equals_the_level_for_a_single_entry(self):
        assert after(20, 2).balanced_level(1.0) == pytest.approx(after(20, 2).level(1.0))


class TestUrgency:
    def test_refusals_of_less_urgent_requests_do_not_raise_the_pressure_on_urgent_ones(self):
        pressure = Pressure()
        for _ in range(20):
            pressure.record(refused=False, now_s=1.0, urgency=0)
            pressure.record(refused=True, now_s=1.0, urgency=1)
        assert pressure.level(1.0, 0) == 0.0
        assert pressure.level(1.0, 1) == 1.0

    def test_refusals_of_urgent_requests_raise_the_pressure_on_less_urgent_ones(self):
        pressure = Pressure()
        for _ in range(20):
            pressure.record(refused=True, now_s=1.0, urgency=0)
            pressure.record(refused=False, now_s=1.0, urgency=1)
        assert pressure.level(1.0, 1) == 1.0

    def test_an_entry_with_many_less_urgent_requests_counts_as_refusing_no_more_than_others(self):
        pressure = Pressure()
        pressure.record(refused=False, now_s=1.0, urgency=0)
        for _ in range(9):
            pressure.record(refused=True, now_s=1.0, urgency=1)
        others = {
            0: DecisionCounts(made=90.0, refused=0.0),
            1: DecisionCounts(made=10.0, refused=10.0),
        }
        pressure.update_peers(others, 1.0)
        assert pressure.balanced_level(1.0) == pytest.approx(pressure.level(1.0))

    def test_an_entry_with_few_requests_asks_for_no_more_certainty_than_others(self):
        pressure = Pressure()
        pressure.record(refused=False, now_s=1.0, urgency=0)
        pressure.record(refused=True, now_s=1.0, urgency=1)
        others = {
            0: DecisionCounts(made=50.0, refused=0.0),
            1: DecisionCounts(made=50.0, refused=50.0),
        }
        pressure.update_peers(others, 1.0)
        assert pressure.balanced_level(1.0) == pytest.approx(pressure.level(1.0), abs=0.2)
