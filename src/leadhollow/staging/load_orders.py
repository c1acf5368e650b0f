"""Orders the engine on this VM to load a staged version, and finds out what became of the order."""

from __future__ import annotations

import asyncio

from result import Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import active_s
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.engine_dialect import EngineReport, LoadOrder
from leadhollow.staging.engine_monitor import EngineMonitor
from leadhollow.staging.engine_stage import EngineStage
from leadhollow.staging.pieces import StagedVersion

POLL_INTERVAL_S = 0.05
ORDER_RETRY_S = 0.5
SEND_ATTEMPTS = 3  # each verifies the stage; more only if the process keeps standing still
LOAD_TIMEOUT_S = 10.0  # requests in progress finish first, then the weights load
BEGIN_TIMEOUT_S = 1.0  # an engine that restarts after it acknowledged an order never begins to load
NOT_ACCEPTED = (Code.LOAD_REFUSED, Code.PEER_ABSENT, Code.SERVER_RESTS, Code.NOT_SENT)
"""Failures after which the engine cannot accept the order any more."""

log = get_logger("installer")


class _UnsettledOrder:
    """An order that the engine may still accept; it expects a sequence."""

    __slots__ = ("sequence", "staged")

    def __init__(self, *, staged: StagedVersion, sequence: int) -> None:
        self.staged = staged
        self.sequence = sequence


class LoadOrders:
    """Sends load orders to the engine.

    An order without an answer may be accepted seconds later, even if the engine answers other
    requests meanwhile. It then loads what is staged at that moment. Until its outcome is known, the
    stage must keep the pieces of its version, and the order is repeated. All repetitions expect the
    same sequence, so the engine accepts one of them at most.
    """

    __slots__ = ("_engine", "_monitor", "_stage", "_unsettled")

    def __init__(self, *, engine: LocalEngine, monitor: EngineMonitor, stage: EngineStage) -> None:
        self._engine = engine
        self._monitor = monitor
        self._stage = stage
        self._unsettled: _UnsettledOrder | None = None

    @property
    def unsettled(self) -> bool:
        """Whether the engine may still accept an order; nothing else may be staged until then."""
        return self._unsettled is not None

    async def load(self, staged: StagedVersion) -> None:
        """Order the engine to load the staged version, and wait until it has.

        The stage is verified again unless it was verified just before.
        """
        for _ in range(SEND_ATTEMPTS):
            if not self._stage.is_verified(staged) and not await self._verify(staged):
                return
            report = self._monitor.report
            if report is None or report.busy:
                return
            ordered = await self._send(staged, report)
            if ordered.is_ok():
                await self._wait_loaded(staged, report.sequence)
                return
            if ordered.unwrap_err().code is not Code.NOT_SENT:
                await asyncio.sleep(ORDER_RETRY_S)
                return

    async def settle(self) -> None:
        """Find out whether the engine has accepted the unsettled order, and else repeat it."""
        unsettled = self._unsettled
        report = await self._monitor.refresh()
        if unsettled is None or report is None or report.busy:
            return
        staged = unsettled.staged
        if report.sequence != unsettled.sequence:
            self._unsettled = None
            log.info(
                "load order settled", number=staged.number, installed=holds_version(report, staged)
            )
            return
        await self.load(staged)

    async def _send(self, staged: StagedVersion, report: EngineReport) -> Result[None, Failure]:
        """Send the order, and note whether the engine may still accept it."""
        repeated = self._unsettled is not None
        self._unsettled = _UnsettledOrder(staged=staged, sequence=report.sequence)
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
            life=self._monitor.life_number,
            verified_ms=round(self._stage.verification_age_s() * 1000),
            repeated=repeated,
        )
        ordered = await self._engine.order_load(order, lambda: self._stage.is_verified(staged))
        if ordered.is_ok():
            self._unsettled = None
            return ordered
        failure = ordered.unwrap_err()
        if failure.code in NOT_ACCEPTED and not repeated:
            self._unsettled = None
        log.warning(
            "load order not acknowledged", failure=str(failure), may_be_accepted=self.unsettled
        )
        return ordered

    async def _verify(self, staged: StagedVersion) -> bool:
        """Verify the stage, once more if damaged pieces had to be written again."""
        return await self._stage.verify(staged) or await self._stage.verify(staged)

    async def _wait_loaded(self, staged: StagedVersion, sequence: int) -> None:
        loop = asyncio.get_running_loop()
        began_s, ordered_s = loop.time(), active_s()
        while active_s() - ordered_s < LOAD_TIMEOUT_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            report = await self._monitor.refresh()
            if report is None:
                return
            if holds_version(report, staged):
                log.info(
                    "version installed",
                    model=staged.model,
                    number=staged.number,
                    seconds=round(loop.time() - began_s, 2),
                )
                return
            begun = report.busy or report.sequence != sequence
            if begun and not report.busy:
                log.warning("load ended without the version", number=staged.number)
                return
            if not begun and active_s() - ordered_s > BEGIN_TIMEOUT_S:
                log.warning("acknowledged load did not begin", number=staged.number)
                return


def holds_version(report: EngineReport, staged: StagedVersion) -> bool:
    """Return whether the engine holds all layers of a version."""
    return any(
        served.model == staged.model
        and served.version == staged.number
        and served.first_layer == 0
        and served.end_layer >= staged.manifest.layers
        for served in report.served
    )


__all__ = ["LoadOrders", "holds_version"]
