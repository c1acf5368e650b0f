"""Tests of what one entry may send to a server with a limit, also after pauses."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadhollow.decide.send_limiter import PROBE_RATE_PER_S, UNLEASED_SHARE, SendLimiter
from leadhollow.decide.share_allocator import LEASE_S

ENTRIES = 20
STEP_S = 0.01


class Bench:
    """A limiter with its clock, and a sender that always has requests."""

    def __init__(self, per_s: float, *, entries: int = ENTRIES, seed: int = 1) -> None:
        self.now_s = 100.0
        self.limiter = SendLimiter(
            per_s=per_s,
            entries=lambda: entries,
            clock=lambda: self.now_s,
            source=random.Random(seed),
        )

    def lease(self, share: float) -> None:
        self.limiter.lease(share, until_s=self.now_s + LEASE_S)

    def send_for(self, time_s: float) -> int:
        sent = 0
        for _ in range(round(time_s / STEP_S)):
            self.now_s += STEP_S
            sent += self.limiter.try_acquire()
        return sent


class TestLease:
    def test_starts_without_saved_tokens(self):
        bench = Bench(2.0)
        bench.lease(0.5)
        assert not bench.limiter.admits()
        assert bench.send_for(1.05) == 1

    def test_limits_the_rate(self):
        bench = Bench(40.0)
        sent = 0
        for _ in range(10):
            bench.lease(0.5)
            sent += bench.send_for(1.0)
        assert 195 <= sent <= 200

    def test_saves_up_less_than_two_tokens(self):
        bench = Bench(10.0)
        for _ in range(10):
            bench.lease(0.5)
            bench.now_s += 1.0
        assert [bench.limiter.try_acquire() for _ in range(3)] == [True, False, False]

    def test_falls_back_to_the_unleased_share_at_its_end(self):
        bench = Bench(10.0)
        bench.lease(0.9)
        bench.send_for(LEASE_S + 0.1)
        assert bench.limiter.rate_per_s() == UNLEASED_SHARE * 10.0 / ENTRIES

    def test_with_a_share_of_0_allows_no_requests(self):
        bench = Bench(10.0)
        bench.lease(0.9)
        bench.now_s += 1.0
        bench.lease(0.0)
        assert bench.send_for(1.0) == 0

    def test_is_ignored_if_it_ends_before_the_current_one(self):
        bench = Bench(10.0)
        bench.limiter.lease(0.1, until_s=bench.now_s + 1.0)
        bench.limiter.lease(0.9, until_s=bench.now_s + 0.5)
        assert bench.limiter.rate_per_s() == pytest.approx(1.0)

    def test_is_ignored_if_it_has_already_ended(self):
        bench = Bench(10.0)
        bench.limiter.lease(0.9, until_s=bench.now_s)
        assert not bench.limiter.leased

    def test_follows_a_change_of_the_limit_at_once(self):
        bench = Bench(50.0)
        bench.lease(0.9)
        bench.now_s += 1.0
        bench.limiter.set_limit(1.0)
        assert bench.send_for(0.2) <= 2


class TestSuspension:
    def test_saves_up_no_tokens(self):
        bench = Bench(20.0)
        bench.lease(0.9)
        bench.now_s += 600.0
        assert bench.send_for(0.5) <= 1


class TestUnleasedShare:
    def test_is_divided_among_all_entries(self):
        benches = [Bench(20.0, seed=seed) for seed in range(ENTRIES)]
        sent = sum(bench.send_for(30.0) for bench in benches)
        assert 0.8 <= sent / (UNLEASED_SHARE * 20.0 * 30.0) <= 1.2

    def test_is_not_saved_up_by_idle_entries(self):
        benches = [Bench(1.0, seed=seed) for seed in range(ENTRIES)]
        for bench in benches:
            bench.limiter.admits()
        for _ in range(100_000):
            for bench in benches:
                bench.now_s += 0.05
                bench.limiter.admits()
            if benches[0].now_s > 1_000:
                break
        assert sum(bench.limiter.try_acquire() for bench in benches) <= 3


class TestLimitOfZero:
    def test_still_allows_rare_probes(self):
        bench = Bench(0.0, entries=1)
        assert 0 < bench.send_for(300.0) <= 300.0 * PROBE_RATE_PER_S


class TestToken:
    def test_is_refunded_if_it_was_not_used(self):
        bench = Bench(2.0)
        bench.lease(0.9)
        bench.now_s += 1.0
        assert bench.limiter.try_acquire()
        bench.limiter.refund()
        assert bench.limiter.try_acquire()
        assert not bench.limiter.try_acquire()

    @settings(max_examples=50)
    @given(
        st.floats(0.2, 50.0),
        st.floats(0.1, 0.9),
        st.lists(st.floats(0.0, 0.5), min_size=5, max_size=40),
    )
    def test_count_in_any_window_stays_within_the_rate(self, per_s, share, pauses):
        bench = Bench(per_s)
        times_s = []
        for pause_s in pauses:
            bench.lease(share)
            bench.now_s += pause_s
            while bench.limiter.try_acquire():
                times_s.append(bench.now_s)
        for place, begin_s in enumerate(times_s):
            for count, end_s in enumerate(times_s[place:], start=1):
                assert count <= share * per_s * (end_s - begin_s) + 1 + share + 1e-6
