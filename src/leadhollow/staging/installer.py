"""Brings the engine on this VM to the version that is wanted: fetch, stage, check, order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.engine_dialect import EngineReport, LoadOrder
from leadhollow.staging.load_reports import EngineWatch
from leadhollow.staging.piece_fetch import PieceFetch
from leadhollow.staging.pieces import PieceStore, StagedVersion
from leadhollow.state.catalog import Catalog
from leadhollow.state.weights_versions import versions_of
from leadhollow.weights.named import NamedVersion

STEP_S = 0.05
NOTICE_S = 0.15  # entries hear of the switch before the order is given
ORDER_AGAIN_S = 0.5
FIRST_PATIENCE_S = 4.0  # an engine takes a second or two to answer after its start
LATER_PATIENCE_S = 0.25  # one that runs answers at once, one that starts has an empty stage
LAST_CALL_S = 0.6  # before the bound everybody changes, whatever the others do
FINISH_S = 0.6
"""Time that requests in progress get before an engine loads: most end in it, the few long ones are
taken over by other engines; waiting for the longest would keep the engine idle for two seconds."""

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
        have been told that it changes.
    first_start
        Whether engine and process start together, so that the engine holds weights it came with.
    """

    __slots__ = (
        "_began_s",
        "_catalog",
        "_engine",
        "_fetch",
        "_fetch_task",
        "_models",
        "_read_back",
        "_stage_patience_s",
        "_staged",
        "_staged_of",
        "_start_fetch",
        "_store",
        "_times",
        "_turn",
        "_version_s",
        "_wake",
        "_watch",
    )

    def __init__(
        self,
        *,
        catalog: Catalog,
        engine: LocalEngine,
        watch: EngineWatch,
        store: PieceStore,
        models: Callable[[], list[str]],
        start_fetch: Callable[[StagedVersion], PieceFetch],
        first_start: bool,
        times: NamingTimes,
        version_s: float,
        turn: Callable[[StagedVersion, bool], bool],
    ) -> None:
        self._catalog = catalog
        self._engine = engine
        self._watch = watch
        self._store = store
        self._models = models
        self._start_fetch = start_fetch
        self._fetch: PieceFetch | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._read_back = False
        self._times = times
        self._version_s = version_s
        self._turn = turn
        self._began_s = asyncio.get_running_loop().time()
        self._stage_patience_s = FIRST_PATIENCE_S if first_start else LATER_PATIENCE_S
        self._staged: set[int] = set()
        self._staged_of: StagedVersion | None = None
        self._wake = asyncio.Event()
        watch.staged = self._progress
        catalog.on_change(lambda _: self._wake.set())
        super().__init__()

    async def stop(self) -> None:
        """Stop fetching."""
        await super().stop()
        if self._fetch_task is not None:
            self._fetch_task.cancel()
        self._engine.close()

    async def _work(self) -> None:
        while True:
            await self._pause()
            for model in self._models():
                await self._advance(model)

    async def _pause(self) -> None:
        """Wait for the next step, which comes at once where a version was named or described."""
        try:
            async with asyncio.timeout(STEP_S):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def _advance(self, model: str) -> None:
        """Do the next step towards the wanted version of a model."""
        report = self._watch.report
        known = versions_of(self._catalog, model)
        if not known or (report is None and self._may_hold_stage()):
            return
        if report is not None and not self._read_back:
            for version in known:
                await self._read_stage(version)
        staged = self._store.open(known[0])
        if staged is None:
            return
        if not staged.complete:
            self._ensure_fetch(staged)
            if report is not None:
                await self._stage_new(staged)
            if staged.complete:
                await self._watch.tell()  # whose turn it is depends on who is complete
                if self._is_in_use(staged, report):
                    await asyncio.sleep(NOTICE_S)
            return
        if report is None:
            return
        if _holds(report, staged):
            return
        if report.busy or not self._is_our_turn(staged, report, announced=False):
            return
        await self._install(staged)

    def _is_our_turn(self, staged: StagedVersion, report: EngineReport, *, announced: bool) -> bool:
        """Tell whether the engine may change now, without taking too many away at once."""
        return not self._is_in_use(staged, report) or self._turn(staged, announced)

    def _is_in_use(self, staged: StagedVersion, report: EngineReport | None) -> bool:
        """Tell whether requests may go to the engine with the weights that it holds."""
        if report is None or not report.served:
            return False
        named_s = self._times.named_s(staged.model, staged.number)
        if named_s is None:
            return True  # engines brought it with them, so nobody is behind
        bound_s = named_s + self._version_s
        return asyncio.get_running_loop().time() < bound_s - LAST_CALL_S

    def _may_hold_stage(self) -> bool:
        """Tell whether the engine, once it answers, may turn out to hold pieces already."""
        age_s = asyncio.get_running_loop().time() - self._began_s
        return not self._read_back and age_s < self._stage_patience_s

    async def _read_stage(self, version: NamedVersion) -> None:
        """Take over what the engine's stage held when this process began."""
        staged = self._store.open(version)
        if staged is None:
            return
        self._read_back = True
        listed = await self._engine.held(version.model)
        if listed.is_err():
            return
        for index in listed.unwrap():
            if index in staged.held or not 0 <= index < staged.held.count:
                continue
            read = await self._engine.get(version.model, index)
            if read.is_ok() and staged.take(index, read.unwrap()):
                self._note_staged(staged, index)
        log.info(
            "stage read",
            model=version.model,
            number=version.number,
            listed=len(listed.unwrap()),
            held=staged.held.held,
        )

    def _ensure_fetch(self, staged: StagedVersion) -> None:
        running = self._fetch_task is not None and not self._fetch_task.done()
        if running and self._fetch is not None and self._fetch.version is staged:
            return
        if running and self._fetch_task is not None:
            self._fetch_task.cancel()
        log.info("fetch begins", model=staged.model, number=staged.number)
        self._fetch = self._start_fetch(staged)
        self._fetch_task = asyncio.get_running_loop().create_task(self._fetch.run())

    async def _stage_new(self, staged: StagedVersion) -> None:
        """Lay pieces into the stage as they come."""
        for index in list(staged.held.indexes()):
            piece = staged.piece(index)
            if self._lies_staged(staged, index) or piece is None:
                continue
            put = await self._engine.put(staged.model, index, piece)
            if put.is_err():
                log.warning("piece not staged", index=index, failure=str(put.unwrap_err()))
                return
            self._note_staged(staged, index)

    def _note_staged(self, staged: StagedVersion, index: int) -> None:
        """Remember that a piece lies in the stage, which holds one version of a model."""
        if self._staged_of is not staged:
            self._staged_of = staged
            self._staged = set()
        self._staged.add(index)

    def _lies_staged(self, staged: StagedVersion, index: int) -> bool:
        return self._staged_of is staged and index in self._staged

    async def _install(self, staged: StagedVersion) -> None:
        await self._stage_new(staged)
        if not await self._verify_stage(staged):
            return
        self._watch.switching = True
        await self._watch.tell()
        try:
            if self._is_in_use(staged, self._watch.report):
                await asyncio.sleep(NOTICE_S)
            report = await self._watch.refresh()
            if report is None or not self._is_our_turn(staged, report, announced=True):
                return  # another one announced at the same time, and comes first
            report = await self._let_finish()
            if report is None or report.busy or _holds(report, staged):
                return
            await self._order(staged, report)
        finally:
            self._watch.switching = False
            await self._watch.tell()

    async def _let_finish(self) -> EngineReport | None:
        """Give requests in progress a little time; what still runs then goes on elsewhere."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + FINISH_S
        while loop.time() < until_s:
            report = await self._watch.refresh()
            if report is None or report.active + report.queued == 0:
                return report
            await asyncio.sleep(STEP_S)
        return self._watch.report

    async def _verify_stage(self, staged: StagedVersion) -> bool:
        """Read every staged piece back, and lay those again that turned bad.

        Returns
        -------
        bool
            Whether all were as they should be.
        """
        good = True
        for index in range(staged.held.count):
            piece = staged.piece(index)
            read = await self._engine.get(staged.model, index)
            if piece is None or (read.is_ok() and read.unwrap() == piece):
                continue
            good = False
            log.warning("staged piece is bad", index=index, absent=read.is_err())
            put = await self._engine.put(staged.model, index, piece)
            if put.is_err():
                return False
        return good

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
        ordered = await self._engine.order(order)
        if ordered.is_err():
            log.warning("order not acknowledged", failure=str(ordered.unwrap_err()))
            await asyncio.sleep(ORDER_AGAIN_S)
        await self._wait_loaded(staged, report.sequence)

    async def _wait_loaded(self, staged: StagedVersion, sequence: int) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while loop.time() - began_s < LOAD_PATIENCE_S:
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
        """Give the version that lies complete beside the engine, and its number of pieces."""
        if self._fetch is None or not self._fetch.version.complete:
            return 0, 0
        version = self._fetch.version
        return version.number, version.held.held


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
