"""Disk work in a separate thread, for code that must not block the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from leadhollow.kernel import active_time

DiskAnswer = TypeVar("DiskAnswer")


class DiskThread:
    """Runs disk work in a single thread, in the order of the calls."""

    __slots__ = ("_busy_since_s", "_executor", "_pending")

    def __init__(self) -> None:
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="state-disk")
        self._busy_since_s: float | None = None
        self._pending = 0

    @property
    def busy_s(self) -> float:
        """Active time in seconds since the disk became busy; 0 if no work is pending."""
        if self._busy_since_s is None:
            return 0.0
        return active_time.active_s() - self._busy_since_s

    async def run(self, work: Callable[[], DiskAnswer]) -> DiskAnswer:
        """Run work in the thread and wait for its result; a cancelled caller waits for it, too."""
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
        """Wait for pending work without blocking the event loop, then stop the thread."""
        if self._pending:
            await self.run(_do_nothing)
        self.close()

    def close(self) -> None:
        """Stop the thread; blocks until pending work is done."""
        self._executor.shutdown(wait=True)


def _do_nothing() -> None:
    return


__all__ = ["DiskThread"]
