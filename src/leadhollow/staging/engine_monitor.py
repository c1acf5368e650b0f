"""Monitors the engine on this VM and reports its load to the control replica that is followed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.codes import Code
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.self_reports import leaving_report
from leadhollow.observe.logs import get_logger
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.engine_dialect import EngineReport
from leadhollow.wire.generated.ttypes import LoadRecord, LoadReport, ServerWords
from leadhollow.wire.peers import PeerPool

MIN_POLL_INTERVAL_S = 0.1
POLLS_PER_REPORT = 5
"""How often the engine is polled between two reports while its state stays the same. During a
switch the code that needs the state polls the engine itself."""

ENGINE_LOST_PAUSE_S = 0.2
PACE_UNIT = 1000
SLOW_PATH_S = 0.1  # crossing this path delay in either direction triggers a report at once

log = get_logger("load")


class EngineMonitor(TaskService):
    """Keeps the newest report of the engine and publishes its load.

    Parameters
    ----------
    path_delay_s
        Returns the recent round-trip time of small messages to this VM.
    report_interval_s
        Returns the time after which the load is reported again although the state is the same.

    Attributes
    ----------
    refused
        Whether nothing listened at the engine's address when it was polled last.
    report
        Newest report, None while the engine does not answer.
    staged_progress
        Returns the newest completely staged version and its number of pieces.
    life_number
        Counts the lives of the engine as far as they are noticed. An engine that did not answer for
        a moment may be in another life.
    switching
        Whether the engine is about to change its weights; entries then send no more requests.
    """

    __slots__ = (
        "_address",
        "_engine",
        "_feed",
        "_life",
        "_listeners",
        "_path_delay_s",
        "_peers",
        "_published_s",
        "_published_state",
        "_report_interval_s",
        "life_number",
        "refused",
        "report",
        "staged_progress",
        "switching",
    )

    def __init__(
        self,
        *,
        address: str,
        engine: LocalEngine,
        feed: ControlFeed,
        peers: PeerPool,
        path_delay_s: Callable[[], float],
        report_interval_s: Callable[[], float],
    ) -> None:
        self._address = address
        self._engine = engine
        self._feed = feed
        self._peers = peers
        self._path_delay_s = path_delay_s
        self._report_interval_s = report_interval_s
        self._published_state: tuple[object, ...] = ()
        self._published_s = 0.0
        self._life = ""  # of the engine, as the control replica last listed it
        self._listeners: list[Callable[[], None]] = []
        self.report: EngineReport | None = None
        self.life_number = 0
        self.refused = False
        self.switching = False
        self.staged_progress: Callable[[], tuple[int, int]] = lambda: (0, 0)
        super().__init__()

    def on_report(self, listener: Callable[[], None]) -> None:
        """Register a function to be called after each poll of the engine."""
        self._listeners.append(listener)

    async def refresh(self) -> EngineReport | None:
        """Poll the engine now."""
        self._check_life()
        result = await self._engine.report()
        self.refused = result.is_err() and result.unwrap_err().code is Code.PEER_ABSENT
        if result.is_err():
            if self.report is not None:
                log.warning("engine does not answer", failure=str(result.unwrap_err()))
            self.report = None
        else:
            self._note_changes(result.unwrap())
            self.report = result.unwrap()
        for listener in self._listeners:
            listener()
        return self.report

    def _note_changes(self, report: EngineReport) -> None:
        """Notice a new life of the engine, and each load order that it has accepted."""
        before = self.report
        if before is None or before.born_ms != report.born_ms or before.sequence > report.sequence:
            self.life_number += 1
            served = [version.key() for version in report.served]
            log.info("engine answers", served=served, life=self.life_number, born_ms=report.born_ms)
        elif before.sequence != report.sequence:
            log.info("engine accepted a load order", sequence=report.sequence)

    def _check_life(self) -> None:
        """Clear the back-off after a restart: the engine asked for it in its previous life."""
        known = self._feed.table.at_address(self._address)
        if known is not None and known.life != self._life:
            self._life = known.life
            self.life_number += 1
            self._engine.clear_backoff()

    def _leaving_report(self, report: EngineReport) -> ServerWords | None:
        """Return a report that the engine is leaving, if it says so and control lists this life."""
        known = self._feed.table.at_address(self._address)
        if not report.leaving or known is None or known.born_ms != report.born_ms:
            return None
        return ServerWords("", [leaving_report(known.life)])

    async def publish(self) -> None:
        """Report the load to the control replica now."""
        report = self.report
        if report is None or not self._feed.source:
            return
        connected = await self._peers.connection(self._feed.source)
        if connected.is_err():
            return
        staged_version, staged_pieces = self.staged_progress()
        record = LoadRecord(
            self._address,
            report.active,
            report.queued,
            report.memory_used_tokens,
            report.memory_tokens,
            int(report.pace * PACE_UNIT),
            [served.to_record() for served in report.served],
            self.switching or report.busy,
            0,
            staged_version,
            staged_pieces,
            int(self._path_delay_s() * 1000),
            report.born_ms,
        )
        connected.unwrap().oneway(LoadReport([record]))
        leaving = self._leaving_report(report)
        if leaving is not None:
            connected.unwrap().oneway(leaving)
        self._published_s = asyncio.get_running_loop().time()

    async def _work(self) -> None:
        while True:
            report = await self.refresh()
            if report is None:
                await asyncio.sleep(ENGINE_LOST_PAUSE_S)
                continue
            state = (
                report.born_ms,
                report.busy,
                report.leaving,
                self.switching,
                self.staged_progress(),
                tuple(version.key() for version in report.served),
                round(report.pace, 1),
                self._path_delay_s() > SLOW_PATH_S,
            )
            now_s = asyncio.get_running_loop().time()
            if (
                state != self._published_state
                or now_s - self._published_s > self._report_interval_s()
            ):
                self._published_state = state
                await self.publish()
            await asyncio.sleep(poll_interval_s(self._report_interval_s()))


def poll_interval_s(report_interval_s: float) -> float:
    """Return how long to wait before the engine is polled again.

    Parameters
    ----------
    report_interval_s
        Time between two reports; it grows with the number of engines.
    """
    return max(MIN_POLL_INTERVAL_S, report_interval_s / POLLS_PER_REPORT)


__all__ = ["EngineMonitor", "poll_interval_s"]
