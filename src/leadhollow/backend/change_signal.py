"""Tells announcers that something changed, and whether it can wait."""

from __future__ import annotations

import asyncio


class ChangeSignal:
    """Counts changes of load and changes that must be announced at once."""

    __slots__ = ("_any", "_urgent", "load_changes", "urgent_changes")

    def __init__(self) -> None:
        self._any = asyncio.Event()
        self._urgent = asyncio.Event()
        self.load_changes = 0
        self.urgent_changes = 0

    def record_load_change(self) -> None:
        """Note a change that may wait for the next load interval."""
        self.load_changes += 1
        self._any.set()

    def record_urgent_change(self) -> None:
        """Note a change that is to be announced at once."""
        self.urgent_changes += 1
        self._any.set()
        self._any = asyncio.Event()
        self._urgent.set()
        self._urgent = asyncio.Event()

    async def wait(self, longest_s: float) -> None:
        """Wait for any change, at most for a time."""
        if self._any.is_set():
            self._any = asyncio.Event()
        await _wait(self._any, longest_s)

    async def wait_urgent(self, longest_s: float) -> None:
        """Wait for a change that cannot wait, at most for a time."""
        await _wait(self._urgent, longest_s)


async def _wait(event: asyncio.Event, longest_s: float) -> None:
    try:
        async with asyncio.timeout(longest_s):
            await event.wait()
    except TimeoutError:
        return


__all__ = ["ChangeSignal"]
