"""Shares of limits with a maximum of holders, so that few saved tokens can be spent at once."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.decide.send_limiter import LEASED_SHARE
from leadhollow.decide.share_allocator import GATHER_S, LEASE_S, LimitedServer
from tests.decide.test_share_allocator import LIFE, Leader, shares_of

HOLDERS = 6


def cold(per_s: float = 18.0, life: str = LIFE, domain: str = "d") -> LimitedServer:
    return LimitedServer(
        life=life,
        service="s",
        failure_domain=domain,
        per_s=per_s,
        unleased_share=0.6,
        max_holders=HOLDERS,
    )


class TestFewHolders:
    # Guards against: each of many entries has a small share, and all spend a saved token at once.
    @given(st.integers(1, 40), st.sampled_from([0.1, 3.0, 40.0]), st.sampled_from([1.0, 18.0]))
    def test_are_no_more_than_the_maximum(self, entries, demand_per_s, per_s):
        leader = Leader()
        leader.entries = entries
        leased = leader.settle({f"e{n}": demand_per_s for n in range(entries)}, cold(per_s))
        shares = [share for share in shares_of(leased).values() if share]
        assert 1 <= len(shares) <= HOLDERS
        assert sum(shares) == pytest.approx(LEASED_SHARE)
        assert len(shares_of(leased)) == entries  # the others know that they hold nothing

    # Guards against: the first entries to ask hold all servers for as long as a lease is valid.
    def test_are_chosen_after_others_could_ask(self):
        leader = Leader()
        leader.entries = 20
        assert leader.lease("e0", 10.0, cold()) == {}
        for number in range(1, 20):
            leader.now_s += GATHER_S / 25
            leader.lease(f"e{number}", 10.0, cold())
        servers = [cold(life=f"i-{number}@0") for number in range(10)]
        leased = leader.settle({f"e{number}": 10.0 for number in range(20)}, *servers)
        for shares in leased.values():
            held = [share for share in shares.values() if share]
            assert 0 < len(held) <= 4

    def test_are_not_awaited_from_entries_that_do_not_ask(self):
        leader = Leader()
        leader.entries = 20
        assert leader.lease("e0", 10.0, cold()) == {}
        leader.now_s += GATHER_S
        (share,) = leader.lease("e0", 10.0, cold()).values()
        assert 0 < share <= LEASED_SHARE - 0.6 * 19 / 20 + 1e-9

    def test_are_local_ones_first(self):
        leader = Leader()
        leader.entries = 12
        for _ in range(12):
            leader.now_s += 0.25
            for number in range(12):
                domain = "d" if number < 6 else "far"
                leader.lease(f"e{number}", 40.0, cold(), domain=domain)
        assert {vm for vm, share in leader.allocator.holders(LIFE).items() if share} <= {
            f"e{number}" for number in range(6)
        }

    def test_are_replaced_when_they_stop_asking(self):
        leader = Leader()
        leader.entries = 8
        demands = {f"e{number}": 10.0 for number in range(8)}
        leader.settle(demands, cold())
        gone = next(iter(leader.allocator.holders(LIFE)))
        del demands[gone]
        leased = leader.settle(demands, cold(), rounds=int(2 * LEASE_S / 0.25))
        assert sum(shares_of(leased).values()) == pytest.approx(
            LEASED_SHARE - 0.6 / 8
        )  # the entry that does not ask uses its even part
