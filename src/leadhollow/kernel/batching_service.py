"""Base class of services that publish changes in batches and their full state periodically."""

from __future__ import annotations

import asyncio

from leadhollow.kernel.task_service import TaskService


class BatchingService(TaskService):
    """Publishes soft state to other processes: changes in batches, everything periodically.

    Parameters
    ----------
    batch_window_s
        Changes within this time are published together.
    refresh_s
        Interval at which the full state is published again, because messages may be lost.
    """

    __slots__ = ("_batch_window_s", "_refresh_s", "_wake")

    def __init__(self, *, batch_window_s: float, refresh_s: float) -> None:
        self._batch_window_s = batch_window_s
        self._refresh_s = refresh_s
        self._wake = asyncio.Event()
        super().__init__()

    def note_change(self) -> None:
        """Schedule a publication at the end of the next batch window."""
        self._wake.set()

    def batch_window_s(self) -> float:
        """Return the current batch window."""
        return self._batch_window_s

    def needs_refresh(self) -> bool:
        """Return whether there is state to refresh; without any, the service sleeps."""
        return True

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        next_refresh_s = loop.time()
        while True:
            timeout_s = max(0.0, next_refresh_s - loop.time()) if self.needs_refresh() else None
            try:
                async with asyncio.timeout(timeout_s):
                    await self._wake.wait()
                await asyncio.sleep(self.batch_window_s())
            except TimeoutError:
                pass
            self._wake.clear()
            whole = loop.time() >= next_refresh_s
            if whole:
                next_refresh_s = loop.time() + self._refresh_s
            await self._publish(whole=whole)

    async def _publish(self, *, whole: bool) -> None:
        """Publish the changes, or the full state if `whole` is set."""
        raise NotImplementedError


__all__ = ["BatchingService"]
