"""Brings the engine on this VM to the version that is wanted: fetch, stage, check, order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.decide.version_choice import (
    VersionProgress,
    is_urgent,
    plan_versions,
    staleness_deadline_s,
)
from leadhollow.kernel.active_time import active_s
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.engine_dialect import EngineReport, LoadOrder
from leadhollow.staging.engine_monitor import EngineMonitor
from leadhollow.staging.engine_stage import EngineStage
from leadhollow.staging.fetch_manager import FetchManager
from leadhollow.staging.piece_fetch import PieceFetch
from leadhollow.staging.piece_window import PieceWindow
from leadhollow.staging.pieces import PieceStore, StagedVersion
from leadhollow.state.catalog import Catalog
from leadhollow.state.weights_versions import versions_of
from leadhollow.weights.named_versions import NamedVersion

STEP_S = 0.05
IDLE_STEP_S = 0.25
"""Between two looks while the engine holds what is wanted and nothing is on its way; what is named
or described is seen at once, an engine that starts again with nothing after as long."""

SWITCH_NOTICE_S = 0.15  # entries hear of the switch before the order is given
ORDER_AGAIN_S = 0.5
FIRST_PATIENCE_S = 4.0  # an engine takes a second or two to answer after its start
LATER_PATIENCE_S = 0.25  # one that runs answers at once, one that starts has an empty stage
LAST_CALL_S = 0.6  # before the bound everybody changes, whatever the others do
DRAIN_TIMEOUT_S = 3.0
"""Longest time that requests in progress get before an engine loads: what is broken off then has to
go on at another engine, which may change too, and may have no attempt left."""

LOAD_PATIENCE_S = 10.0  # requests in progress end first, then the weights load

log = get_logger("installer")


class Installer(TaskService):
    """The one giver of orders to the engine.

    Parameters
    ----------
    models
        Gives the models that the engine may run.
    start_fetch
        Makes the fetch of a version.
    times
        When versions were named.
    version_s
        Time from the naming of a version until no request may begin on an older one.
    turn
        Tells whether it is our engine's turn to change, and whether it still is once the others
        have been told that it changes, by the time that is left for all of them.
    piece_s
        Gives the time in which this VM's link carries one piece of a version.
    window
        Is told whether the version would come too late at the usual pace.
    first_start
        Whether engine and process start together, so that the engine holds weights it came with.
    """

    __slots__ = (
        "_began_s",
        "_catalog",
        "_engine",
        "_fetches",
        "_idle",
        "_models",
        "_piece_s",
        "_read_back",
        "_stage",
        "_stage_patience_s",
        "_store",
        "_times",
        "_turn",
        "_version_s",
        "_wake",
        "_watch",
        "_window",
    )

    def __init__(
        self,
        *,
        catalog: Catalog,
        engine: LocalEngine,
        monitor: EngineMonitor,
        store: PieceStore,
        models: Callable[[], list[str]],
        start_fetch: Callable[[StagedVersion], PieceFetch],
        first_start: bool,
        naming_times: NamingTimes,
        version_s: float,
        may_switch: Callable[[StagedVersion, bool, float], bool],
        piece_s: Callable[[StagedVersion], float],
        window: PieceWindow,
    ) -> None:
        self._catalog = catalog
        self._engine = engine
        self._watch = monitor
        self._store = store
        self._models = models
        self._fetches = FetchManager(start_fetch=start_fetch)
        self._stage = EngineStage(engine=engine)
        self._piece_s = piece_s
        self._window = window
        self._read_back = False
        self._times = naming_times
        self._version_s = version_s
        self._turn = may_switch
        self._began_s = active_s()
        self._stage_patience_s = FIRST_PATIENCE_S if first_start else LATER_PATIENCE_S
        self._wake = asyncio.Event()
        self._idle = False  # whether nothing was left to do at the last look
        monitor.staged_progress = self._progress
        catalog.on_change(lambda _: self._wake.set())
        super().__init__()

    async def stop(self) -> None:
        """Stop fetching."""
        await super().stop()
        self._fetches.stop()
        self._engine.close()

    async def _work(self) -> None:
        while True:
            await self._pause()
            models = self._models()
            self._idle = bool(models)
            for model in models:
                await self._advance(model)

    async def _pause(self) -> None:
        """Wait for the next step, which comes at once where a version was named or described."""
        try:
            async with asyncio.timeout(IDLE_STEP_S if self._idle else STEP_S):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def _advance(self, model: str) -> None:
        """Do the next step towards the wanted version of a model."""
        report = self._watch.report
        if report is not None and report.leaving:
            return
        known = versions_of(self._catalog, model)
        self._idle = self._idle and bool(known) and report is not None
        if not known or (report is None and self._may_hold_stage()):
            return
        if report is not None and not self._read_back:
            await self._read_stages(known)
        progress = [self._progress_of(version) for version in known]
        held = self._held(report, known)
        now_s = asyncio.get_running_loop().time()
        plan = plan_versions(progress, held=held, version_s=self._version_s, now_s=now_s)
        if held == progress[0].number:
            self._window.urgent = False  # until then others may still need what is here
        elif is_urgent(progress, held=held, version_s=self._version_s, now_s=now_s):
            self._window.urgent = True
        wanted = (
            self._store.find_or_create(found) for found in known if found.number in plan.fetch
        )
        self._fetches.fetch_only([found for found in wanted if found is not None])
        goal = plan.install if plan.install is not None else next(iter(plan.fetch), None)
        staged = next(
            (self._store.find_or_create(found) for found in known if found.number == goal), None
        )
        if staged is None:
            return
        self._idle = False
        bound = self._usable_until_s(progress, report, known)
        if not staged.complete:
            if report is not None:
                await self._stage.stage_pieces(staged)
            if staged.complete:
                await self._watch.tell()  # whose turn it is depends on who is complete
                if self._is_in_use(bound, report):
                    await asyncio.sleep(SWITCH_NOTICE_S)
            return
        if report is None or plan.install is None:
            return
        if report.busy or not self._is_our_turn(staged, bound, report, announced=False):
            return
        await self._install(staged, bound)

    async def _read_stages(self, known: list[NamedVersion]) -> None:
        """Take over what lay beside the engine when this process began."""
        for version in known:
            staged = self._store.find_or_create(version)
            if staged is not None:
                self._read_back = True
                await self._stage.recover(staged)

    def _usable_until_s(
        self,
        progress: list[VersionProgress],
        report: EngineReport | None,
        known: list[NamedVersion],
    ) -> float:
        """Give the loop time from which requests may not go to the engine as it is.

        That is past where it holds no whole version: a few layers of one that is not wanted any
        more serve nobody.
        """
        held = self._held(report, known)
        if held is None:
            return float("-inf")
        return staleness_deadline_s(progress, held, self._version_s)

    def _held(self, report: EngineReport | None, known: list[NamedVersion]) -> int | None:
        return None if report is None else _whole_version(report, known)

    def _progress_of(self, version: NamedVersion) -> VersionProgress:
        """Tell how far this VM is with a version."""
        named_s = self._times.named_s(version.model, version.number)
        staged = self._store.find_or_create(version)
        if staged is None:
            return VersionProgress(
                number=version.number, named_s=named_s, described=False, missing=0
            )
        return VersionProgress(
            number=version.number,
            named_s=named_s,
            described=True,
            missing=staged.held.count - staged.held.held_count,
            piece_s=self._piece_s(staged),
            blocked=self._fetches.blocked(staged),
        )

    def _is_our_turn(
        self, staged: StagedVersion, bound: float, report: EngineReport, *, announced: bool
    ) -> bool:
        """Tell whether the engine may change now, without taking too many away at once."""
        if not self._is_in_use(bound, report):
            return True
        left_s = bound - LAST_CALL_S - asyncio.get_running_loop().time()
        return self._turn(staged, announced, left_s)

    def _is_in_use(self, bound: float, report: EngineReport | None) -> bool:
        """Tell whether requests may go to the engine with the weights that it holds.

        Parameters
        ----------
        bound
            Loop time from which its weights are too old.
        """
        if report is None or not report.served:
            return False
        return asyncio.get_running_loop().time() < bound - LAST_CALL_S

    def _may_hold_stage(self) -> bool:
        """Tell whether the engine, once it answers, may turn out to hold pieces already."""
        age_s = active_s() - self._began_s
        return not self._read_back and age_s < self._stage_patience_s

    async def _install(self, staged: StagedVersion, bound: float) -> None:
        await self._stage.stage_pieces(staged)
        if not await self._stage.verify(staged):
            return
        self._watch.switching = True
        await self._watch.publish()
        try:
            if self._is_in_use(bound, self._watch.report):
                await asyncio.sleep(SWITCH_NOTICE_S)
            report = await self._watch.refresh()
            if report is None or not self._is_our_turn(staged, bound, report, announced=True):
                return  # another one announced at the same time, and comes first
            report = await self._let_finish()
            if report is None or report.busy or _holds(report, staged):
                return
            await self._order(staged, report)
        finally:
            self._watch.switching = False
            await self._watch.publish()

    async def _let_finish(self) -> EngineReport | None:
        """Let requests in progress end; the order breaks off what still runs after that time."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + DRAIN_TIMEOUT_S
        while loop.time() < until_s:
            report = await self._watch.refresh()
            if report is None or report.active + report.queued == 0:
                return report
            await asyncio.sleep(STEP_S)
        return self._watch.report

    async def _order(self, staged: StagedVersion, report: EngineReport) -> None:
        order = LoadOrder(
            model=staged.model,
            version=staged.number,
            preempt=True,
            expected_sequence=report.sequence,
        )
        log_decision(
            "load order",
            model=staged.model,
            version=staged.number,
            sequence=report.sequence,
            active=report.active,
            queued=report.queued,
        )
        ordered = await self._engine.order_load(order)
        if ordered.is_err():
            log.warning("order not acknowledged", failure=str(ordered.unwrap_err()))
            await asyncio.sleep(ORDER_AGAIN_S)
        await self._wait_loaded(staged, report.sequence)

    async def _wait_loaded(self, staged: StagedVersion, sequence: int) -> None:
        loop = asyncio.get_running_loop()
        began_s, asked_s = loop.time(), active_s()
        while active_s() - asked_s < LOAD_PATIENCE_S:
            await asyncio.sleep(STEP_S)
            report = await self._watch.refresh()
            if report is None:
                return
            if _holds(report, staged):
                log.info(
                    "version installed",
                    model=staged.model,
                    number=staged.number,
                    seconds=round(loop.time() - began_s, 2),
                )
                return
            if not report.busy and report.sequence == sequence:
                return  # the order was not taken
            if not report.busy:
                log.warning("load ended without the version", number=staged.number)
                return

    def _progress(self) -> tuple[int, int]:
        """Give the newest version that lies complete beside the engine, and its pieces."""
        for model in self._models():
            for version in self._store.versions(model):
                if version.complete:
                    return version.number, version.held.held_count
        return 0, 0


def _whole_version(report: EngineReport, known: list[NamedVersion]) -> int | None:
    """Give the newest version of a model of which the engine holds all layers.

    Layers are counted by the manifests that are known; all versions of a model have as many.
    """
    layers = max((found.manifest.layers for found in known if found.manifest), default=0)
    whole = [
        served.version
        for served in report.served
        if served.model == known[0].model and served.first_layer == 0 and served.end_layer >= layers
    ]
    return max(whole, default=None)


def _holds(report: EngineReport, staged: StagedVersion) -> bool:
    """Tell whether the engine holds all layers of a version."""
    return any(
        served.model == staged.model
        and served.version == staged.number
        and served.first_layer == 0
        and served.end_layer >= staged.manifest.layers
        for served in report.served
    )


__all__ = ["Installer"]
