"""Limits at one control replica: who is told, and when the leader may lease."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from leadhollow.control.limit_relay import LimitRelay
from leadhollow.decide.send_limiter import LEASED_SHARE
from leadhollow.decide.share_allocator import LEASE_S
from leadhollow.kernel import clocks
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.wire.generated.ttypes import (
    LimitLease,
    LimitLeases,
    LimitNews,
    LimitRecord,
    ServiceRate,
    ShareRequest,
)
from leadhollow.wire.handlers import HandlerTable
from tests.control.lead import NoLead, OwnLead

LIFE = "i-1@5"


class Posts:
    """Peers that keep what is posted to them."""

    def __init__(self) -> None:
        self.posted: list[tuple[str, object]] = []

    def post(self, address: str, body: object) -> None:
        self.posted.append((address, body))


class Told:
    """What entries that follow the replica are told."""

    def __init__(self) -> None:
        self.lives: list[set[str]] = []
        self.leases: list[LimitLease] = []
        self.behind: list[str] = []


def server_of(life: str) -> Instance | None:
    if life != LIFE:
        return None
    return Instance(
        instance="i-1",
        service="s",
        address="10.0.0.1:80",
        failure_domain="d",
        sequence=1,
        state=InstanceState.READY,
        slots=8,
        served=(),
        heard_s=0.0,
        born_ms=5,
    )


class Replica:
    """A relay, without its task."""

    def __init__(self, lead: NoLead) -> None:
        self.posts = Posts()
        self.told = Told()
        self.relay = LimitRelay(
            own_address="one",
            replicas=lambda: ["one", "two", "three"],
            leadership=lead,
            find_server=server_of,
            live_entries=lambda: 0,
            peers=self.posts,
            handlers=HandlerTable(),
        )
        self.relay.set_listeners(
            on_limits=self.told.lives.append,
            on_lease=self.told.leases.append,
            on_behind=self.told.behind.append,
        )

    def hear(self, news: LimitNews, *, vm: str = "entry") -> None:
        self.relay._on_news(news, SimpleNamespace(hello=SimpleNamespace(vm=vm)))

    async def tell(self, *, whole: bool = False) -> list[tuple[str, object]]:
        self.posts.posted = []
        await self.relay._publish(whole=whole)
        return self.posts.posted


def limit(per_s: float = 2.0, *, address: str = "", requests=()) -> LimitNews:
    return LimitNews(address, 0, [LimitRecord(LIFE, per_s, 0, -1)], list(requests))


def a_request(vm: str = "entry", asked_ms: int = 7) -> ShareRequest:
    return ShareRequest(vm, "d", asked_ms, [ServiceRate("s", 30.0)])


class TestNews:
    def test_of_an_entry_reach_the_others_and_all_replicas(self):
        async def work() -> None:
            replica = Replica(NoLead())
            replica.hear(limit())
            assert replica.told.lives == [{LIFE}]
            posted = await replica.tell()
            assert [address for address, _ in posted] == ["two", "three"]
            assert [record.life for record in posted[0][1].limits] == [LIFE]
            assert await replica.tell() == []

        asyncio.run(work())

    def test_that_are_known_are_told_to_nobody(self):
        async def work() -> None:
            replica = Replica(NoLead())
            replica.hear(limit())
            await replica.tell()
            replica.hear(limit())
            assert replica.told.lives == [{LIFE}]
            assert await replica.tell() == []

        asyncio.run(work())

    def test_that_are_malformed_change_nothing(self):
        async def work() -> None:
            replica = Replica(NoLead())
            replica.hear(LimitNews("", 0, [LimitRecord(LIFE, -1.0, 0, -1)], [a_request()]))
            assert not replica.relay.table
            assert await replica.tell() == []

        asyncio.run(work())

    def test_of_a_replica_that_lacks_something_bring_it_everything_once(self):
        async def work() -> None:
            replica = Replica(NoLead())
            replica.hear(limit())
            await replica.tell()
            replica.posts.posted = []
            for _ in range(3):
                replica.hear(LimitNews("two", 0, [], []))
            assert [address for address, _ in replica.posts.posted] == ["two"]

        asyncio.run(work())

    def test_of_an_entry_that_lacks_something_bring_it_everything(self):
        async def work() -> None:
            replica = Replica(NoLead())
            replica.hear(limit(), vm="entry")
            replica.hear(LimitNews("", 0, [], []), vm="other")
            assert "other" in replica.told.behind

        asyncio.run(work())


class TestRequests:
    def test_go_to_the_leader(self):
        class Lead(NoLead):
            def leader_address(self) -> str | None:
                return "three"

        async def work() -> None:
            replica = Replica(Lead())
            replica.hear(limit(requests=[a_request()]))
            posted = dict(await replica.tell())
            assert [request.vm for request in posted["three"].requests] == ["entry"]
            assert posted["two"].requests == []

        asyncio.run(work())

    def test_are_served_by_the_leader_where_they_came_from(self):
        async def work() -> None:
            replica = Replica(OwnLead(since_s=clocks.elapsed_s() - 2 * LEASE_S))
            replica.hear(limit(requests=[a_request()]))
            await replica.tell()
            assert [lease.asked_ms for lease in replica.told.leases] == [7]
            assert replica.told.leases[0].shares[0].share == pytest.approx(LEASED_SHARE)
            replica.hear(limit(address="two", requests=[a_request("far")]))
            leases = [body for _, body in await replica.tell() if isinstance(body, LimitLeases)]
            assert [lease.vm for lease in leases[0].leases] == ["far"]
            assert leases[0].leases[0].shares == []  # held by the first entry

        asyncio.run(work())

    def test_are_not_served_until_leases_of_the_leader_before_have_ended(self):
        async def work() -> None:
            lead = OwnLead(since_s=clocks.elapsed_s() - 0.8 * LEASE_S, term=2)
            replica = Replica(lead)
            replica.hear(limit(requests=[a_request()]))
            await replica.tell()
            assert replica.told.leases == []
            lead.since_s = clocks.elapsed_s() - 1.1 * LEASE_S
            replica.hear(limit(requests=[a_request()]))
            await replica.tell()
            assert len(replica.told.leases) == 1

        asyncio.run(work())

    def test_are_not_served_by_one_that_may_have_lost_the_lead(self):
        async def work() -> None:
            lead = OwnLead(since_s=0.0)
            lead.since_s = None
            replica = Replica(lead)
            replica.hear(limit(requests=[a_request()]))
            await replica.tell()
            assert replica.told.leases == []

        asyncio.run(work())


class TestLeases:
    def test_of_a_former_leader_are_dropped(self):
        async def work() -> None:
            replica = Replica(NoLead())
            connection = SimpleNamespace(hello=None)
            replica.relay._on_leases(LimitLeases(5, [LimitLease("a", 1, [])]), connection)
            replica.relay._on_leases(LimitLeases(4, [LimitLease("a", 2, [])]), connection)
            assert [lease.asked_ms for lease in replica.told.leases] == [1]

        asyncio.run(work())
