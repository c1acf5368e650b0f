"""Rate limits at one control replica: relaying of changes and leasing by the leader."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from leadhollow.control.limit_relay import LimitRelay
from leadhollow.decide.rate_source import RateLimit, RateSource
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
from tests.control.leadership import Leader, NonLeader

LIFE = "i-1@5"


class FakePeers:
    """Peer pool that keeps the messages posted to it."""

    def __init__(self) -> None:
        self.posted: list[tuple[str, object]] = []

    def post(self, address: str, body: object) -> None:
        self.posted.append((address, body))


class Received:
    """Arguments of the listeners of the relay."""

    def __init__(self) -> None:
        self.lives: list[set[str]] = []
        self.leases: list[LimitLease] = []
        self.stale_entries: list[str] = []


def find_server(life: str) -> Instance | None:
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
    """A relay whose background task is not started."""

    def __init__(self, leadership: NonLeader, *, cold_servers: RateSource | None = None) -> None:
        self.peers_stub = FakePeers()
        self.received = Received()
        self.relay = LimitRelay(
            own_address="one",
            replicas=lambda: ["one", "two", "three"],
            leadership=leadership,
            find_server=find_server,
            live_entries=lambda: 0,
            peers=self.peers_stub,
            handlers=HandlerTable(),
            cold_servers=cold_servers,
        )
        self.relay.set_listeners(
            on_limits=self.received.lives.append,
            on_lease=self.received.leases.append,
            on_stale_entry=self.received.stale_entries.append,
        )

    def receive(self, message: LimitNews, *, vm: str = "entry") -> None:
        self.relay._on_news(message, SimpleNamespace(hello=SimpleNamespace(vm=vm)))

    async def publish(self, *, whole: bool = False) -> list[tuple[str, object]]:
        self.peers_stub.posted = []
        await self.relay._publish(whole=whole)
        return self.peers_stub.posted


def limit_message(per_s: float = 2.0, *, address: str = "", requests=()) -> LimitNews:
    return LimitNews(address, 0, [LimitRecord(LIFE, per_s, 0, -1)], list(requests))


def make_share_request(vm: str = "entry", asked_ms: int = 7) -> ShareRequest:
    return ShareRequest(vm, "d", asked_ms, [ServiceRate("s", 30.0)])


class TestMessages:
    def test_limit_from_an_entry_reaches_entries_and_all_replicas(self):
        async def work() -> None:
            replica = Replica(NonLeader())
            replica.receive(limit_message())
            assert replica.received.lives == [{LIFE}]
            posted = await replica.publish()
            assert [address for address, _ in posted] == ["two", "three"]
            assert [record.life for record in posted[0][1].limits] == [LIFE]
            assert await replica.publish() == []

        asyncio.run(work())

    def test_known_limit_is_not_sent_again(self):
        async def work() -> None:
            replica = Replica(NonLeader())
            replica.receive(limit_message())
            await replica.publish()
            replica.receive(limit_message())
            assert replica.received.lives == [{LIFE}]
            assert await replica.publish() == []

        asyncio.run(work())

    def test_malformed_message_is_ignored(self):
        async def work() -> None:
            replica = Replica(NonLeader())
            replica.receive(
                LimitNews("", 0, [LimitRecord(LIFE, -1.0, 0, -1)], [make_share_request()])
            )
            assert not replica.relay.table
            assert await replica.publish() == []

        asyncio.run(work())

    def test_replica_with_another_checksum_gets_the_full_table_once(self):
        async def work() -> None:
            replica = Replica(NonLeader())
            replica.receive(limit_message())
            await replica.publish()
            replica.peers_stub.posted = []
            for _ in range(3):
                replica.receive(LimitNews("two", 0, [], []))
            assert [address for address, _ in replica.peers_stub.posted] == ["two"]

        asyncio.run(work())

    def test_entry_with_another_checksum_is_reported_as_stale(self):
        async def work() -> None:
            replica = Replica(NonLeader())
            replica.receive(limit_message(), vm="entry")
            replica.receive(LimitNews("", 0, [], []), vm="other")
            assert "other" in replica.received.stale_entries

        asyncio.run(work())


class TestRequests:
    def test_request_is_relayed_to_the_leader_only(self):
        class OtherLeader(NonLeader):
            def leader_address(self) -> str | None:
                return "three"

        async def work() -> None:
            replica = Replica(OtherLeader())
            replica.receive(limit_message(requests=[make_share_request()]))
            posted = dict(await replica.publish())
            assert [request.vm for request in posted["three"].requests] == ["entry"]
            assert posted["two"].requests == []

        asyncio.run(work())

    def test_leader_sends_leases_to_where_requests_came_from(self):
        async def work() -> None:
            replica = Replica(Leader(since_s=clocks.elapsed_s() - 2 * LEASE_S))
            replica.receive(limit_message(requests=[make_share_request()]))
            await replica.publish()
            assert [lease.asked_ms for lease in replica.received.leases] == [7]
            assert replica.received.leases[0].shares[0].share == pytest.approx(LEASED_SHARE)
            replica.receive(limit_message(address="two", requests=[make_share_request("far")]))
            leases = [body for _, body in await replica.publish() if isinstance(body, LimitLeases)]
            assert [lease.vm for lease in leases[0].leases] == ["far"]
            assert leases[0].leases[0].shares == []  # held by the first entry

        asyncio.run(work())

    def test_new_leader_leases_only_after_earlier_leases_ended(self):
        async def work() -> None:
            leadership = Leader(since_s=clocks.elapsed_s() - 0.8 * LEASE_S, term=2)
            replica = Replica(leadership)
            replica.receive(limit_message(requests=[make_share_request()]))
            await replica.publish()
            assert replica.received.leases == []
            leadership.since_s = clocks.elapsed_s() - 1.1 * LEASE_S
            replica.receive(limit_message(requests=[make_share_request()]))
            await replica.publish()
            assert len(replica.received.leases) == 1

        asyncio.run(work())

    # Guards against: a cold server is limited at entries, and nobody leases shares of its rate.
    def test_leader_leases_shares_of_cold_servers(self):
        class Cold:
            def rate_limit(self, life: str) -> RateLimit | None:
                return RateLimit(per_s=18.0, max_holders=1)

            def limited_lives(self) -> list[str]:
                return [LIFE]

        async def work() -> None:
            leadership = Leader(since_s=clocks.elapsed_s() - 2 * LEASE_S)
            replica = Replica(leadership, cold_servers=Cold())
            for vm in ("one", "two"):
                replica.receive(LimitNews("", 0, [], [make_share_request(vm)]))
            await replica.publish()
            shares = [part.share for lease in replica.received.leases for part in lease.shares]
            assert shares == [pytest.approx(LEASED_SHARE), 0.0]
            assert not replica.relay.needs_refresh()  # nothing else is relayed for it

        asyncio.run(work())

    def test_replica_that_may_have_lost_leadership_does_not_lease(self):
        async def work() -> None:
            leadership = Leader(since_s=0.0)
            leadership.since_s = None
            replica = Replica(leadership)
            replica.receive(limit_message(requests=[make_share_request()]))
            await replica.publish()
            assert replica.received.leases == []

        asyncio.run(work())


class TestLeases:
    def test_leases_of_a_former_leader_are_dropped(self):
        async def work() -> None:
            replica = Replica(NonLeader())
            connection = SimpleNamespace(hello=None)
            replica.relay._on_leases(LimitLeases(5, [LimitLease("a", 1, [])]), connection)
            replica.relay._on_leases(LimitLeases(4, [LimitLease("a", 2, [])]), connection)
            assert [lease.asked_ms for lease in replica.received.leases] == [1]

        asyncio.run(work())
