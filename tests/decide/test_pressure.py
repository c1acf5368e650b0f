"""Tests of how hard entries press on engines that they share."""

from __future__ import annotations

import pytest

from leadhollow.decide.pressure import BALANCE, FULL_SHARE, MEMORY_S, MOST, DecisionCounts, Pressure


def after(made: int, refused: int, now_s: float = 1.0) -> Pressure:
    """Give the pressure of an entry that decided on some requests just now."""
    pressure = Pressure()
    for number in range(made):
        pressure.note(refused=number < refused, now_s=now_s)
    return pressure


class TestLevel:
    def test_is_nothing_while_nobody_is_refused_and_full_from_a_fifth_on(self):
        assert after(20, 0).level(1.0) == 0.0
        assert after(20, 2).level(1.0) == pytest.approx(0.1 / FULL_SHARE)
        assert after(20, 15).level(1.0) == 1.0

    def test_what_others_refused_counts_alike(self):
        pressure = after(20, 0)
        pressure.take_others(DecisionCounts(made=180.0, refused=20.0), 1.0)
        assert pressure.level(1.0) == pytest.approx(0.1 / FULL_SHARE)

    def test_refusals_of_others_fade_where_nothing_more_is_heard(self):
        pressure = Pressure()
        pressure.take_others(DecisionCounts(made=200.0, refused=200.0), 1.0)
        assert pressure.level(1.0 + 20 * MEMORY_S) < 0.01


class TestBalance:
    def test_who_refuses_less_than_the_others_asks_for_more_certainty(self):
        ahead = after(100, 10)
        ahead.take_others(DecisionCounts(made=100.0, refused=30.0), 1.0)
        behind = after(100, 30)
        behind.take_others(DecisionCounts(made=100.0, refused=10.0), 1.0)
        assert ahead.balanced_level(1.0) == pytest.approx(min(MOST, 1.0 + BALANCE * 0.1))
        assert behind.balanced_level(1.0) == pytest.approx(1.0 - BALANCE * 0.1)

    def test_alone_it_is_the_level(self):
        assert after(20, 2).balanced_level(1.0) == pytest.approx(after(20, 2).level(1.0))
