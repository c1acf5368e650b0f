"""Tests of the time after which refused callers are told to retry."""

from __future__ import annotations

import random

import pytest

from leadhollow.decide.retry_after import RETRY_AFTER_RANGES_S, RefusalReason
from tests.decide.test_engine_queue import EnginePool, make_request, run_in_loop

SAMPLES = 200


class TestRefusalReason:
    @pytest.mark.parametrize("refusal", list(RefusalReason))
    def test_spreads_retries_over_the_whole_range(self, refusal):
        source = random.Random(1)
        times_s = [refusal.retry_after_s(source) for _ in range(SAMPLES)]
        shortest_s, longest_s = RETRY_AFTER_RANGES_S[refusal]
        assert shortest_s <= min(times_s) < shortest_s + 0.1 * (longest_s - shortest_s)
        assert longest_s - 0.1 * (longest_s - shortest_s) < max(times_s) <= longest_s


class TestEngineQueue:
    def test_delays_retries_longer_while_no_engine_serves(self):
        async def work() -> None:
            pool = EnginePool()
            times_s = [pool.queue.retry_after_s(make_request()) for _ in range(SAMPLES)]
            assert min(times_s) >= RETRY_AFTER_RANGES_S[RefusalReason.NOBODY_SERVES][0]

        run_in_loop(work)

    def test_allows_sooner_retries_while_engines_serve(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("e1")
            times_s = [pool.queue.retry_after_s(make_request()) for _ in range(SAMPLES)]
            assert min(times_s) < RETRY_AFTER_RANGES_S[RefusalReason.NOBODY_SERVES][0]

        run_in_loop(work)
