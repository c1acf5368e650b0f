"""Signals state changes to the announcer, and whether they are urgent."""

from __future__ import annotations

import asyncio


class ChangeSignal:
    """Counts load changes and urgent changes, and wakes the tasks that wait for them.

    A load change may wait for the next load interval; an urgent one is announced at once.
    """

    __slots__ = ("_any_change", "_urgent_change", "load_changes", "urgent_changes")

    def __init__(self) -> None:
        self._any_change = asyncio.Event()
        self._urgent_change = asyncio.Event()
        self.load_changes = 0
        self.urgent_changes = 0

    def record_load_change(self) -> None:
        """Count a load change and wake the tasks in ``wait``."""
        self.load_changes += 1
        self._any_change.set()

    def record_urgent_change(self) -> None:
        """Count an urgent change and wake all waiting tasks."""
        self.urgent_changes += 1
        self._any_change.set()
        self._any_change = asyncio.Event()
        self._urgent_change.set()
        self._urgent_change = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for any change, at most ``timeout_s``."""
        if self._any_change.is_set():
            self._any_change = asyncio.Event()
        await _wait(self._any_change, timeout_s)

    async def wait_urgent(self, timeout_s: float) -> None:
        """Wait for an urgent change, at most ``timeout_s``."""
        await _wait(self._urgent_change, timeout_s)


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return


__all__ = ["ChangeSignal"]
