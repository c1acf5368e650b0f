"""Knows how long ago a majority confirmed that this replica holds the newest state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.kernel import clocks
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger
from leadhollow.state.gateway import LeaderGateway

INTERVAL_S = 0.2
LOST_INTERVAL_S = 0.05  # while a majority is missing, everybody waits for it
TIMEOUT_S = 0.5
LOST_AFTER_S = 0.8

log = get_logger("confirmation")


class ConfirmationMonitor(TaskService):
    """Asks the leader again and again; the answer counts from before the question."""

    __slots__ = ("_confirmed_s", "_gateway", "_listeners", "_lost")

    def __init__(self, *, gateway: LeaderGateway) -> None:
        self._gateway = gateway
        self._confirmed_s: float | None = None
        self._lost = True
        self._listeners: list[Callable[[], None]] = []
        super().__init__()

    def on_found(self, listener: Callable[[], None]) -> None:
        """Call a function when a majority confirms us again."""
        self._listeners.append(listener)

    def age_ms(self) -> int:
        """Give the age of the last confirmation in milliseconds, -1 without any."""
        if self._confirmed_s is None:
            return -1
        return int((clocks.elapsed_s() - self._confirmed_s) * 1000)

    async def _work(self) -> None:
        while True:
            asked_s = clocks.elapsed_s()
            confirmed = await self._gateway.confirm(timeout_s=TIMEOUT_S)
            if confirmed.is_ok():
                self._confirmed_s = asked_s
            self._note(confirmed.is_ok())
            await asyncio.sleep(LOST_INTERVAL_S if self._lost else INTERVAL_S)

    def _note(self, confirmed: bool) -> None:
        if confirmed and self._lost:
            log.info("majority found")
            self._lost = False
            for listener in self._listeners:
                listener()
        elif not confirmed and not self._lost and self.age_ms() > LOST_AFTER_S * 1000:
            log.warning("majority lost", age_ms=self.age_ms())
            self._lost = True


__all__ = ["ConfirmationMonitor"]
