"""Serial execution of changes to a replica's log, vote and term.

A change writes to disk and then updates memory. It must not be interrupted between the two.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

StepAnswer = TypeVar("StepAnswer")


class TransitionQueue:
    """Runs transitions one at a time; a transition that has started always completes.

    A connection may end, or a task may be cancelled because the replica has lost its lead. The
    caller then gets no result, but a started transition still runs to its end. A transition whose
    caller is cancelled while it waits for its turn is not started.
    """

    __slots__ = ("_lock",)

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def run(self, transition: Callable[[], Awaitable[StepAnswer]]) -> StepAnswer:
        """Run a transition after all those requested before it.

        Parameters
        ----------
        step
            Must not run another transition: the queue is not reentrant.
        """
        await self._lock.acquire()
        running = asyncio.get_running_loop().create_task(self._finish(transition))
        return await asyncio.shield(running)

    async def wait_idle(self) -> None:
        """Wait until no transition is running."""
        async with self._lock:
            return

    async def _finish(self, step: Callable[[], Awaitable[StepAnswer]]) -> StepAnswer:
        try:
            return await step()
        finally:
            self._lock.release()


__all__ = ["TransitionQueue"]
