"""Event loop on a virtual clock, so that runs are reproducible."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any

DISK_WORK_S = 0.002  # duration of work in a thread, such as disk access
START_S = 1_000.0
ITERATION_S = 1e-6  # an iteration takes time, or a task that polls for a moment never reaches it


class _IdleSelector(selectors.SelectSelector):
    """Advances the clock instead of sleeping."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            message = "nothing is scheduled"
            raise RuntimeError(message)
        self.now_s += max(ITERATION_S, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop of one emulated system."""

    def __init__(self) -> None:
        self._idle = _IdleSelector()
        super().__init__(self._idle)

    def time(self) -> float:
        return self._idle.now_s

    def advance(self, span_s: float) -> None:
        """Advance the clock without running anything, as if the process were stopped."""
        self._idle.now_s += span_s

    def run_in_executor(self, executor, func: Callable[..., Any], *args: Any):  # type: ignore[override]
        """Run a thread's work on the loop, after a delay."""
        done = self.create_future()

        def work() -> None:
            if done.cancelled():
                return
            try:
                done.set_result(func(*args))
            except BaseException as error:
                done.set_exception(error)

        self.call_later(DISK_WORK_S, work)
        return done


__all__ = ["VirtualLoop"]
