"""An event loop whose time passes only while nothing is ready, so that a run repeats."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any

DISK_S = 0.002  # work that a thread of a disk does takes this long
START_S = 1_000.0
TURN_S = 1e-6  # a turn of the loop takes time too, else who polls until a moment never gets there


class _IdleSelector(selectors.SelectSelector):
    """Waits for nothing: where the loop would sleep, its clock goes on."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            message = "nothing is scheduled any more"
            raise RuntimeError(message)
        self.now_s += max(TURN_S, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop of one emulated system."""

    def __init__(self) -> None:
        self._idle = _IdleSelector()
        super().__init__(self._idle)

    def time(self) -> float:
        return self._idle.now_s

    def advance(self, span_s: float) -> None:
        """Let time pass without a turn of the loop, as where the process stands still."""
        self._idle.now_s += span_s

    def run_in_executor(self, executor, func: Callable[..., Any], *args: Any):  # type: ignore[override]
        """Do a thread's work here, a little later."""
        done = self.create_future()

        def work() -> None:
            if done.cancelled():
                return
            try:
                done.set_result(func(*args))
            except BaseException as error:
                done.set_exception(error)

        self.call_later(DISK_S, work)
        return done


__all__ = ["VirtualLoop"]
