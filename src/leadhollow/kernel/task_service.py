"""Base class of services that consist of one asyncio task."""

from __future__ import annotations

import asyncio

from result import Ok, Result

from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger

RESTART_DELAY_S = 0.2  # after the task failed

log = get_logger("service")


class TaskService:
    """Runs `_work` in one task, from start to stop.

    An exception is logged and the work is restarted. Nothing awaits the task, and a failure would
    otherwise go unnoticed.
    """

    __slots__ = ("_task",)

    def __init__(self) -> None:
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> Result[None, Failure]:
        """Start the task."""
        self._task = asyncio.get_running_loop().create_task(self._run_with_restarts())
        return Ok(None)

    async def drain(self) -> None:
        """Do nothing: the task handles no requests of callers."""

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run_with_restarts(self) -> None:
        while True:
            try:
                await self._work()
                return
            except Exception as error:
                log.error("work ended by an error", service=type(self).__name__, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)

    async def _work(self) -> None:
        raise NotImplementedError


__all__ = ["RESTART_DELAY_S", "TaskService"]
