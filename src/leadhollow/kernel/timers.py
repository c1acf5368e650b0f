"""Sleeps on an event loop whose timers have a resolution of one millisecond."""

from __future__ import annotations

import asyncio
import math

TIMER_RESOLUTION_S = 0.001
"""Resolution of the loop's timers and clock. The loop rounds timeouts to it, below half of it to
zero: a caller that sleeps for a shorter remainder spins 25 to 30 times until the clock advances."""


async def sleep_at_least(wait_s: float) -> None:
    """Sleep for `wait_s`, rounded up to the resolution of the loop's timers."""
    await asyncio.sleep(math.ceil(wait_s / TIMER_RESOLUTION_S) * TIMER_RESOLUTION_S)


__all__ = ["TIMER_RESOLUTION_S", "sleep_at_least"]
