"""Which control replica a process follows, and how often it looks for one that it cannot reach."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok

from leadhollow.kernel import clocks
from leadhollow.membership.control_feed import (
    LONGEST_FIRST_PAUSE_S,
    LONGEST_PAUSE_S,
    PAUSE_SPREAD,
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


def a_feed(vm: str = "vm") -> ControlFeed:
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
    """Answers probes, and counts who follows it."""

    def __init__(self, address: str, *, age_ms: int, revision: int) -> None:
        self.address = address
        self.reply = FeedProbeReply(age_ms, revision, None)
        self.handlers = HandlerTable()
        self.followed = asyncio.Event()
        self.watches = 0
        self.server = WireServer(
            address=Address.parse(address).unwrap(), token=TOKEN, handlers=self.handlers
        )
        self.handlers.on_call(FeedProbe, self._on_probe)
        self.handlers.on_stream(FeedWatch, self._on_watch)

    async def _on_probe(self, request: FeedProbe, connection: Connection):
        return Ok(self.reply)

    async def _on_watch(self, request: FeedWatch, sink: StreamSink):
        self.followed.set()
        self.watches += 1
        while True:
            await sink.send(
                FeedUpdate(self.reply.revision, [], self.reply.confirmed_age_ms, [], [], None, 1)
            )
            await asyncio.sleep(0.05)


def with_replicas(work: Callable[..., Awaitable[None]], *said: tuple[int, int]) -> None:
    """Run with a feed and replicas of these ages of confirmation and revisions."""

    async def run() -> None:
        take = LoopbackAddresses()
        replicas = [
            Replica(take(f"r{number}", Listener.WIRE), age_ms=age_ms, revision=revision)
            for number, (age_ms, revision) in enumerate(said)
        ]
        for replica in replicas:
            assert (await replica.server.start()).is_ok()
        feed = a_feed()
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
    def test_takes_the_one_that_a_majority_confirms(self):
        async def work(feed: ControlFeed, *replicas: Replica) -> None:
            await asyncio.wait_for(feed.ready.wait(), 10)
            assert [replica.followed.is_set() for replica in replicas] == [False, True, False]

        with_replicas(work, (-1, 9), (10, 9), (60_000, 9))

    def test_without_any_the_one_that_knows_most(self):
        async def work(feed: ControlFeed, *replicas: Replica) -> None:
            await asyncio.wait_for(replicas[1].followed.wait(), 10)
            assert not replicas[0].followed.is_set()

        with_replicas(work, (-1, 0), (-1, 7))

    def test_leaves_one_that_stays_unconfirmed_for_one_that_is(self):
        async def work(feed: ControlFeed, empty: Replica, other: Replica) -> None:
            await asyncio.wait_for(empty.followed.wait(), 10)
            assert not feed.ready.is_set()
            other.reply.confirmed_age_ms = 0
            await asyncio.wait_for(feed.ready.wait(), 10)
            assert feed.source == other.address

        with_replicas(work, (-1, 0), (-1, 0))


class TestSuspension:
    def test_lets_the_view_be_told_anew(self, monkeypatch):
        async def work(feed: ControlFeed, replica: Replica) -> None:
            await asyncio.wait_for(feed.ready.wait(), 10)
            await asyncio.sleep(0.2)
            assert replica.watches == 1
            before_s = clocks.suspended_s()
            monkeypatch.setattr(clocks, "suspended_s", lambda: before_s + 5.0)
            await eventually(lambda: replica.watches == 2, "a second view")
            await asyncio.sleep(0.2)
            assert replica.watches == 2

        with_replicas(work, (10, 9))


class TestPauses:
    def test_of_a_process_that_knows_nothing_stay_short(self):
        async def work() -> None:
            feed = a_feed()
            assert max(feed.retry_delay_s(failed) for failed in ATTEMPTS) <= LONGEST_FIRST_PAUSE_S

        asyncio.run(work())

    def test_of_one_that_can_serve_grow_to_the_longest(self):
        async def work() -> None:
            feed = a_feed()
            feed.ready.set()
            pauses_s = [feed.retry_delay_s(failed) for failed in ATTEMPTS]
            assert pauses_s[0] < pauses_s[3]
            assert (1 - PAUSE_SPREAD) * LONGEST_PAUSE_S <= max(pauses_s) <= LONGEST_PAUSE_S

        asyncio.run(work())

    def test_differ_between_processes(self):
        async def work() -> None:
            first = [a_feed("one").retry_delay_s(failed) for failed in ATTEMPTS]
            second = [a_feed("two").retry_delay_s(failed) for failed in ATTEMPTS]
            assert first != second

        asyncio.run(work())
