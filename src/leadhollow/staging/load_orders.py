"""Orders the engine on this VM to load a staged version, and finds out what became of the order."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from result import Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import active_s
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.engine_dialect import EngineReport, LoadOrder
from leadhollow.staging.engine_monitor import EngineMonitor
from leadhollow.staging.engine_stage import DAMAGE_TOLERANCE_S, EngineStage
from leadhollow.staging.loaded_weights import LoadedWeights, holds_version
from leadhollow.staging.pieces import StagedVersion
from leadhollow.weights.named_versions import NamedVersion

POLL_INTERVAL_S = 0.05
ORDER_RETRY_S = 0.5
SEND_ATTEMPTS = 3  # each verifies the stage; more only if the process keeps standing still
LOAD_TIMEOUT_S = 10.0  # requests in progress finish first, then the weights load
BEGIN_TIMEOUT_S = 1.0  # an engine that restarts after it acknowledged an order never begins to load
NOT_ACCEPTED = (Code.LOAD_REFUSED, Code.PEER_ABSENT, Code.SERVER_RESTS, Code.NOT_SENT)
"""Failures after which the engine cannot accept the order any more."""

log = get_logger("installer")


class _UnsettledOrder:
    """An order that the engine may still accept.

    Parameters
    ----------
    sequence
        Sequence that the order expects.
    write_count
        Pieces that were written when the engine had surely not accepted it.
    """

    __slots__ = ("sequence", "staged", "write_count")

    def __init__(self, *, staged: StagedVersion, sequence: int, write_count: int) -> None:
        self.staged = staged
        self.sequence = sequence
        self.write_count = write_count


class LoadOrders:
    """Sends load orders to the engine.

    An order without an answer may be accepted seconds later, even if the engine answers other
    requests meanwhile. It then loads what is staged at that moment. Until its outcome is known, the
    stage must keep the pieces of its version, and the order is repeated. All repetitions expect the
    same sequence, so the engine accepts one of them at most.
    """

    __slots__ = (
        "_accounted",
        "_engine",
        "_monitor",
        "_stage",
        "_unexpected",
        "_unsettled",
        "_weights",
    )

    def __init__(self, *, engine: LocalEngine, monitor: EngineMonitor, stage: EngineStage) -> None:
        self._engine = engine
        self._monitor = monitor
        self._stage = stage
        self._weights = LoadedWeights(engine=engine, monitor=monitor, stage=stage)
        self._unsettled: _UnsettledOrder | None = None
        self._accounted: tuple[int, int] | None = None  # life and sequence of known loads
        self._unexpected: Sequence[NamedVersion] = ()

    @property
    def uncertain(self) -> bool:
        """Whether the engine may still accept an order, or may have loaded damaged pieces.

        Until that is known, nothing else may be staged, and no request may go to the engine.
        """
        return self._unsettled is not None or bool(self._unexpected) or self._weights.doubtful

    def note_report(self, report: EngineReport, known: Sequence[NamedVersion]) -> None:
        """Doubt weights that the engine loads by an order that this process did not give.

        Such an order is one of this process's predecessor that was accepted late.

        Parameters
        ----------
        known
            Versions of the model, to check the staged pieces of the one that the engine holds.
        """
        current = (self._monitor.life_number, report.sequence)
        accounted = self._accounted
        if self.uncertain or current == accounted:
            return
        self._accounted = current
        if accounted is None or accounted[0] != current[0]:
            return
        log.warning("engine accepted an order of another process", sequence=report.sequence)
        self._unexpected = known

    async def load(self, staged: StagedVersion) -> None:
        """Order the engine to load the staged version, and wait until it has.

        The stage is verified again unless it was verified just before.
        """
        for _ in range(SEND_ATTEMPTS):
            if not self._stage.is_verified(staged) and not await self._verify(staged):
                return
            report = self._monitor.report
            if report is None or report.busy or self._has_moved(report):
                return
            ordered = await self._send(staged, report)
            if ordered.is_ok():
                await self._finish(staged, report.sequence)
                return
            if ordered.unwrap_err().code is not Code.NOT_SENT:
                await asyncio.sleep(ORDER_RETRY_S)
                return

    async def settle(self) -> None:
        """Find out what became of the unsettled order, repeat it, or check doubtful weights."""
        unsettled = self._unsettled
        if self._unexpected:
            await self._identify_unexpected()
            return
        if unsettled is None:
            await self._weights.check()
            self._account()
            return
        report = await self._monitor.refresh()
        if report is None or report.busy:
            return
        staged = unsettled.staged
        if not self._has_moved(report):
            unsettled.write_count = self._stage.write_count
            if await self._verify(staged):
                await self.load(staged)
            return
        self._unsettled = None
        installed = holds_version(report, staged)
        log.info("load order settled", number=staged.number, installed=installed)
        if installed:
            confirmable = unsettled.write_count == self._stage.write_count
            self._weights.doubt(staged, confirmable=confirmable)
        self._account()

    async def _identify_unexpected(self) -> None:
        """Wait until the load has ended, and doubt the version that the engine holds then."""
        report = await self._monitor.refresh()
        if report is None or report.busy:
            return
        known, self._unexpected = self._unexpected, ()
        for version in known:
            staged = StagedVersion.of(version)
            if staged is not None and holds_version(report, staged):
                self._weights.doubt(staged, confirmable=self._stage.write_count == 0)

    async def _finish(self, staged: StagedVersion, sequence: int) -> None:
        """Wait until the acknowledged load has ended, and check its weights if need be."""
        late = self._stage.verification_age_s() > DAMAGE_TOLERANCE_S
        if late or self._stage.may_change():
            self._weights.doubt(staged, confirmable=True)
        await self._wait_loaded(staged, sequence)
        if self._weights.doubtful:
            await self._weights.check()
        self._account()

    def _has_moved(self, report: EngineReport) -> bool:
        """Return whether the unsettled order cannot be accepted any more."""
        return self._unsettled is not None and report.sequence != self._unsettled.sequence

    def _account(self) -> None:
        report = self._monitor.report
        if report is not None:
            self._accounted = (self._monitor.life_number, report.sequence)

    async def _send(self, staged: StagedVersion, report: EngineReport) -> Result[None, Failure]:
        """Send the order, and note whether the engine may still accept it."""
        repeated = self._unsettled is not None
        if self._unsettled is None:
            self._unsettled = _UnsettledOrder(
                staged=staged, sequence=report.sequence, write_count=self._stage.write_count
            )
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
            "load order not acknowledged", failure=str(failure), settled=self._unsettled is None
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


__all__ = ["LoadOrders"]
