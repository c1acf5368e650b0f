"""Waiting of tasks for input that callbacks of a connection bring."""

from __future__ import annotations

import asyncio


class Wakeup:
    """Wakes all tasks that wait; a task that is cancelled never affects another one's wait."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: list[asyncio.Future[None]] = []

    async def wait(self) -> None:
        """Wait for the next call of :meth:`wake`."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        finally:
            self._waiters.remove(waiter)

    def wake(self) -> None:
        """Wake the tasks that wait now."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)


__all__ = ["Wakeup"]
