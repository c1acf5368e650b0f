"""A service that is one task."""

from __future__ import annotations

import asyncio

from result import Ok, Result

from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger

RESTART_DELAY_S = 0.2  # of work that ended by an error

log = get_logger("service")


class TaskService:
    """Base of services whose whole work is one task.

    Work that ends by an error is logged and begun again: nobody waits for the task, so that its end
    would otherwise show by what is missing only.
    """

    __slots__ = ("_task",)

    def __init__(self) -> None:
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> Result[None, Failure]:
        """Begin the task."""
        self._task = asyncio.get_running_loop().create_task(self._keep_working())
        return Ok(None)

    async def drain(self) -> None:
        """Nothing of a caller is in progress here."""

    async def stop(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _keep_working(self) -> None:
        while True:
            try:
                await self._work()
                return
            except Exception as error:
                log.error("work ended by an error", service=type(self).__name__, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)

    async def _work(self) -> None:
        raise NotImplementedError


__all__ = ["RESTART_PAUSE_S", "TaskService"]
