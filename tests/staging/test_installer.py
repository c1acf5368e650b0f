"""Tests of how a stager brings a version to its engine: stage, verify, order the load."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok

from leadhollow.decide.version_choice import SWITCH_LEAD_S
from leadhollow.membership.instances import ServedVersion
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.staging.engine_dialect import EngineReport, LoadOrder
from leadhollow.staging.installer import (
    CONFIRMATION_WAIT_S,
    DRAIN_TIMEOUT_S,
    RESTART_WAIT_S,
    SWITCH_NOTICE_S,
    Installer,
)
from leadhollow.staging.piece_window import PieceWindow
from leadhollow.staging.pieces import PieceStore, StagedVersion
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion, weights_key
from tests.staging.engine_model import InstallerSite, pieces_of, play
from tests.staging.test_staging_units import PIECES, manifest
from tests.support import eventually

LAYERS = 4
BOUND_S = 60.0


class FakeEngine:
    """An engine with a stage; an order takes effect at once."""

    def __init__(self) -> None:
        self.stage: dict[int, bytes] = {}
        self.puts: list[int] = []
        self.orders: list[LoadOrder] = []
        self.served: tuple[ServedVersion, ...] = ()
        self.ordered_s = 0.0
        self.leaving = False
        self.busy_until_s = 0.0  # loop time until which requests are in progress
        self.damaged_once: set[int] = set()  # pieces whose first staging damages them

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

    async def read_staged_piece(self, model, index):
        return Ok(self.stage.get(index, b""))

    async def stage_piece(self, model, index, data):
        self.puts.append(index)
        self.stage[index] = b"bad" if index in self.damaged_once else data
        self.damaged_once.discard(index)
        return Ok(None)

    async def order_load(self, order, may_send):
        assert may_send()
        self.orders.append(order)
        self.ordered_s = asyncio.get_running_loop().time()
        self.served = (
            ServedVersion(
                model=order.model, version=order.version, first_layer=0, end_layer=LAYERS
            ),
        )
        return Ok(None)

    def close(self) -> None:
        """Do nothing; there are no connections."""


class FakeMonitor:
    """Reports the state of the fake engine and records what is published."""

    def __init__(self, engine: FakeEngine) -> None:
        self._engine = engine
        self.life_number = 1
        self.refused = False
        self.switching = False
        self.staged_progress: Callable[[], tuple[int, int]] = lambda: (0, 0)
        self.switch_published_s: list[float] = []

    @property
    def report(self) -> EngineReport:
        return self._engine.report_now()

    async def refresh(self) -> EngineReport:
        return self.report

    async def publish(self) -> None:
        if self.switching:
            self.switch_published_s.append(asyncio.get_running_loop().time())


class FakeFetch:
    """Adds all pieces at once."""

    def __init__(self, version: StagedVersion) -> None:
        self.version = version

    async def run(self) -> None:
        for index, piece in enumerate(PIECES):
            self.version.add(index, piece)

    def blocked(self) -> bool:
        return False


class StalledFetch(FakeFetch):
    """Adds no piece, as if the origin were unavailable."""

    async def run(self) -> None:
        await asyncio.Event().wait()

    def blocked(self) -> bool:
        return True


class FailingFetch(FakeFetch):
    """Fails before any piece has arrived."""

    async def run(self) -> None:
        raise OSError


class InstallerBench:
    """An installer with its fakes."""

    def __init__(
        self,
        *,
        served: tuple[ServedVersion, ...] = (),
        staged: bool = False,
        version_s: float = BOUND_S,
        unavailable: tuple[int, ...] = (),
        failures: int = 0,
    ) -> None:
        self.failures = failures  # fetches that fail before one succeeds
        self.unavailable = unavailable  # versions that cannot be fetched
        self.engine = FakeEngine()
        self.engine.served = served
        if staged:
            self.engine.stage = dict(enumerate(PIECES))
        self.monitor = FakeMonitor(self.engine)
        self.catalog = Catalog()
        self.naming_times = NamingTimes(clock=asyncio.get_running_loop().time)
        self.fetched: list[StagedVersion] = []
        self.installer = Installer(
            catalog=self.catalog,
            view_confirmed=lambda: True,
            engine=self.engine,
            monitor=self.monitor,
            store=PieceStore(),
            models=lambda: ["m"],
            start_fetch=self._start_fetch,
            first_start=False,
            naming_times=self.naming_times,
            version_s=version_s,
            may_switch=lambda staged, announced, left_s: True,
            piece_s=lambda staged: 0.01,
            window=PieceWindow(link_share=lambda: 1.0),
        )

    def _start_fetch(self, version: StagedVersion) -> FakeFetch:
        self.fetched.append(version)
        if len(self.fetched) <= self.failures:
            return FailingFetch(version)
        return StalledFetch(version) if version.number in self.unavailable else FakeFetch(version)

    def name(self, number: int) -> None:
        version = NamedVersion(model="m", number=number, named=True, manifest=manifest())
        item = CatalogItem(key=weights_key("m", number), revision=number, value=version)
        self.catalog.apply([item], revision=number)

    async def run_until_ordered(self) -> float:
        """Run the installer until its order and return the time that it took."""
        began_s = asyncio.get_running_loop().time()
        await self.installer.start()
        await eventually(lambda: self.engine.orders, "an order")
        await self.installer.stop()
        return self.engine.ordered_s - began_s


def run_with_timeout(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(work(), 10))


def serving(number: int) -> tuple[ServedVersion, ...]:
    return (ServedVersion(model="m", version=number, first_layer=0, end_layer=LAYERS),)


class TestRequestsInProgress:
    # Guards against: a switch aborts streams of the engine that are about to finish.
    def test_finish_before_the_engine_loads(self):
        async def work() -> None:
            bench = InstallerBench(served=serving(1), staged=True)
            bench.engine.busy_until_s = asyncio.get_running_loop().time() + 2.0
            bench.name(2)
            await bench.run_until_ordered()
            assert bench.engine.ordered_s >= bench.engine.busy_until_s

        run_with_timeout(work)

    def test_delay_the_order_by_the_drain_timeout_at_most(self):
        async def work() -> None:
            bench = InstallerBench(served=serving(1), staged=True)
            bench.engine.busy_until_s = float("inf")
            bench.name(2)
            assert await bench.run_until_ordered() < SWITCH_NOTICE_S + DRAIN_TIMEOUT_S + 1.0

        run_with_timeout(work)


class TestEngineThatStarts:
    # Guards against: an engine is added and its link idles until it is known to hold no pieces.
    def test_pieces_are_fetched_at_once_if_nothing_listens_beside_an_added_process(self):
        async def work() -> None:
            site = InstallerSite(fetch_s=0.2)
            site.engine.answering = False
            await site.monitor.refresh()
            site.name(2)
            running = asyncio.create_task(site.run(1.0))
            await asyncio.sleep(RESTART_WAIT_S - 0.1)
            assert site.fetches_started == 1
            await running

        play(work)

    # Guards against: the stage of an engine that answers late is fetched again over the link.
    def test_pieces_are_awaited_while_an_engine_that_listens_does_not_answer(self):
        async def work() -> None:
            site = InstallerSite(fetch_s=0.2)
            site.engine.answering = False
            site.monitor.refuses = False
            site.name(2)
            running = asyncio.create_task(site.run(1.0))
            await asyncio.sleep(RESTART_WAIT_S - 0.05)
            assert site.fetches_started == 0
            await running
            assert site.fetches_started == 1

        play(work)

    # Guards against: a replica that has just started tells of an older version first, so that the
    # staged pieces of the newest one are fetched again over the link.
    def test_pieces_are_kept_if_an_older_version_is_told_first(self):
        async def work() -> None:
            site = InstallerSite(fetch_s=0.2)
            site.view_confirmed = False
            site.engine.stage = dict(enumerate(pieces_of(2)))
            site.name(1)
            running = asyncio.create_task(site.run(1.0))
            await asyncio.sleep(0.5)
            site.name(2)
            site.view_confirmed = True
            await running
            assert site.fetches_started == 0

        play(work)

    # Guards against: an engine gets no weights where no majority can confirm anything.
    def test_pieces_are_fetched_after_a_wait_if_nobody_confirms_the_version(self):
        async def work() -> None:
            site = InstallerSite(fetch_s=0.2)
            site.view_confirmed = False
            site.name(1)
            running = asyncio.create_task(site.run(CONFIRMATION_WAIT_S + 0.5))
            await asyncio.sleep(CONFIRMATION_WAIT_S - 0.5)
            assert site.fetches_started == 0
            await running
            assert site.fetches_started == 1

        play(work)


class TestSwitchNotice:
    def test_is_skipped_for_an_engine_that_serves_nothing(self):
        async def work() -> None:
            bench = InstallerBench(staged=True)
            bench.name(1)
            assert await bench.run_until_ordered() < SWITCH_NOTICE_S

        run_with_timeout(work)

    def test_precedes_the_order_to_an_engine_that_serves(self):
        async def work() -> None:
            bench = InstallerBench(served=serving(1))
            bench.name(2)
            await bench.run_until_ordered()
            assert bench.engine.ordered_s - bench.monitor.switch_published_s[0] >= SWITCH_NOTICE_S

        run_with_timeout(work)


class TestStage:
    def test_recovered_pieces_are_not_staged_again(self):
        async def work() -> None:
            bench = InstallerBench(staged=True)
            bench.name(1)
            await bench.run_until_ordered()
            assert bench.fetched == []
            assert bench.engine.puts == []

        run_with_timeout(work)

    def test_a_damaged_piece_is_staged_again(self):
        async def work() -> None:
            bench = InstallerBench(served=serving(1))
            bench.name(2)
            bench.engine.damaged_once = {5}
            await bench.run_until_ordered()
            assert bench.engine.stage[5] == PIECES[5]

        run_with_timeout(work)


class TestFetch:
    def test_is_restarted_after_a_failure(self):
        async def work() -> None:
            bench = InstallerBench(failures=2)
            bench.name(1)
            await bench.run_until_ordered()
            assert [order.version for order in bench.engine.orders] == [1]
            assert len(bench.fetched) == 3

        run_with_timeout(work)


class TestConsecutiveVersions:
    def test_the_previous_one_is_installed_while_the_newest_is_unavailable(self):
        async def work() -> None:
            bench = InstallerBench(
                served=serving(1), version_s=SWITCH_LEAD_S + 0.3, unavailable=(3,)
            )
            for number in (2, 3):
                bench.naming_times.record("m", number)
                bench.name(number)
            await bench.run_until_ordered()
            assert [order.version for order in bench.engine.orders] == [2]
            assert [version.number for version in bench.fetched] == [3, 2]

        run_with_timeout(work)


class TestLeavingEngine:
    # Guards against: an engine that is about to end gets pieces and an order.
    def test_gets_neither_pieces_nor_orders(self):
        async def work() -> None:
            bench = InstallerBench()
            bench.engine.leaving = True
            bench.name(1)
            await bench.installer.start()
            await asyncio.sleep(0.5)
            assert (bench.engine.orders, bench.engine.puts, bench.fetched) == ([], [], [])
            bench.engine.leaving = False
            await eventually(lambda: bench.engine.orders, "an order")
            await bench.installer.stop()

        run_with_timeout(work)
