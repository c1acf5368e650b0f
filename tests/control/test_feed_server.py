"""Feed updates that a control replica sends to entries and stagers, over loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from leadhollow.control.feed_server import FeedServer
from leadhollow.control.limit_relay import LimitRelay
from leadhollow.control.registry import Registry
from leadhollow.control.replica_directory import ReplicaDirectory
from leadhollow.control.self_report_relay import SelfReportRelay
from leadhollow.control.suspect_relay import SuspectRelay
from leadhollow.control.use_aggregator import UseAggregator
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.settings.address import Address
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.state.catalog import Catalog
from leadhollow.wire.generated.ttypes import (
    FeedUpdate,
    FeedWatch,
    LoadRecord,
    LoadReport,
    ServedModel,
    ServiceDecisions,
    UseReport,
    VersionAge,
)
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.control.leadership import NonLeader
from tests.support import TOKEN, eventually

ENGINE = "10.0.0.1:80"
QUIET_S = 0.6  # more than two heartbeats of a feed


class FakeConfirmation:
    """A majority that always confirms; tests call the listeners."""

    def __init__(self) -> None:
        self.listeners: list[Callable[[], None]] = []

    def age_ms(self) -> int:
        return 0

    def on_quorum_regained(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)


class Replica:
    """One control replica without a replicated log."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.handlers = HandlerTable()
        self.peers = PeerPool(vm=address, failure_domain="d", token=TOKEN, handlers=self.handlers)
        self.server = WireServer(
            address=Address.parse(address).unwrap(), token=TOKEN, handlers=self.handlers
        )
        self.times = NamingTimes(clock=asyncio.get_running_loop().time)
        self.confirmation = FakeConfirmation()
        shared = {"own_address": address, "replicas": lambda: [address]}
        self.registry = Registry(
            **shared,
            directory=ReplicaDirectory(clock=asyncio.get_running_loop().time),
            peers=self.peers,
            handlers=self.handlers,
            forget_after_s=60.0,
            heartbeat_s=1.2,
            naming_times=self.times,
            accepts_service=lambda name: name == "s",
        )
        self.uses = UseAggregator(**shared, peers=self.peers, handlers=self.handlers)
        self.feed = FeedServer(
            catalog=Catalog(),
            registry=self.registry,
            uses=self.uses,
            confirmation=self.confirmation,
            replicas=lambda: [address],
            handlers=self.handlers,
            naming_times=self.times,
            suspects=SuspectRelay(**shared, peers=self.peers, handlers=self.handlers),
            self_reports=SelfReportRelay(
                **shared, leaving_table=self.registry, peers=self.peers, handlers=self.handlers
            ),
            limits=LimitRelay(
                **shared,
                leadership=NonLeader(),
                find_server=self.registry.table.of_life,
                live_entries=self.registry.live_entries,
                peers=self.peers,
                handlers=self.handlers,
            ),
        )


class FakeSubscriber:
    """An entry or a stager that keeps its feed updates."""

    def __init__(self, role: str, address: str) -> None:
        self.role = role
        self.address = address
        self.peers = PeerPool(vm=role, failure_domain="d", token=TOKEN, handlers=HandlerTable())
        self.updates: list[FeedUpdate] = []

    async def follow(self) -> None:
        connection = (await self.peers.connection(self.address)).unwrap()
        stream = connection.stream(FeedWatch(self.role, self.role, "d", 0))
        while (received := await stream.next()).is_ok():
            update = received.unwrap()
            if update is None:
                return
            self.updates.append(update)

    def loads(self) -> list[LoadRecord]:
        return [load for update in self.updates for load in update.loads or ()]

    def naming_ages(self) -> list[VersionAge]:
        return [age for update in self.updates for age in update.named or ()]

    def instance_names(self) -> list[str]:
        return [found.instance for update in self.updates for found in update.instances or ()]

    def silent(self) -> list[str]:
        return [instance for update in self.updates for instance in update.silent or ()]

    async def report(self, **changes: object) -> None:
        values: dict[str, object] = {"address": ENGINE, "models": [ServedModel("m", 1, 0, 16)]}
        connection = (await self.peers.connection(self.address)).unwrap()
        connection.oneway(LoadReport([LoadRecord(**(values | changes))]))


def run_with_subscribers(
    work: Callable[[Replica, FakeSubscriber, FakeSubscriber], Awaitable[None]],
) -> None:
    async def run() -> None:
        replica = Replica(LoopbackAddresses()("one", Listener.WIRE))
        assert (await replica.server.start()).is_ok()
        subscribers = [FakeSubscriber(role, replica.address) for role in ("entry", "stager")]
        tasks = [asyncio.create_task(subscriber.follow()) for subscriber in subscribers]
        await eventually(
            lambda: all(subscriber.updates for subscriber in subscribers), "first updates"
        )
        try:
            await work(replica, *subscribers)
        finally:
            for task in tasks:
                task.cancel()
            for subscriber in subscribers:
                await subscriber.peers.stop()
            await replica.peers.stop()
            await replica.server.stop()

    asyncio.run(asyncio.wait_for(run(), 20))


class TestLoads:
    def test_stagers_get_reports_with_changed_weights_and_entries_get_all(self):
        async def work(replica: Replica, entry: FakeSubscriber, stager: FakeSubscriber) -> None:
            await stager.report(active=1)
            await eventually(lambda: stager.loads() and entry.loads(), "the first report")
            await stager.report(active=5)
            await eventually(lambda: entry.loads()[-1].active == 5, "the second report")
            await stager.report(active=6, switching=True)
            await eventually(lambda: stager.loads()[-1].switching, "the change")
            assert [load.active for load in stager.loads()] == [1, 6]

        run_with_subscribers(work)


class TestSilence:
    def test_silent_server_is_reported_once_to_all_subscribers(self):
        async def work(replica: Replica, entry: FakeSubscriber, stager: FakeSubscriber) -> None:
            now_s = asyncio.get_running_loop().time()
            replica.registry.announce(make_instance(heard_s=now_s))
            await eventually(lambda: entry.instance_names() and stager.instance_names(), "the news")
            replica.registry.table.forget_after_s = 0.0
            replica.registry._expire()
            await eventually(lambda: entry.silent() and stager.silent(), "the silence")
            await asyncio.sleep(QUIET_S)
            assert entry.silent() == stager.silent() == ["i-1"]

        run_with_subscribers(work)

    def test_silence_that_ends_before_the_update_is_not_reported(self):
        async def work(replica: Replica, entry: FakeSubscriber, stager: FakeSubscriber) -> None:
            instance = make_instance(heard_s=asyncio.get_running_loop().time())
            replica.feed._on_silence(["i-1"])
            replica.registry.announce(instance)
            await eventually(lambda: entry.instance_names() and stager.instance_names(), "the news")
            assert entry.silent() == stager.silent() == []

        run_with_subscribers(work)


class TestNamings:
    def test_naming_is_sent_once_and_again_when_an_older_time_is_learned(self):
        async def work(replica: Replica, entry: FakeSubscriber, stager: FakeSubscriber) -> None:
            replica.times.record("m", 2)
            await eventually(lambda: entry.naming_ages() and stager.naming_ages(), "the naming")
            await asyncio.sleep(QUIET_S)
            assert len(entry.naming_ages()) == 1
            replica.times.merge([VersionAge("m", 2, 5_000)])
            await eventually(lambda: len(entry.naming_ages()) == 2, "the longer age")
            assert entry.naming_ages()[-1].age_ms >= 5_000

        run_with_subscribers(work)


class TestConfirmation:
    def test_regained_quorum_wakes_all_subscribers(self):
        async def work(replica: Replica, entry: FakeSubscriber, stager: FakeSubscriber) -> None:
            for subscriber in replica.feed._subscribers:
                subscriber._wake.clear()
            for listener in replica.confirmation.listeners:
                listener()
            assert len(replica.feed._subscribers) == 2
            assert all(subscriber._wake.is_set() for subscriber in replica.feed._subscribers)

        run_with_subscribers(work)


class TestDecisions:
    def test_entries_get_decisions_of_others_and_stagers_do_not(self):
        async def work(replica: Replica, entry: FakeSubscriber, stager: FakeSubscriber) -> None:
            other = PeerPool(vm="other", failure_domain="d", token=TOKEN, handlers=HandlerTable())
            connection = (await other.connection(replica.address)).unwrap()
            connection.oneway(UseReport([], [], False, [ServiceDecisions("m", 20_000, 8_000)]))
            await eventually(lambda: received_decisions(entry), "the refusals of the other entry")
            assert received_decisions(entry)[0].name == "m"
            assert 0 < received_decisions(entry)[0].refused_milli <= 8_000
            assert not received_decisions(stager)
            await other.stop()

        run_with_subscribers(work)


def make_instance(
    instance: str = "i-1", *, heard_s: float, service: str = "s", sequence: int = 1
) -> Instance:
    return Instance(
        instance=instance,
        service=service,
        address=ENGINE,
        failure_domain="d",
        sequence=sequence,
        state=InstanceState.READY,
        slots=16,
        served=(),
        heard_s=heard_s,
    )


def received_decisions(subscriber: FakeSubscriber) -> list[ServiceDecisions]:
    return [found for update in subscriber.updates for found in update.decisions or ()]
