"""Watches the engine on this VM and reports its load to the control replica that is followed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.self_reports import leaving_report
from leadhollow.observe.logs import get_logger
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.engine_dialect import EngineReport
from leadhollow.wire.generated.ttypes import LoadRecord, LoadReport, ServerWords
from leadhollow.wire.peers import PeerPool

INTERVAL_S = 0.1
ASKS_PER_REPORT = 5
"""How often the engine is asked between two reports of a load whose standing stays as it is. All
that looks at it while its weights change asks for itself."""

LOST_PAUSE_S = 0.2
PACE_UNIT = 1000
SLOW_PATH_S = 0.1  # a path that is slower than this is told with each report

log = get_logger("load")


class EngineMonitor(TaskService):
    """Newest report of the engine.

    Parameters
    ----------
    path_delay_s
        Gives how long small messages lately took to this VM and back.
    interval_s
        Gives the time after which a load is told again though its standing is the same.

    Attributes
    ----------
    report
        None while the engine does not answer.
    switching
        Whether the engine is about to change its weights; entries then send nothing more.
    """

    __slots__ = (
        "_address",
        "_engine",
        "_feed",
        "_interval_s",
        "_life",
        "_listeners",
        "_path_delay_s",
        "_peers",
        "_sent",
        "_sent_s",
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
        self._interval_s = report_interval_s
        self._sent: tuple[object, ...] = ()
        self._sent_s = 0.0
        self._life = ""  # of the engine, as control last told
        self._listeners: list[Callable[[], None]] = []
        self.report: EngineReport | None = None
        self.switching = False
        self.staged_progress: Callable[[], tuple[int, int]] = lambda: (0, 0)
        super().__init__()

    def on_report(self, listener: Callable[[], None]) -> None:
        """Call a function after each report."""
        self._listeners.append(listener)

    async def refresh(self) -> EngineReport | None:
        """Ask the engine now."""
        self._note_life()
        asked = await self._engine.report()
        if asked.is_err():
            if self.report is not None:
                log.warning("engine does not answer", failure=str(asked.unwrap_err()))
            self.report = None
        else:
            if self.report is None:
                served = [found.key() for found in asked.unwrap().served]
                log.info("engine answers", served=served)
            self.report = asked.unwrap()
        for listener in self._listeners:
            listener()
        return self.report

    def _note_life(self) -> None:
        """Give an engine that has started anew no rest that its former life asked for."""
        known = self._feed.table.at_address(self._address)
        if known is not None and known.life != self._life:
            self._life = known.life
            self._engine.clear_backoff()

    def _leaving(self, report: EngineReport) -> ServerWords | None:
        """Give the word that the engine leaves, where it says so and control knows its name."""
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
        leaving = self._leaving(report)
        if leaving is not None:
            connected.unwrap().oneway(leaving)
        self._sent_s = asyncio.get_running_loop().time()

    async def _work(self) -> None:
        while True:
            report = await self.refresh()
            if report is None:
                await asyncio.sleep(LOST_PAUSE_S)
                continue
            said = (
                report.born_ms,
                report.busy,
                report.leaving,
                self.switching,
                self.staged_progress(),
                tuple(found.key() for found in report.served),
                round(report.pace, 1),
                self._path_delay_s() > SLOW_PATH_S,
            )
            now_s = asyncio.get_running_loop().time()
            if said != self._sent or now_s - self._sent_s > self._interval_s():
                self._sent = said
                await self.publish()
            await asyncio.sleep(poll_interval_s(self._interval_s()))


def poll_interval_s(report_interval_s: float) -> float:
    """Give how long to wait before the engine is asked again.

    Parameters
    ----------
    report_interval_s
        Between two reports; the more engines, the longer.
    """
    return max(INTERVAL_S, report_interval_s / ASKS_PER_REPORT)


__all__ = ["EngineWatch", "ask_interval_s"]
