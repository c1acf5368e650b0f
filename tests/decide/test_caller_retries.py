"""Tests of telling later attempts from first ones by the time that callers have left."""

from __future__ import annotations

import random

import pytest

from leadhollow.decide.caller_retries import FEWEST, CallerRetryDetector

TIMEOUT_MS = 6_000.0


def told_right(firsts: list[float], *, returning: float, seed: int = 1) -> tuple[float, float]:
    """Give the parts of first and of later attempts that are told rightly.

    Parameters
    ----------
    firsts
        Deadlines that callers give, one as often as another.
    returning
        Part of the requests that are later attempts.
    """
    source = random.Random(seed)
    deadlines = CallerRetryDetector()
    right = {False: 0, True: 0}
    counted = {False: 0, True: 0}
    for number in range(2_000):
        later = source.random() < returning
        deadline_ms = source.choice(firsts)
        if later:
            deadline_ms -= source.uniform(600.0, 2_000.0)
        told = deadlines.is_retry("r", deadline_ms=deadline_ms, timeout_ms=TIMEOUT_MS)
        if number >= FEWEST:
            counted[later] += 1
            right[later] += told is later
    return right[False] / max(1, counted[False]), right[True] / max(1, counted[True])


class TestUsualDeadlines:
    @pytest.mark.parametrize(
        "firsts", [[6_000.0], [5_200.0], [5_200.0, 6_000.0], [3_000.0, 4_500.0, 6_000.0]]
    )
    def test_tell_first_attempts_whatever_their_callers_give(self, firsts):
        first, later = told_right(firsts, returning=0.1)
        assert first > 0.99
        assert later > 0.75

    def test_hold_also_while_half_of_what_comes_are_later_attempts(self):
        first, later = told_right([5_200.0], returning=0.5)
        assert first > 0.95
        assert later > 0.95

    def test_take_nobody_for_a_later_attempt_where_all_deadlines_differ(self):
        spread = [3_000.0 + 50.0 * number for number in range(60)]
        first, _ = told_right(spread, returning=0.0)
        assert first > 0.97

    def test_of_the_first_requests_the_timeout_of_the_route_tells(self):
        deadlines = CallerRetryDetector()
        assert not deadlines.is_retry("r", deadline_ms=6_000.0, timeout_ms=TIMEOUT_MS)
        assert deadlines.is_retry("r", deadline_ms=4_800.0, timeout_ms=TIMEOUT_MS)

    def test_are_kept_for_each_route(self):
        deadlines = CallerRetryDetector()
        for _ in range(FEWEST):
            deadlines.is_retry("slow", deadline_ms=9_000.0, timeout_ms=9_000.0)
        assert not deadlines.is_retry("quick", deadline_ms=1_000.0, timeout_ms=1_000.0)
