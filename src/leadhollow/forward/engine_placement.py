"""Waits for the places that the queue gives to requests."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.engine_queue import EngineQueue, Waiter
from leadhollow.decide.engine_request import EngineRequest, Placement
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import deadline_at


async def wait_for_placement(queue: EngineQueue, wish: EngineRequest) -> Result[Placement, Failure]:
    """Find a place for a request, or refuse it in time.

    Errors
    ------
    NO_CAPACITY
        No engine can answer in time; nothing was sent.
    """
    waiter = queue.submit(wish)
    try:
        while not waiter.ended:
            await _wait(queue, waiter)
    except asyncio.CancelledError:
        queue.withdraw(waiter)
        raise
    if waiter.placement is None:
        return Err(Failure(code=Code.NO_CAPACITY))
    return Ok(waiter.placement)


async def _wait(queue: EngineQueue, waiter: Waiter) -> None:
    """Wait for an end, or for the time at which the queue looks at the request again."""
    ended = asyncio.Event()
    waiter.on_end = ended.set
    try:
        async with deadline_at(waiter.deadline_s):
            await ended.wait()
    except TimeoutError:
        queue.on_deadline(waiter)  # it may have ended in the same turn of the loop


__all__ = ["wait_for_placement"]
