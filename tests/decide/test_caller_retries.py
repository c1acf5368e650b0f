"""Tests of recognising retries of callers by the time that they have left."""

from __future__ import annotations

import random

import pytest

from leadhollow.decide.caller_retries import MIN_REMEMBERED, CallerRetryDetector

TIMEOUT_MS = 6_000.0


def recognised_shares(
    first_deadlines: list[float], *, retry_share: float, seed: int = 1
) -> tuple[float, float]:
    """Return the shares of first requests and of retries that are classified correctly.

    Parameters
    ----------
    first_deadlines
        Deadlines in milliseconds that callers give with first requests, each equally often.
    retry_share
        Share of the requests that are retries.
    """
    source = random.Random(seed)
    detector = CallerRetryDetector()
    right = {False: 0, True: 0}
    counted = {False: 0, True: 0}
    for number in range(2_000):
        retry = source.random() < retry_share
        deadline_ms = source.choice(first_deadlines)
        if retry:
            deadline_ms -= source.uniform(600.0, 2_000.0)
        classified = detector.is_retry("r", deadline_ms=deadline_ms, timeout_ms=TIMEOUT_MS)
        if number >= MIN_REMEMBERED:
            counted[retry] += 1
            right[retry] += classified is retry
    return right[False] / max(1, counted[False]), right[True] / max(1, counted[True])


class TestCallerRetryDetector:
    @pytest.mark.parametrize(
        "firsts", [[6_000.0], [5_200.0], [5_200.0, 6_000.0], [3_000.0, 4_500.0, 6_000.0]]
    )
    def test_recognises_retries_for_any_usual_deadlines(self, firsts):
        first, later = recognised_shares(firsts, retry_share=0.1)
        assert first > 0.99
        assert later > 0.75

    def test_recognises_retries_while_half_of_the_requests_are_retries(self):
        first, later = recognised_shares([5_200.0], retry_share=0.5)
        assert first > 0.95
        assert later > 0.95

    def test_reports_no_retries_if_all_deadlines_differ(self):
        spread = [3_000.0 + 50.0 * number for number in range(60)]
        first, _ = recognised_shares(spread, retry_share=0.0)
        assert first > 0.97

    def test_goes_by_the_route_timeout_for_the_first_requests(self):
        detector = CallerRetryDetector()
        assert not detector.is_retry("r", deadline_ms=6_000.0, timeout_ms=TIMEOUT_MS)
        assert detector.is_retry("r", deadline_ms=4_800.0, timeout_ms=TIMEOUT_MS)

    def test_learns_deadlines_for_each_route_separately(self):
        detector = CallerRetryDetector()
        for _ in range(MIN_REMEMBERED):
            detector.is_retry("slow", deadline_ms=9_000.0, timeout_ms=9_000.0)
        assert not detector.is_retry("quick", deadline_ms=1_000.0, timeout_ms=1_000.0)
