"""Runs the scheduler when capacity may have become free."""

from __future__ import annotations

import asyncio

from leadhollow.entry.group_limits import GroupLimits
from leadhollow.entry.scheduler import FairScheduler
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.view import DomainView

REFILL_INTERVAL_S = 0.02


class SchedulerService(TaskService):
    """Admits waiting requests after each view change, and periodically as token rates refill."""

    __slots__ = ("_view", "limits", "scheduler")

    def __init__(self, *, scheduler: FairScheduler, limits: GroupLimits, view: DomainView) -> None:
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
            self.scheduler.admit_waiting()


__all__ = ["SchedulerService"]
