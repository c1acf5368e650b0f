"""Tests of fair queueing and of group limits on an entry."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from leadhollow.codes import Code
from leadhollow.entry.group_limits import GroupLimits, StaticShare
from leadhollow.entry.router import Reservation
from leadhollow.entry.scheduler import FairScheduler
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem, Limits, StoredRow
from leadhollow.wire.generated.ttypes import MemberView
from tests.support import row


class FakeSlots:
    """Fake capacity with a fixed number of slots."""

    def __init__(self, count: int) -> None:
        self.free = count

    def reserve(self) -> Reservation | None:
        if self.free == 0:
            return None
        self.free -= 1
        return Reservation(member=MemberView("s"), name="r", reason="", candidates=1)


def catalog_of(**limits: Limits) -> Catalog:
    catalog = Catalog()
    items = [
        CatalogItem(key=f"row/{group}", revision=1, value=StoredRow(row=row(group, limits=limit)))
        for group, limit in limits.items()
    ]
    catalog.apply(items, revision=1)
    return catalog


def scheduler_of(**limits: Limits) -> FairScheduler:
    static_share = StaticShare(index=0, count=1)
    return FairScheduler(
        limits=GroupLimits(catalog=catalog_of(**limits), static_share=static_share)
    )


class FakeLoad:
    """Runs requests on the fake slots and records the order of their admission."""

    def __init__(self, scheduler: FairScheduler, slots: FakeSlots) -> None:
        self.scheduler = scheduler
        self.slots = slots
        self.order: list[str] = []

    async def request(self, group: str, *, weight: float, cost: float = 100.0):
        loop = asyncio.get_running_loop()
        acquired = await self.scheduler.acquire(
            group=group,
            weight=weight,
            cost=cost,
            queue_limit=1_000,
            reserve=self.slots.reserve,
            deadline_s=loop.time() + 20,
        )
        admission = acquired.unwrap()
        self.order.append(group)
        await asyncio.sleep(0)
        self.slots.free += 1
        self.scheduler.finish(admission, actual_cost=cost)


class TestFairness:
    async def test_backlogged_groups_share_token_cost_by_weight(self):
        limit = Limits(concurrency=100, tokens_per_s=10**9, queue=1_000)
        load = FakeLoad(scheduler_of(a=limit, b=limit), FakeSlots(2))
        work = [load.request("a", weight=3.0) for _ in range(120)]
        work += [load.request("b", weight=1.0) for _ in range(120)]
        await asyncio.gather(*work)
        first = Counter(load.order[:80])
        assert abs(first["a"] - 60) <= 3

    async def test_shares_token_cost_not_request_count(self):
        limit = Limits(concurrency=100, tokens_per_s=10**9, queue=1_000)
        load = FakeLoad(scheduler_of(a=limit, b=limit), FakeSlots(2))
        work = [load.request("a", weight=1.0, cost=400.0) for _ in range(60)]
        work += [load.request("b", weight=1.0, cost=100.0) for _ in range(60)]
        await asyncio.gather(*work)
        first = Counter(load.order[:50])
        assert abs(first["b"] - 40) <= 4

    async def test_a_new_group_does_not_wait_behind_a_burst_of_another(self):
        limit = Limits(concurrency=100, tokens_per_s=10**9, queue=1_000)
        load = FakeLoad(scheduler_of(big=limit, small=limit), FakeSlots(1))
        burst = [asyncio.ensure_future(load.request("big", weight=1.0)) for _ in range(100)]
        await asyncio.sleep(0)
        await load.request("small", weight=1.0)
        assert len(load.order) < 20
        await asyncio.gather(*burst)

    async def test_an_idle_group_earns_no_credit(self):
        limit = Limits(concurrency=100, tokens_per_s=10**9, queue=1_000)
        load = FakeLoad(scheduler_of(a=limit, b=limit), FakeSlots(1))
        for _ in range(50):
            await load.request("a", weight=1.0)
        load.order.clear()
        work = [load.request("a", weight=1.0) for _ in range(40)]
        work += [load.request("b", weight=1.0) for _ in range(40)]
        await asyncio.gather(*work)
        assert abs(Counter(load.order[:40])["a"] - 20) <= 3


class TestLimits:
    async def test_a_group_at_its_concurrency_limit_does_not_block_others(self):
        scheduler = scheduler_of(
            a=Limits(concurrency=1, queue=10), b=Limits(concurrency=5, queue=10)
        )
        slots = FakeSlots(10)
        deadline_s = asyncio.get_running_loop().time() + 10
        common = {"weight": 1.0, "cost": 1.0, "queue_limit": 9, "deadline_s": deadline_s}
        first = await scheduler.acquire(group="a", reserve=slots.reserve, **common)
        waiting = asyncio.ensure_future(
            scheduler.acquire(group="a", reserve=slots.reserve, **common)
        )
        other = await scheduler.acquire(group="b", reserve=slots.reserve, **common)
        assert other.is_ok()
        assert not waiting.done()
        scheduler.finish(first.unwrap(), actual_cost=1.0)
        assert (await waiting).is_ok()

    async def test_a_full_queue_refuses_immediately(self):
        scheduler = scheduler_of(a=Limits(concurrency=5))
        deadline_s = asyncio.get_running_loop().time() + 10
        common = {"weight": 1.0, "cost": 1.0, "queue_limit": 2, "deadline_s": deadline_s}
        none = FakeSlots(0)
        waiting = [
            asyncio.ensure_future(scheduler.acquire(group="a", reserve=none.reserve, **common))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        refused = await scheduler.acquire(group="a", reserve=none.reserve, **common)
        assert refused.unwrap_err().code is Code.QUEUE_FULL
        for task in waiting:
            task.cancel()

    async def test_removing_a_row_refuses_its_waiting_requests_immediately(self):
        catalog = catalog_of(a=Limits(concurrency=5))
        static_share = StaticShare(index=0, count=1)
        scheduler = FairScheduler(limits=GroupLimits(catalog=catalog, static_share=static_share))
        waiting = asyncio.ensure_future(
            scheduler.acquire(
                group="a",
                weight=1.0,
                cost=1.0,
                queue_limit=5,
                reserve=FakeSlots(0).reserve,
                deadline_s=asyncio.get_running_loop().time() + 600,
            )
        )
        await asyncio.sleep(0)
        catalog.apply([CatalogItem(key="row/a", revision=2, value=None)], revision=2)
        scheduler.admit_waiting()
        assert (await asyncio.wait_for(waiting, 10)).unwrap_err().code is Code.GROUP_REMOVED

    async def test_a_request_past_its_deadline_is_removed_from_the_queue(self):
        scheduler = scheduler_of(a=Limits(concurrency=5))
        loop = asyncio.get_running_loop()
        refused = await scheduler.acquire(
            group="a",
            weight=1.0,
            cost=1.0,
            queue_limit=1,
            reserve=FakeSlots(0).reserve,
            deadline_s=loop.time() + 0.02,
        )
        assert refused.unwrap_err().code is Code.DEADLINE_PASSED
        assert [demand.waiting for demand in scheduler.demand()] == [0]

    @pytest.mark.parametrize("limit", [1, 6, 7, 64, 1_000])
    def test_static_shares_sum_to_the_limit(self, limit):
        shares = [StaticShare(index=index, count=7).share_of(limit) for index in range(7)]
        assert sum(shares) == limit

    def test_a_lease_expires_by_the_local_clock(self):
        now_s = 100.0
        limits = GroupLimits(
            catalog=catalog_of(a=Limits(concurrency=70)),
            static_share=StaticShare(index=0, count=7),
            clock_s=lambda: now_s,
        )
        limits.apply_lease("a", slots=33.0, tokens_per_s=1.0, valid_s=2.0)
        assert limits.slots("a") == 33.0
        now_s = 102.5
        assert limits.slots("a") == 10

    def test_tokens_refill_at_the_limited_rate(self):
        limited = LimitedGroup(tokens_per_s=1_000)
        limited.clock_s += 10.0
        limited.limits.spend("a", 1_500.0)
        assert not limited.allows()
        limited.clock_s += 0.4
        assert not limited.allows()
        limited.clock_s += 0.2
        assert limited.allows()

    def test_a_rate_of_0_allows_nothing(self):
        limited = LimitedGroup(tokens_per_s=0)
        limited.clock_s += 10.0
        assert not limited.allows()

    # Guards against: each start of an entry hands a group a second's worth of tokens once more.
    def test_a_start_saves_no_tokens_for_a_group(self):
        assert spent_over_restarts(lives=10, life_s=0.1, cost_tokens=10.0) <= 1_000.0

    # Guards against: a group whose request cost more than its rate may send the next one as soon
    # as its entry has restarted.
    @pytest.mark.parametrize("life_s", [0.1, 2.0, 5.5])
    def test_a_start_does_not_forgive_what_a_group_owes(self, life_s):
        lives = 10
        spent = spent_over_restarts(lives=lives, life_s=life_s, cost_tokens=5_000.0)
        assert spent <= 5_000.0 + 1_000.0 * lives * life_s


class LimitedGroup:
    """Limits of a group on an entry that has just started, with their clock."""

    def __init__(self, *, tokens_per_s: int, clock_s: float = 100.0) -> None:
        self.clock_s = clock_s
        self.limits = GroupLimits(
            catalog=catalog_of(a=Limits(tokens_per_s=tokens_per_s)),
            static_share=StaticShare(index=0, count=1),
            clock_s=lambda: self.clock_s,
        )

    def allows(self, cost_tokens: float = 1.0) -> bool:
        return self.limits.allows("a", running=0, cost_tokens=cost_tokens)


def spent_over_restarts(*, lives: int, life_s: float, cost_tokens: float) -> float:
    """Return what a group with 1,000 tokens a second spends on an entry that restarts in series."""
    clock_s, step_s, spent = 100.0, 0.05, 0.0
    for _ in range(lives):
        limited = LimitedGroup(tokens_per_s=1_000, clock_s=clock_s)
        for _ in range(round(life_s / step_s)):
            limited.clock_s += step_s
            while limited.allows(cost_tokens):
                limited.limits.spend("a", cost_tokens)
                spent += cost_tokens
        clock_s = limited.clock_s
    return spent
