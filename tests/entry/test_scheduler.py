"""Which waiting request goes next."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from leadhollow.codes import Code
from leadhollow.entry.group_limits import GroupShareLimits, StaticPart
from leadhollow.entry.router import Choice
from leadhollow.entry.scheduler import FairScheduler
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem, Limits, StoredRow
from leadhollow.wire.generated.ttypes import MemberView
from tests.support import row


class Slots:
    """A fake of capacity: so many slots, free again when released."""

    def __init__(self, count: int) -> None:
        self.free = count

    def place(self) -> Choice | None:
        if self.free == 0:
            return None
        self.free -= 1
        return Choice(member=MemberView("s"), name="r", reason="", candidates=1)


def catalog_of(**limits: Limits) -> Catalog:
    catalog = Catalog()
    items = [
        CatalogItem(key=f"row/{group}", revision=1, value=StoredRow(row=row(group, limits=limit)))
        for group, limit in limits.items()
    ]
    catalog.apply(items, revision=1)
    return catalog


def scheduler_of(**limits: Limits) -> FairScheduler:
    static = StaticPart(index=0, parts=1)
    return FairScheduler(limits=GroupShareLimits(catalog=catalog_of(**limits), static=static))


class Load:
    """Requests that run one after the other on the fake slots."""

    def __init__(self, scheduler: FairScheduler, slots: Slots) -> None:
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
            place=self.slots.place,
            deadline_s=loop.time() + 20,
        )
        ticket = acquired.unwrap()
        self.order.append(group)
        await asyncio.sleep(0)
        self.slots.free += 1
        self.scheduler.finish(ticket, actual_cost=cost)


class TestFairness:
    async def test_backlogged_groups_get_cost_by_weight(self):
        limit = Limits(concurrency=100, tokens_per_s=10**9, queue=1_000)
        load = Load(scheduler_of(a=limit, b=limit), Slots(2))
        work = [load.request("a", weight=3.0) for _ in range(120)]
        work += [load.request("b", weight=1.0) for _ in range(120)]
        await asyncio.gather(*work)
        first = Counter(load.order[:80])
        assert abs(first["a"] - 60) <= 3

    async def test_cost_counts_not_requests(self):
        limit = Limits(concurrency=100, tokens_per_s=10**9, queue=1_000)
        load = Load(scheduler_of(a=limit, b=limit), Slots(2))
        work = [load.request("a", weight=1.0, cost=400.0) for _ in range(60)]
        work += [load.request("b", weight=1.0, cost=100.0) for _ in range(60)]
        await asyncio.gather(*work)
        first = Counter(load.order[:50])
        assert abs(first["b"] - 40) <= 4

    async def test_a_newcomer_does_not_wait_behind_a_burst(self):
        limit = Limits(concurrency=100, tokens_per_s=10**9, queue=1_000)
        load = Load(scheduler_of(big=limit, small=limit), Slots(1))
        burst = [asyncio.ensure_future(load.request("big", weight=1.0)) for _ in range(100)]
        await asyncio.sleep(0)
        await load.request("small", weight=1.0)
        assert len(load.order) < 20
        await asyncio.gather(*burst)

    async def test_an_idle_group_saves_nothing_up(self):
        limit = Limits(concurrency=100, tokens_per_s=10**9, queue=1_000)
        load = Load(scheduler_of(a=limit, b=limit), Slots(1))
        for _ in range(50):
            await load.request("a", weight=1.0)
        load.order.clear()
        work = [load.request("a", weight=1.0) for _ in range(40)]
        work += [load.request("b", weight=1.0) for _ in range(40)]
        await asyncio.gather(*work)
        assert abs(Counter(load.order[:40])["a"] - 20) <= 3


class TestLimits:
    async def test_a_group_at_its_concurrency_lets_others_pass(self):
        scheduler = scheduler_of(
            a=Limits(concurrency=1, queue=10), b=Limits(concurrency=5, queue=10)
        )
        slots = Slots(10)
        deadline_s = asyncio.get_running_loop().time() + 10
        common = {"weight": 1.0, "cost": 1.0, "queue_limit": 9, "deadline_s": deadline_s}
        first = await scheduler.acquire(group="a", place=slots.place, **common)
        waiting = asyncio.ensure_future(scheduler.acquire(group="a", place=slots.place, **common))
        other = await scheduler.acquire(group="b", place=slots.place, **common)
        assert other.is_ok()
        assert not waiting.done()
        scheduler.finish(first.unwrap(), actual_cost=1.0)
        assert (await waiting).is_ok()

    async def test_a_full_queue_refuses_at_once(self):
        scheduler = scheduler_of(a=Limits(concurrency=5))
        deadline_s = asyncio.get_running_loop().time() + 10
        common = {"weight": 1.0, "cost": 1.0, "queue_limit": 2, "deadline_s": deadline_s}
        none = Slots(0)
        waiting = [
            asyncio.ensure_future(scheduler.acquire(group="a", place=none.place, **common))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        refused = await scheduler.acquire(group="a", place=none.place, **common)
        assert refused.unwrap_err().code is Code.QUEUE_FULL
        for task in waiting:
            task.cancel()

    async def test_a_removed_row_refuses_those_who_wait_at_once(self):
        catalog = catalog_of(a=Limits(concurrency=5))
        static = StaticPart(index=0, parts=1)
        scheduler = FairScheduler(limits=GroupShareLimits(catalog=catalog, static=static))
        waiting = asyncio.ensure_future(
            scheduler.acquire(
                group="a",
                weight=1.0,
                cost=1.0,
                queue_limit=5,
                place=Slots(0).place,
                deadline_s=asyncio.get_running_loop().time() + 600,
            )
        )
        await asyncio.sleep(0)
        catalog.apply([CatalogItem(key="row/a", revision=2, value=None)], revision=2)
        scheduler.pump()
        assert (await asyncio.wait_for(waiting, 10)).unwrap_err().code is Code.GROUP_REMOVED

    async def test_a_passed_deadline_leaves_the_queue(self):
        scheduler = scheduler_of(a=Limits(concurrency=5))
        loop = asyncio.get_running_loop()
        refused = await scheduler.acquire(
            group="a",
            weight=1.0,
            cost=1.0,
            queue_limit=1,
            place=Slots(0).place,
            deadline_s=loop.time() + 0.02,
        )
        assert refused.unwrap_err().code is Code.DEADLINE_PASSED
        assert [demand.waiting for demand in scheduler.demand()] == [0]

    @pytest.mark.parametrize("limit", [1, 6, 7, 64, 1_000])
    def test_static_parts_sum_to_the_limit(self, limit):
        parts = [StaticPart(index=index, parts=7).of(limit) for index in range(7)]
        assert sum(parts) == limit

    def test_a_lease_ends_by_our_own_clock(self):
        now_s = 100.0
        limits = GroupShareLimits(
            catalog=catalog_of(a=Limits(concurrency=70)),
            static=StaticPart(index=0, parts=7),
            clock_s=lambda: now_s,
        )
        limits.lease("a", slots=33.0, tokens_per_s=1.0, valid_s=2.0)
        assert limits.slots("a") == 33.0
        now_s = 102.5
        assert limits.slots("a") == 10

    def test_the_token_rate_refills(self):
        now_s = 100.0
        limits = GroupShareLimits(
            catalog=catalog_of(a=Limits(tokens_per_s=1_000)),
            static=StaticPart(index=0, parts=1),
            clock_s=lambda: now_s,
        )
        limits.spend("a", 1_500.0)
        assert not limits.allows("a", running=0)
        now_s = 101.0
        assert limits.allows("a", running=0)
