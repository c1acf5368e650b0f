"""When refused callers are told to come back."""

from __future__ import annotations

import random

import pytest

from leadhollow.decide.retry_after import RETRY_AFTER_RANGES_S, RefusalReason
from tests.decide.test_engine_queue import EnginePool, in_loop, make_request

SAMPLES = 200


class TestRefusal:
    @pytest.mark.parametrize("refusal", list(RefusalReason))
    def test_spreads_callers_over_its_whole_range(self, refusal):
        source = random.Random(1)
        times_s = [refusal.after_s(source) for _ in range(SAMPLES)]
        shortest_s, longest_s = RETRY_AFTER_RANGES_S[refusal]
        assert shortest_s <= min(times_s) < shortest_s + 0.1 * (longest_s - shortest_s)
        assert longest_s - 0.1 * (longest_s - shortest_s) < max(times_s) <= longest_s


class TestEngineQueue:
    def test_sends_nobody_back_to_engines_that_still_load(self):
        async def work() -> None:
            group = EnginePool()
            times_s = [group.queue.retry_after_s(make_request()) for _ in range(SAMPLES)]
            assert min(times_s) >= RETRY_AFTER_RANGES_S[RefusalReason.NOBODY_SERVES][0]

        in_loop(work)

    def test_lets_callers_return_sooner_where_engines_serve(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("e1")
            times_s = [group.queue.retry_after_s(make_request()) for _ in range(SAMPLES)]
            assert min(times_s) < RETRY_AFTER_RANGES_S[RefusalReason.NOBODY_SERVES][0]

        in_loop(work)
