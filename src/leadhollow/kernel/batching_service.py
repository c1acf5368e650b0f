"""A service that tells changes soon, several at a time, and everything now and then."""

from __future__ import annotations

import asyncio

from leadhollow.kernel.task_service import TaskService


class BatchingService(TaskService):
    """Base of services that pass soft state on.

    Parameters
    ----------
    batch_window_s
        Changes within it are told together.
    refresh_s
        Everything is told again this often, because what was told may have been lost.
    """

    __slots__ = ("_gather_s", "_refresh_s", "_wake")

    def __init__(self, *, batch_window_s: float, refresh_s: float) -> None:
        self._gather_s = batch_window_s
        self._refresh_s = refresh_s
        self._wake = asyncio.Event()
        super().__init__()

    def note_change(self) -> None:
        """Let what changed be told soon."""
        self._wake.set()

    def batch_window_s(self) -> float:
        """Give how long changes are gathered now."""
        return self._gather_s

    def needs_refresh(self) -> bool:
        """Tell whether there is anything to be told again; while there is not, nobody wakes."""
        return True

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        refresh_s = loop.time()
        while True:
            left_s = max(0.0, refresh_s - loop.time()) if self.needs_refresh() else None
            try:
                async with asyncio.timeout(left_s):
                    await self._wake.wait()
                await asyncio.sleep(self.batch_window_s())
            except TimeoutError:
                pass
            self._wake.clear()
            whole = loop.time() >= refresh_s
            if whole:
                refresh_s = loop.time() + self._refresh_s
            await self._publish(whole=whole)

    async def _publish(self, *, whole: bool) -> None:
        """Tell what changed, or everything."""
        raise NotImplementedError


__all__ = ["GatheringService"]
