"""A limit holds for the sum of what all entries send, whatever is late, lost or stands still."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from leadhollow.decide.send_limiter import LEASED_SHARE, SendLimiter
from leadhollow.decide.share_allocator import LEASE_S, EntryDemand, LimitedServer, ShareAllocator

LIFE = "i-1@0"
ENTRIES = 5
STEP_S = 0.02
NEVER_SPARE = 10**9  # entries among which the spare part is shared: it gives nothing

entries = st.integers(0, ENTRIES - 1)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), entries, st.sampled_from([0.0, 0.05, 0.4, 2.0])),  # way and back
        st.tuples(st.just("suspend"), entries, st.sampled_from([0.3, 1.0, 4.0])),
        st.tuples(st.just("restart"), entries, st.just(0.0)),
        st.tuples(st.just("leader"), st.just(0), st.sampled_from([0.0, 1.5])),  # away for so long
        st.tuples(st.just("run"), st.just(0), st.sampled_from([0.1, 0.5, 1.3])),
    ),
    max_size=40,
)


class Fleet:
    """Entries that always have something to send, and a leader."""

    def __init__(self, per_s: float) -> None:
        self.now_s = 10.0
        self.per_s = per_s
        self.ledger = ShareAllocator(clock=lambda: self.now_s, entries=lambda: 0)
        self.leads_from_s = 0.0
        self.allowances = [self._allowance() for _ in range(ENTRIES)]
        self.suspended_until_s = [0.0] * ENTRIES
        self.due: list[tuple[float, int, float, SendLimiter, float]] = []
        self.sent: list[tuple[float, int]] = []

    def _allowance(self) -> SendLimiter:
        return SendLimiter(
            per_s=self.per_s,
            entries=lambda: NEVER_SPARE,
            clock=lambda: self.now_s,
            source=random.Random(1),
        )

    def ask(self, entry: int, way_s: float) -> None:
        if self.now_s < max(self.leads_from_s, self.suspended_until_s[entry]):
            return
        demand = EntryDemand(
            vm=f"entry-{entry}", failure_domain="d", per_s={"s": 30.0}, heard_s=self.now_s
        )
        server = LimitedServer(life=LIFE, service="s", failure_domain="d", per_s=self.per_s)
        share = self.ledger.lease_shares(demand, [server]).get(LIFE, 0.0)
        until_s = self.now_s + LEASE_S
        self.due.append((self.now_s + way_s, entry, share, self.allowances[entry], until_s))

    def change_leader(self, away_s: float) -> None:
        self.ledger = ShareAllocator(clock=lambda: self.now_s, entries=lambda: 0)
        self.leads_from_s = self.now_s + away_s + LEASE_S

    def run(self, time_s: float) -> None:
        for _ in range(round(time_s / STEP_S)):
            self.now_s += STEP_S
            for news in [one for one in self.due if one[0] <= self.now_s]:
                self.due.remove(news)
                _, entry, share, allowance, until_s = news
                if self.now_s >= self.suspended_until_s[entry]:
                    allowance.lease(share, until_s=until_s)
            for entry, allowance in enumerate(self.allowances):
                while self.now_s >= self.suspended_until_s[entry] and allowance.try_acquire():
                    self.sent.append((self.now_s, entry))


class TestSum:
    @settings(max_examples=150, deadline=None)
    @given(st.sampled_from([0.5, 1.3, 10.0, 50.0]), steps)
    def test_of_all_entries_stays_within_the_limit(self, per_s, steps):
        fleet = Fleet(per_s)
        for kind, entry, value in steps:
            if kind == "ask":
                fleet.ask(entry, value)
            elif kind == "suspend":
                fleet.suspended_until_s[entry] = fleet.now_s + value
            elif kind == "restart":
                fleet.allowances[entry] = fleet._allowance()
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
