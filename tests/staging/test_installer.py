"""What a stager does with its engine once it holds a version: lay, check, order."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok

from leadhollow.decide.version_choice import SWITCH_LEAD_S
from leadhollow.membership.instances import ServedVersion
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.staging.engine_dialect import EngineReport, LoadOrder
from leadhollow.staging.installer import DRAIN_TIMEOUT_S, SWITCH_NOTICE_S, Installer
from leadhollow.staging.piece_window import PieceWindow
from leadhollow.staging.pieces import PieceStore, StagedVersion
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion, weights_key
from tests.staging.test_parts import PIECES, manifest
from tests.support import eventually

LAYERS = 4
BOUND_S = 60.0


class FakeEngine:
    """An engine with a stage; an order is in effect at once."""

    def __init__(self) -> None:
        self.stage: dict[int, bytes] = {}
        self.puts: list[int] = []
        self.orders: list[LoadOrder] = []
        self.served: tuple[ServedVersion, ...] = ()
        self.ordered_s = 0.0
        self.leaving = False
        self.busy_until_s = 0.0  # loop time until which requests are in progress
        self.spoilt: set[int] = set()  # pieces that turn bad once after they were laid

    def report_now(self) -> EngineReport:
        return EngineReport(
            served=self.served,
            busy=False,
            sequence=len(self.orders),
            active=int(asyncio.get_running_loop().time() < self.busy_until_s),
            queued=0,
            memory_used_tokens=0,
            memory_tokens=1,
            pace=1.0,
            leaving=self.leaving,
        )

    async def list_staged(self, model):
        return Ok(list(self.stage))

    async def get(self, model, index):
        return Ok(self.stage.get(index, b""))

    async def stage_piece(self, model, index, data):
        self.puts.append(index)
        self.stage[index] = b"bad" if index in self.spoilt else data
        self.spoilt.discard(index)
        return Ok(None)

    async def order(self, order):
        self.orders.append(order)
        self.ordered_s = asyncio.get_running_loop().time()
        self.served = (
            ServedVersion(
                model=order.model, version=order.version, first_layer=0, end_layer=LAYERS
            ),
        )
        return Ok(None)

    def close(self) -> None:
        """Nothing is open."""


class FakeWatch:
    """Reports of the fake engine, and what the others were told."""

    def __init__(self, engine: FakeEngine) -> None:
        self._engine = engine
        self.switching = False
        self.staged: Callable[[], tuple[int, int]] = lambda: (0, 0)
        self.told_switching_s: list[float] = []

    @property
    def report(self) -> EngineReport:
        return self._engine.report_now()

    async def refresh(self) -> EngineReport:
        return self.report

    async def publish(self) -> None:
        if self.switching:
            self.told_switching_s.append(asyncio.get_running_loop().time())


class FakeFetch:
    """Brings all pieces at once."""

    def __init__(self, version: StagedVersion) -> None:
        self.version = version

    async def run(self) -> None:
        for index, piece in enumerate(PIECES):
            self.version.add(index, piece)

    def blocked(self) -> bool:
        return False


class StalledFetch(FakeFetch):
    """Brings nothing: the origin is away."""

    async def run(self) -> None:
        await asyncio.Event().wait()

    def blocked(self) -> bool:
        return True


class FailingFetch(FakeFetch):
    """Ends with an error before anything has come."""

    async def run(self) -> None:
        raise OSError


class Bench:
    """An installer with its fakes."""

    def __init__(
        self,
        *,
        served: tuple[ServedVersion, ...] = (),
        staged: bool = False,
        version_s: float = BOUND_S,
        absent: tuple[int, ...] = (),
        failures: int = 0,
    ) -> None:
        self.failures = failures  # fetches that fail before one succeeds
        self.absent = absent  # versions that cannot be had
        self.engine = FakeEngine()
        self.engine.served = served
        if staged:
            self.engine.stage = dict(enumerate(PIECES))
        self.watch = FakeWatch(self.engine)
        self.catalog = Catalog()
        self.times = NamingTimes(clock=asyncio.get_running_loop().time)
        self.fetched: list[StagedVersion] = []
        self.installer = Installer(
            catalog=self.catalog,
            engine=self.engine,
            monitor=self.watch,
            store=PieceStore(),
            models=lambda: ["m"],
            start_fetch=self._start_fetch,
            first_start=False,
            naming_times=self.times,
            version_s=version_s,
            may_switch=lambda staged, announced, left_s: True,
            piece_s=lambda staged: 0.01,
            window=PieceWindow(link_share=lambda: 1.0),
        )

    def _start_fetch(self, version: StagedVersion) -> FakeFetch:
        self.fetched.append(version)
        if len(self.fetched) <= self.failures:
            return FailingFetch(version)
        return StalledFetch(version) if version.number in self.absent else FakeFetch(version)

    def name(self, number: int) -> None:
        version = NamedVersion(model="m", number=number, named=True, manifest=manifest())
        item = CatalogItem(key=weights_key("m", number), revision=number, value=version)
        self.catalog.apply([item], revision=number)

    async def until_ordered(self) -> float:
        """Give the time from now until the order."""
        began_s = asyncio.get_running_loop().time()
        await self.installer.start()
        await eventually(lambda: self.engine.orders, "an order")
        await self.installer.stop()
        return self.engine.ordered_s - began_s


def in_loop(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(work(), 10))


def holding(number: int) -> tuple[ServedVersion, ...]:
    return (ServedVersion(model="m", version=number, first_layer=0, end_layer=LAYERS),)


class TestRequestsInProgress:
    # Guards against: a change of weights breaks off the streams of an engine that are about to end.
    def test_end_before_the_engine_loads(self):
        async def work() -> None:
            bench = Bench(served=holding(1), staged=True)
            bench.engine.busy_until_s = asyncio.get_running_loop().time() + 2.0
            bench.name(2)
            await bench.until_ordered()
            assert bench.engine.ordered_s >= bench.engine.busy_until_s

        in_loop(work)

    def test_are_not_waited_for_for_ever(self):
        async def work() -> None:
            bench = Bench(served=holding(1), staged=True)
            bench.engine.busy_until_s = float("inf")
            bench.name(2)
            assert await bench.until_ordered() < SWITCH_NOTICE_S + DRAIN_TIMEOUT_S + 1.0

        in_loop(work)


class TestNotice:
    def test_an_engine_that_serves_nothing_is_ordered_without_one(self):
        async def work() -> None:
            bench = Bench(staged=True)
            bench.name(1)
            assert await bench.until_ordered() < SWITCH_NOTICE_S

        in_loop(work)

    def test_entries_hear_before_an_engine_that_serves_is_ordered(self):
        async def work() -> None:
            bench = Bench(served=holding(1))
            bench.name(2)
            await bench.until_ordered()
            assert bench.engine.ordered_s - bench.watch.told_switching_s[0] >= SWITCH_NOTICE_S

        in_loop(work)


class TestStage:
    def test_what_was_read_back_from_it_is_not_laid_again(self):
        async def work() -> None:
            bench = Bench(staged=True)
            bench.name(1)
            await bench.until_ordered()
            assert bench.fetched == []
            assert bench.engine.puts == []

        in_loop(work)

    def test_a_piece_that_turned_bad_is_laid_again(self):
        async def work() -> None:
            bench = Bench(served=holding(1))
            bench.name(2)
            bench.engine.spoilt = {5}
            await bench.until_ordered()
            assert bench.engine.stage[5] == PIECES[5]

        in_loop(work)


class TestFetch:
    def test_one_that_fails_is_begun_anew(self):
        async def work() -> None:
            bench = Bench(failures=2)
            bench.name(1)
            await bench.until_ordered()
            assert [order.version for order in bench.engine.orders] == [1]
            assert len(bench.fetched) == 3

        in_loop(work)


class TestTwoVersionsInARow:
    def test_the_one_before_is_installed_while_the_origin_of_the_newest_is_away(self):
        async def work() -> None:
            bench = Bench(served=holding(1), version_s=SWITCH_LEAD_S + 0.3, absent=(3,))
            for number in (2, 3):
                bench.times.record("m", number)
                bench.name(number)
            await bench.until_ordered()
            assert [order.version for order in bench.engine.orders] == [2]
            assert [found.number for found in bench.fetched] == [3, 2]

        in_loop(work)


class TestEngineThatLeaves:
    # Guards against: pieces and an order for an engine that is about to end.
    def test_gets_neither_pieces_nor_orders(self):
        async def work() -> None:
            bench = Bench()
            bench.engine.leaving = True
            bench.name(1)
            await bench.installer.start()
            await asyncio.sleep(0.5)
            assert (bench.engine.orders, bench.engine.puts, bench.fetched) == ([], [], [])
            bench.engine.leaving = False
            await eventually(lambda: bench.engine.orders, "an order")
            await bench.installer.stop()

        in_loop(work)
