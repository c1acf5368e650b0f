"""Changes of a replica's log, vote and term: one after the other, each done to its end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

StepAnswer = TypeVar("StepAnswer")


class TransitionQueue:
    """Lets no step end between what it writes and what it notes of that.

    A step belongs to the replica, not to whoever asked for it: a connection that ends, or a task
    that is cancelled because the replica leads no more, takes the answer with it, not the step.
    A caller that leaves before its step began has begun nothing.
    """

    __slots__ = ("_lock",)

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def run(self, transition: Callable[[], Awaitable[StepAnswer]]) -> StepAnswer:
        """Do a step once all that were asked for before it have ended.

        Parameters
        ----------
        step
            May not ask for another step.
        """
        await self._lock.acquire()
        running = asyncio.get_running_loop().create_task(self._finish(transition))
        return await asyncio.shield(running)

    async def wait_idle(self) -> None:
        """Wait until no step is running."""
        async with self._lock:
            return

    async def _finish(self, step: Callable[[], Awaitable[StepAnswer]]) -> StepAnswer:
        try:
            return await step()
        finally:
            self._lock.release()


__all__ = ["WholeSteps"]
