"""Waits until the queue has placed a request at an engine or refused it."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.decide.engine_request import EngineRequest, Placement
from leadhollow.decide.waiter import Waiter
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import deadline_at


async def wait_for_placement(
    queue: EngineQueue, request: EngineRequest
) -> Result[Placement, Failure]:
    """Submit a request to the queue and wait until it is placed or refused.

    Errors
    ------
    NO_CAPACITY
        No engine can respond in time; nothing was sent.
    DOMAIN_EVACUATED, OUTSIDE_REGIONS
        No engine may take the request; nothing was sent.
    """
    waiter = queue.submit(request)
    try:
        while not waiter.ended:
            await _wait(queue, waiter)
    except asyncio.CancelledError:
        queue.withdraw(waiter)
        raise
    if waiter.placement is None:
        return Err(Failure(code=waiter.out_of_reach or Code.NO_CAPACITY))
    return Ok(waiter.placement)


async def _wait(queue: EngineQueue, waiter: Waiter) -> None:
    """Wait until the request is placed or refused, or the queue has to check it again."""
    ended = asyncio.Event()
    waiter.on_end = ended.set
    try:
        async with deadline_at(waiter.deadline_s):
            await ended.wait()
    except TimeoutError:
        queue.on_deadline(waiter)  # the waiter may have ended in the same iteration of the loop


__all__ = ["wait_for_placement"]
