"""Runs work on a disk in a thread of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from leadhollow.kernel import active_time

DiskAnswer = TypeVar("DiskAnswer")


class DiskThread:
    """One thread, so that work on the disk is done in the order it was asked for."""

    __slots__ = ("_busy_since_s", "_executor", "_pending")

    def __init__(self) -> None:
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="state-disk")
        self._busy_since_s: float | None = None
        self._pending = 0

    @property
    def busy_s(self) -> float:
        """Heard time that the work in progress has taken so far; 0 where there is none."""
        if self._busy_since_s is None:
            return 0.0
        return active_time.active_s() - self._busy_since_s

    async def run(self, work: Callable[[], DiskAnswer]) -> DiskAnswer:
        """Run work and wait for it; a cancelled caller still waits for its end."""
        loop = asyncio.get_running_loop()
        running = loop.run_in_executor(self._executor, work)
        self._pending += 1
        if self._busy_since_s is None:
            self._busy_since_s = active_time.active_s()
        running.add_done_callback(self._on_done)
        try:
            return await asyncio.shield(running)
        except asyncio.CancelledError:
            await asyncio.wait([running])
            raise

    def _on_done(self, running: asyncio.Future[DiskAnswer]) -> None:
        self._pending -= 1
        self._busy_since_s = active_time.active_s() if self._pending else None

    async def stop(self) -> None:
        """Wait for the work in progress while the loop goes on, and end the thread."""
        if self._pending:
            await self.run(_nothing)
        self.close()

    def close(self) -> None:
        """End the thread; waits for work in progress."""
        self._executor.shutdown(wait=True)


def _nothing() -> None:
    return


__all__ = ["DiskThread"]
