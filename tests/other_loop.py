"""A second event loop in a thread, which keeps running while the loop of the test stalls."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from leadhollow.kernel import active_time

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


class OtherLoop:
    """Runs coroutines on an event loop in another thread; a context manager for the test thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> OtherLoop:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.run(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine and return its result; blocks the thread and the loop of the caller."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(timeout=30)

    async def _cancel_all(self) -> None:
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)


async def hold_up(hold_s: float, *, after_s: float = 0.02) -> None:
    """Stall the running loop for a time, by a blocking callback."""
    active_time.clock()
    asyncio.get_running_loop().call_later(after_s, time.sleep, hold_s)
    await asyncio.sleep(after_s + hold_s)


def run_on(loop_name: str, work: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run the coroutine of a test on an event loop of the named kind."""
    with asyncio.Runner(loop_factory=LOOPS[loop_name]) as runner:
        return runner.run(asyncio.wait_for(work(), 30))


__all__ = ["LOOPS", "OtherLoop", "hold_up", "run_on"]
