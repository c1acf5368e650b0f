"""A second event loop on a thread: what runs there goes on while the loop of a test is held up."""

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
    """Runs coroutines elsewhere; entered and left by the thread that tests run on."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> OtherLoop:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.run(self._end_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Give the outcome of some work; the caller's own loop stands still meanwhile."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(timeout=30)

    async def _end_all(self) -> None:
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)


async def hold_up(hold_s: float, *, after_s: float = 0.02) -> None:
    """Keep the running loop from going round for a time, in a callback of its own."""
    active_time.clock()
    asyncio.get_running_loop().call_later(after_s, time.sleep, hold_s)
    await asyncio.sleep(after_s + hold_s)


def run_on(loop_name: str, work: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a test's work on a loop of a kind."""
    with asyncio.Runner(loop_factory=LOOPS[loop_name]) as runner:
        return runner.run(asyncio.wait_for(work(), 30))


__all__ = ["LOOPS", "OtherLoop", "hold_up", "run_on"]
