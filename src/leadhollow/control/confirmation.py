"""Tracks how long ago a majority confirmed that this replica has the newest state.

Feeds send this age to their subscribers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.kernel import clocks
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger
from leadhollow.state.gateway import LeaderGateway

CONFIRM_INTERVAL_S = 0.2
LOST_CONFIRM_INTERVAL_S = 0.05  # short, since all subscribers wait while the majority is lost
CONFIRM_TIMEOUT_S = 0.5
LOST_AFTER_S = 0.8

log = get_logger("confirmation")


class ConfirmationMonitor(TaskService):
    """Requests confirmations from the leader periodically.

    The age counts from the time of the request, not of the reply.
    """

    __slots__ = ("_confirmed_s", "_gateway", "_listeners", "_lost")

    def __init__(self, *, gateway: LeaderGateway) -> None:
        self._gateway = gateway
        self._confirmed_s: float | None = None
        self._lost = True
        self._listeners: list[Callable[[], None]] = []
        super().__init__()

    def on_quorum_regained(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when a majority confirms this replica again."""
        self._listeners.append(listener)

    def age_ms(self) -> int:
        """Return the age of the last confirmation in milliseconds, -1 if there was none."""
        if self._confirmed_s is None:
            return -1
        return int((clocks.elapsed_s() - self._confirmed_s) * 1000)

    async def _work(self) -> None:
        while True:
            requested_s = clocks.elapsed_s()
            confirmed = await self._gateway.confirm(timeout_s=CONFIRM_TIMEOUT_S)
            if confirmed.is_ok():
                self._confirmed_s = requested_s
            self._update(confirmed.is_ok())
            await asyncio.sleep(LOST_CONFIRM_INTERVAL_S if self._lost else CONFIRM_INTERVAL_S)

    def _update(self, confirmed: bool) -> None:
        if confirmed and self._lost:
            log.info("majority reached")
            self._lost = False
            for listener in self._listeners:
                listener()
        elif not confirmed and not self._lost and self.age_ms() > LOST_AFTER_S * 1000:
            log.warning("majority lost", age_ms=self.age_ms())
            self._lost = True


__all__ = ["ConfirmationMonitor"]
