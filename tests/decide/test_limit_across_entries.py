"""Tests that all entries together respect a limit despite delays, losses and suspensions."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from leadhollow.decide.send_limiter import LEASED_SHARE, UNLEASED_SHARE, SendLimiter
from leadhollow.decide.share_allocator import LEASE_S, EntryDemand, LimitedServer, ShareAllocator

LIFE = "i-1@0"
ENTRIES = 5
STEP_S = 0.02
NO_UNLEASED_SHARE = 10**9  # number of entries that makes the unleased share negligible

entries = st.integers(0, ENTRIES - 1)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), entries, st.sampled_from([0.0, 0.05, 0.4, 2.0])),  # round trip
        st.tuples(st.just("suspend"), entries, st.sampled_from([0.3, 1.0, 4.0])),
        st.tuples(st.just("restart"), entries, st.just(0.0)),
        st.tuples(st.just("leader"), st.just(0), st.sampled_from([0.0, 1.5])),  # no leader
        st.tuples(st.just("run"), st.just(0), st.sampled_from([0.1, 0.5, 1.3])),
    ),
    max_size=40,
)


class Fleet:
    """A leader and entries that always have requests to send."""

    def __init__(self, per_s: float) -> None:
        self.now_s = 10.0
        self.per_s = per_s
        self.allocator = ShareAllocator(clock=lambda: self.now_s, entries=lambda: 0)
        self.leads_from_s = 0.0
        self.limiters = [self._limiter() for _ in range(ENTRIES)]
        self.suspended_until_s = [0.0] * ENTRIES
        self.pending: list[tuple[float, int, float, SendLimiter, float]] = []
        self.sent: list[tuple[float, int]] = []

    def _limiter(self) -> SendLimiter:
        return SendLimiter(
            per_s=self.per_s,
            entries=lambda: NO_UNLEASED_SHARE,
            clock=lambda: self.now_s,
            source=random.Random(1),
        )

    def ask(self, entry: int, round_trip_s: float) -> None:
        if self.now_s < max(self.leads_from_s, self.suspended_until_s[entry]):
            return
        demand = EntryDemand(
            vm=f"entry-{entry}", failure_domain="d", per_s={"s": 30.0}, heard_s=self.now_s
        )
        server = LimitedServer(life=LIFE, service="s", failure_domain="d", per_s=self.per_s)
        share = self.allocator.lease_shares(demand, [server]).get(LIFE, 0.0)
        until_s = self.now_s + LEASE_S
        self.pending.append(
            (self.now_s + round_trip_s, entry, share, self.limiters[entry], until_s)
        )

    def change_leader(self, absence_s: float) -> None:
        self.allocator = ShareAllocator(clock=lambda: self.now_s, entries=lambda: 0)
        self.leads_from_s = self.now_s + absence_s + LEASE_S

    def run(self, time_s: float) -> None:
        for _ in range(round(time_s / STEP_S)):
            self.now_s += STEP_S
            for lease in [found for found in self.pending if found[0] <= self.now_s]:
                self.pending.remove(lease)
                _, entry, share, limiter, until_s = lease
                if self.now_s >= self.suspended_until_s[entry]:
                    limiter.lease(share, until_s=until_s)
            for entry, limiter in enumerate(self.limiters):
                while self.now_s >= self.suspended_until_s[entry] and limiter.try_acquire():
                    self.sent.append((self.now_s, entry))


class TestAllEntriesTogether:
    @settings(max_examples=150, deadline=None)
    @given(st.sampled_from([0.5, 1.3, 10.0, 50.0]), steps)
    def test_stay_within_the_limit(self, per_s, steps):
        fleet = Fleet(per_s)
        for kind, entry, value in steps:
            if kind == "ask":
                fleet.ask(entry, value)
            elif kind == "suspend":
                fleet.suspended_until_s[entry] = fleet.now_s + value
            elif kind == "restart":
                fleet.limiters[entry] = fleet._limiter()
            elif kind == "leader":
                fleet.change_leader(value)
            else:
                fleet.run(value)
        fleet.run(0.5)
        for place, (begin_s, _) in enumerate(fleet.sent):
            senders = set()
            for count, (end_s, entry) in enumerate(fleet.sent[place:], start=1):
                senders.add(entry)
                window_s = end_s - begin_s + STEP_S
                saved_up = len(senders) + LEASED_SHARE
                assert count <= LEASED_SHARE * per_s * window_s + saved_up + 1e-6


class TestRestartsInSeries:
    # Guards against: each start of an entry hands out its unleased share of a limit once more.
    def test_stay_within_the_unleased_share(self):
        now_s = [10.0]
        per_s, lives, life_s = 10.0, 20, 0.5
        sent = 0
        for life in range(lives):
            limiters = [
                SendLimiter(
                    per_s=per_s,
                    entries=lambda: ENTRIES,
                    clock=lambda: now_s[0],
                    source=random.Random(f"{life} {entry}"),
                )
                for entry in range(ENTRIES)
            ]
            for _ in range(round(life_s / STEP_S)):
                now_s[0] += STEP_S
                sent += sum(limiter.try_acquire() for limiter in limiters)
        expected = UNLEASED_SHARE * per_s * lives * life_s
        assert 0.5 * expected <= sent <= 1.5 * expected
