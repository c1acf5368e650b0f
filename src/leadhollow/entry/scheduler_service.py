"""Wakes the scheduler when capacity may have come free."""

from __future__ import annotations

import asyncio

from leadhollow.entry.group_limits import GroupShareLimits
from leadhollow.entry.scheduler import FairScheduler
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.view import DomainView

REFILL_INTERVAL_S = 0.02


class SchedulerPump(TaskService):
    """Pumps after each change of the view, and often enough for token rates to refill."""

    __slots__ = ("_view", "limits", "scheduler")

    def __init__(
        self, *, scheduler: FairScheduler, limits: GroupShareLimits, view: DomainView
    ) -> None:
        self.scheduler = scheduler
        self.limits = limits
        self._view = view
        super().__init__()

    async def _work(self) -> None:
        while True:
            await self.scheduler.wait_backlog()
            try:
                async with asyncio.timeout(REFILL_INTERVAL_S):
                    await self._view.changed()
            except TimeoutError:
                pass
            self.scheduler.pump()


__all__ = ["SchedulerPump"]
