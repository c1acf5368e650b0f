"""Brings the engine on this VM to the wanted version: fetch, stage, verify, order the load."""

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
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.engine_dialect import EngineReport
from leadhollow.staging.engine_monitor import EngineMonitor
from leadhollow.staging.engine_stage import EngineStage
from leadhollow.staging.fetch_manager import FetchManager
from leadhollow.staging.load_orders import LoadOrders
from leadhollow.staging.loaded_weights import holds_version
from leadhollow.staging.piece_fetch import PieceFetch
from leadhollow.staging.piece_window import PieceWindow
from leadhollow.staging.pieces import PieceStore, StagedVersion
from leadhollow.state.catalog import Catalog
from leadhollow.state.weights_versions import versions_of
from leadhollow.weights.named_versions import NamedVersion

STEP_INTERVAL_S = 0.05
IDLE_INTERVAL_S = 0.25
"""Step interval while the engine holds the wanted version and nothing is being fetched. A version
that is named or described starts a step at once; an empty engine after a restart is noticed within
this interval."""

SWITCH_NOTICE_S = 0.15  # entries learn of the switch before the order is sent
FIRST_START_WAIT_S = 4.0  # an engine needs a second or two to answer after its start
CONFIRMATION_WAIT_S = 2.0
"""A stager that starts waits this long for a view that a majority confirmed. A replica that has
just started may tell of an older version first, whose pieces differ from those in the stage."""

RESTART_WAIT_S = 0.25  # a running engine answers or refuses at once, if it can be reached
FORCED_SWITCH_S = 0.6  # so long before the deadline all engines switch, whatever the others do
DRAIN_TIMEOUT_S = 3.0
"""Longest time that requests in progress get to finish before an engine loads. Aborted requests
have to continue at another engine, which may switch too, and may have no attempt left."""


class Installer(TaskService):
    """The only component that sends load orders to the engine.

    Parameters
    ----------
    view_confirmed
        Returns whether a majority has confirmed what the catalog shows, at some time.
    models
        Returns the models that the engine may run.
    start_fetch
        Creates the fetch of a version.
    first_start
        Whether engine and process start together; the engine then holds the weights that it started
        with.
    naming_times
        When versions were named.
    version_s
        Time from the naming of a version until no request may begin on an older one.
    may_switch
        Returns whether it is the turn of this stager's engine to switch. Arguments: the version;
        whether the switch has been announced to the other stagers; the time left for all engines to
        switch.
    piece_s
        Returns the time in which this VM's link carries one piece of a version.
    window
        Its ``urgent`` is set if the version would come too late at the usual speed.
    """

    __slots__ = (
        "_catalog",
        "_engine",
        "_fetches",
        "_first_start",
        "_idle",
        "_may_switch",
        "_models",
        "_monitor",
        "_naming_times",
        "_orders",
        "_piece_s",
        "_stage",
        "_stage_recovered",
        "_stage_wait_s",
        "_started_s",
        "_store",
        "_version_s",
        "_view_confirmed",
        "_wake",
        "_window",
    )

    def __init__(
        self,
        *,
        catalog: Catalog,
        view_confirmed: Callable[[], bool],
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
        self._view_confirmed = view_confirmed
        self._engine = engine
        self._monitor = monitor
        self._store = store
        self._models = models
        self._fetches = FetchManager(start_fetch=start_fetch)
        self._stage = EngineStage(engine=engine, life=lambda: monitor.life_number)
        self._orders = LoadOrders(engine=engine, monitor=monitor, stage=self._stage)
        self._piece_s = piece_s
        self._window = window
        self._stage_recovered = False
        self._naming_times = naming_times
        self._version_s = version_s
        self._may_switch = may_switch
        self._started_s = active_s()
        self._first_start = first_start
        self._stage_wait_s = FIRST_START_WAIT_S if first_start else RESTART_WAIT_S
        self._wake = asyncio.Event()
        self._idle = False  # whether the last step found nothing to do
        monitor.staged_progress = self._staged_progress
        catalog.on_change(lambda _: self._wake.set())
        super().__init__()

    async def stop(self) -> None:
        """Stop fetching and close the connections to the engine."""
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
        """Wait until the next step is due or a version is named or described."""
        try:
            async with asyncio.timeout(IDLE_INTERVAL_S if self._idle else STEP_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def _advance(self, model: str) -> None:
        """Do the next step towards the wanted version of a model."""
        report = self._monitor.report
        if report is not None and report.leaving:
            return
        known = versions_of(self._catalog, model)
        self._idle = self._idle and bool(known) and report is not None
        if not known or (report is None and self._may_hold_stage()):
            return
        if self._may_be_outdated():
            self._idle = False
            return
        if report is not None and not self._stage_recovered:
            await self._recover_stage(known)
        progress = [self._progress_of(version) for version in known]
        held = self._held(report, known)
        now_s = asyncio.get_running_loop().time()
        plan = plan_versions(progress, held=held, version_s=self._version_s, now_s=now_s)
        if held == progress[0].number:
            # Not reset earlier: other stagers may still need pieces from this one.
            self._window.urgent = False
        elif is_urgent(progress, held=held, version_s=self._version_s, now_s=now_s):
            self._window.urgent = True
        wanted = (
            self._store.find_or_create(named) for named in known if named.number in plan.fetch
        )
        self._fetches.fetch_only([opened for opened in wanted if opened is not None])
        if report is not None:
            self._orders.note_report(report, known)
        if self._orders.uncertain:
            self._idle = False
            await self._settle_orders()
            return
        goal = plan.install if plan.install is not None else next(iter(plan.fetch), None)
        staged = next(
            (self._store.find_or_create(named) for named in known if named.number == goal), None
        )
        if staged is None:
            return
        self._idle = False
        deadline_s = self._usable_until_s(progress, report, known)
        if not staged.complete:
            if report is not None:
                await self._stage.stage_pieces(staged)
            if staged.complete:
                await self._monitor.publish()  # the switch order depends on who is complete
                if self._is_in_use(deadline_s, report):
                    await asyncio.sleep(SWITCH_NOTICE_S)
            return
        if report is None or plan.install is None:
            return
        if report.busy or not self._is_our_turn(staged, deadline_s, report, announced=False):
            return
        await self._install(staged, deadline_s)

    async def _recover_stage(self, known: list[NamedVersion]) -> None:
        """Read the pieces that were staged before this process started."""
        for version in known:
            staged = self._store.find_or_create(version)
            if staged is not None:
                self._stage_recovered = True
                await self._stage.recover(staged)

    def _usable_until_s(
        self,
        progress: list[VersionProgress],
        report: EngineReport | None,
        known: list[NamedVersion],
    ) -> float:
        """Return the loop time after which requests may not go to the engine with its weights.

        This is ``-inf`` if the engine holds no complete version: a few layers of a version that is
        no longer wanted serve nobody.
        """
        held = self._held(report, known)
        if held is None:
            return float("-inf")
        return staleness_deadline_s(progress, held, self._version_s)

    def _held(self, report: EngineReport | None, known: list[NamedVersion]) -> int | None:
        return None if report is None else _complete_version(report, known)

    def _progress_of(self, version: NamedVersion) -> VersionProgress:
        """Return how much of a version this VM has fetched."""
        named_s = self._naming_times.named_s(version.model, version.number)
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
        self, staged: StagedVersion, deadline_s: float, report: EngineReport, *, announced: bool
    ) -> bool:
        """Return whether the engine may switch now, which limits how many switch at once."""
        if not self._is_in_use(deadline_s, report):
            return True
        left_s = deadline_s - FORCED_SWITCH_S - asyncio.get_running_loop().time()
        return self._may_switch(staged, announced, left_s)

    def _is_in_use(self, deadline_s: float, report: EngineReport | None) -> bool:
        """Return whether requests may go to the engine with the weights that it holds.

        Parameters
        ----------
        deadline_s
            Loop time from which its weights are too old.
        """
        if report is None or not report.served:
            return False
        return asyncio.get_running_loop().time() < deadline_s - FORCED_SWITCH_S

    def _may_hold_stage(self) -> bool:
        """Return whether an engine that has not answered yet may already hold staged pieces."""
        if self._monitor.refused and not self._first_start:
            return False  # it is starting, so its stage is empty
        age_s = active_s() - self._started_s
        return not self._stage_recovered and age_s < self._stage_wait_s

    def _may_be_outdated(self) -> bool:
        """Return whether the known versions may be older than those before the start."""
        if self._stage_recovered or self._view_confirmed():
            return False
        return active_s() - self._started_s < CONFIRMATION_WAIT_S

    async def _install(self, staged: StagedVersion, deadline_s: float) -> None:
        await self._stage.stage_pieces(staged)
        if not await self._stage.verify(staged):
            return
        self._monitor.switching = True
        await self._monitor.publish()
        try:
            if self._is_in_use(deadline_s, self._monitor.report):
                await asyncio.sleep(SWITCH_NOTICE_S)
            report = await self._monitor.refresh()
            if report is None or not self._is_our_turn(staged, deadline_s, report, announced=True):
                return  # another engine with an earlier place announced its switch at the same time
            report = await self._drain()
            if report is None or report.busy or holds_version(report, staged):
                return
            await self._orders.load(staged)
        finally:
            await self._end_switch()

    async def _settle_orders(self) -> None:
        if not self._monitor.switching:
            self._monitor.switching = True
            await self._monitor.publish()
        await self._orders.settle()
        if not self._orders.uncertain:
            await self._end_switch()

    async def _end_switch(self) -> None:
        """Let requests go to the engine again, unless its weights are or may become uncertain."""
        self._monitor.switching = self._orders.uncertain
        await self._monitor.publish()

    async def _drain(self) -> EngineReport | None:
        """Wait for requests in progress to finish; the load order aborts those still running."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + DRAIN_TIMEOUT_S
        while loop.time() < until_s:
            report = await self._monitor.refresh()
            if report is None or report.active + report.queued == 0:
                return report
            await asyncio.sleep(STEP_INTERVAL_S)
        return self._monitor.report

    def _staged_progress(self) -> tuple[int, int]:
        """Return the newest complete version and its number of pieces; zeros if there is none."""
        for model in self._models():
            for version in self._store.versions(model):
                if version.complete:
                    return version.number, version.held.held_count
        return 0, 0


def _complete_version(report: EngineReport, known: list[NamedVersion]) -> int | None:
    """Return the newest version of a model of which the engine holds all layers.

    The number of layers comes from the known manifests; all versions of a model have the same
    number.
    """
    layers = max((version.manifest.layers for version in known if version.manifest), default=0)
    complete = [
        served.version
        for served in report.served
        if served.model == known[0].model and served.first_layer == 0 and served.end_layer >= layers
    ]
    return max(complete, default=None)


__all__ = ["Installer"]
