"""Checks weights that the engine loaded from a stage whose content at that moment is uncertain."""

from __future__ import annotations

import asyncio

from leadhollow.observe.logs import get_logger
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.engine_dialect import EngineReport, LoadOrder
from leadhollow.staging.engine_monitor import EngineMonitor
from leadhollow.staging.engine_stage import EngineStage
from leadhollow.staging.pieces import StagedVersion

DROP_RETRY_S = 0.5

log = get_logger("installer")


class LoadedWeights:
    """Weights of the engine, and whether they may be damaged.

    A damaged piece stays damaged until it is written again. If nothing was written since the engine
    began to load, and all pieces still match, the engine has loaded undamaged pieces. Otherwise it
    drops its weights, and the version is installed again.
    """

    __slots__ = ("_confirmable", "_doubtful", "_engine", "_monitor", "_stage")

    def __init__(self, *, engine: LocalEngine, monitor: EngineMonitor, stage: EngineStage) -> None:
        self._engine = engine
        self._monitor = monitor
        self._stage = stage
        self._doubtful: StagedVersion | None = None
        self._confirmable = True

    @property
    def doubtful(self) -> bool:
        """Whether the weights may be damaged, so that no request may go to the engine."""
        return self._doubtful is not None

    def doubt(self, staged: StagedVersion, *, confirmable: bool) -> None:
        """Mark the weights as doubtful.

        Parameters
        ----------
        confirmable
            Whether no piece was written since the engine may have begun to load.
        """
        self._doubtful = staged
        self._confirmable = confirmable

    async def check(self) -> None:
        """Confirm the weights or drop them; they stay doubtful if neither is possible now."""
        staged, report = self._doubtful, await self._monitor.refresh()
        if staged is None or report is None or report.busy:
            return
        if not holds_version(report, staged):
            self._doubtful = None
            return
        if self._confirmable and await self._stage.matches(staged):
            log.info("loaded weights confirmed", number=staged.number)
            self._doubtful = None
            return
        self._confirmable = False
        await self._drop(staged, report)

    async def _drop(self, staged: StagedVersion, report: EngineReport) -> None:
        log.warning("weights may be damaged, the engine drops them", number=staged.number)
        order = LoadOrder(
            model=staged.model,
            version=staged.number,
            preempt=True,
            expected_sequence=report.sequence,
            end_layer=0,
        )
        dropped = await self._engine.order_load(order, lambda: True)
        if dropped.is_err():
            log.warning("weights not dropped", failure=str(dropped.unwrap_err()))
            await asyncio.sleep(DROP_RETRY_S)


def holds_version(report: EngineReport, staged: StagedVersion) -> bool:
    """Return whether the engine holds all layers of a version."""
    return any(
        served.model == staged.model
        and served.version == staged.number
        and served.first_layer == 0
        and served.end_layer >= staged.manifest.layers
        for served in report.served
    )


__all__ = ["LoadedWeights", "holds_version"]
