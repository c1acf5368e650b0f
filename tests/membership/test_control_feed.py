"""Choice of the control replica that a process follows, and delays between failed attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok

from leadhollow.kernel import clocks
from leadhollow.membership.control_feed import (
    MAX_FIRST_RETRY_DELAY_S,
    MAX_RETRY_DELAY_S,
    RETRY_JITTER,
    ControlFeed,
)
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.settings.address import Address
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.settings.node import NodeRole, NodeSettings
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import FeedProbe, FeedProbeReply, FeedUpdate, FeedWatch
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from leadhollow.wire.streams import StreamSink
from tests.support import TOKEN, eventually

ATTEMPTS = range(20)


def make_feed(vm: str = "vm") -> ControlFeed:
    settings = NodeSettings(
        vm=vm,
        region="r",
        failure_domain="d",
        role=NodeRole.ENTRY,
        host="127.0.0.1",
        ports=(7_400, 7_409),
        seeds=("127.0.0.1:1",),
        first_start=False,
    )
    peers = PeerPool(vm=vm, failure_domain="d", token=TOKEN, handlers=HandlerTable())
    return ControlFeed(settings=settings, peers=peers, table=InstanceTable(forget_after_s=60.0))


class Replica:
    """Control replica that answers probes and counts its subscriptions."""

    def __init__(self, address: str, *, age_ms: int, revision: int) -> None:
        self.address = address
        self.reply = FeedProbeReply(age_ms, revision, None)
        self.handlers = HandlerTable()
        self.subscribed = asyncio.Event()
        self.subscriptions = 0
        self.server = WireServer(
            address=Address.parse(address).unwrap(), token=TOKEN, handlers=self.handlers
        )
        self.handlers.on_call(FeedProbe, self._on_probe)
        self.handlers.on_stream(FeedWatch, self._on_watch)

    async def _on_probe(self, request: FeedProbe, connection: Connection):
        return Ok(self.reply)

    async def _on_watch(self, request: FeedWatch, sink: StreamSink):
        self.subscribed.set()
        self.subscriptions += 1
        while True:
            await sink.send(
                FeedUpdate(self.reply.revision, [], self.reply.confirmed_age_ms, [], [], None, 1)
            )
            await asyncio.sleep(0.05)


def with_replicas(work: Callable[..., Awaitable[None]], *states: tuple[int, int]) -> None:
    """Run `work` with a feed and replicas with the given confirmation ages in ms and revisions."""

    async def run() -> None:
        allocate = LoopbackAddresses()
        replicas = [
            Replica(allocate(f"r{number}", Listener.WIRE), age_ms=age_ms, revision=revision)
            for number, (age_ms, revision) in enumerate(states)
        ]
        for replica in replicas:
            assert (await replica.server.start()).is_ok()
        feed = make_feed()
        feed.use_seeds(tuple(replica.address for replica in replicas))
        await feed.start()
        try:
            await work(feed, *replicas)
        finally:
            await feed.stop()
            await feed._peers.stop()
            for replica in replicas:
                await replica.server.stop()

    asyncio.run(asyncio.wait_for(run(), 20))


class TestChoice:
    def test_follows_the_replica_that_a_majority_confirmed(self):
        async def work(feed: ControlFeed, *replicas: Replica) -> None:
            await asyncio.wait_for(feed.ready.wait(), 10)
            assert [replica.subscribed.is_set() for replica in replicas] == [False, True, False]

        with_replicas(work, (-1, 9), (10, 9), (60_000, 9))

    def test_without_a_confirmed_one_follows_the_highest_revision(self):
        async def work(feed: ControlFeed, *replicas: Replica) -> None:
            await asyncio.wait_for(replicas[1].subscribed.wait(), 10)
            assert not replicas[0].subscribed.is_set()

        with_replicas(work, (-1, 0), (-1, 7))

    def test_switches_from_an_unconfirmed_to_a_confirmed_replica(self):
        async def work(feed: ControlFeed, empty: Replica, other: Replica) -> None:
            await asyncio.wait_for(empty.subscribed.wait(), 10)
            assert not feed.ready.is_set()
            other.reply.confirmed_age_ms = 0
            await asyncio.wait_for(feed.ready.wait(), 10)
            assert feed.source == other.address

        with_replicas(work, (-1, 0), (-1, 0))


class TestSuspension:
    def test_requests_a_new_full_update_once(self, monkeypatch):
        async def work(feed: ControlFeed, replica: Replica) -> None:
            await asyncio.wait_for(feed.ready.wait(), 10)
            await asyncio.sleep(0.2)
            assert replica.subscriptions == 1
            before_s = clocks.suspended_s()
            monkeypatch.setattr(clocks, "suspended_s", lambda: before_s + 5.0)
            await eventually(lambda: replica.subscriptions == 2, "a second view")
            await asyncio.sleep(0.2)
            assert replica.subscriptions == 2

        with_replicas(work, (10, 9))


class TestRetryDelay:
    def test_stays_short_before_the_first_confirmed_view(self):
        async def work() -> None:
            feed = make_feed()
            assert max(feed.retry_delay_s(failed) for failed in ATTEMPTS) <= MAX_FIRST_RETRY_DELAY_S

        asyncio.run(work())

    def test_grows_to_the_maximum_after_the_first_confirmed_view(self):
        async def work() -> None:
            feed = make_feed()
            feed.ready.set()
            delays_s = [feed.retry_delay_s(failed) for failed in ATTEMPTS]
            assert delays_s[0] < delays_s[3]
            assert (1 - RETRY_JITTER) * MAX_RETRY_DELAY_S <= max(delays_s) <= MAX_RETRY_DELAY_S

        asyncio.run(work())

    def test_differs_between_processes(self):
        async def work() -> None:
            first = [make_feed("one").retry_delay_s(failed) for failed in ATTEMPTS]
            second = [make_feed("two").retry_delay_s(failed) for failed in ATTEMPTS]
            assert first != second

        asyncio.run(work())
