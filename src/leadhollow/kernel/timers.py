"""Waiting for what is left of a time, on an event loop whose timers know whole milliseconds."""

from __future__ import annotations

import asyncio
import math

TIMER_RESOLUTION_S = 0.001
"""Step of the loop's timers and of its clock. A shorter wait is rounded, to none at all below half
of it: who then looks whether the time has come goes round without waiting, 25 to 30 times for each
such rest, until the clock has made its next step."""


async def sleep_at_least(wait_s: float) -> None:
    """Sleep for a time, rounded up to a whole step of the loop's timers."""
    await asyncio.sleep(math.ceil(wait_s / TIMER_RESOLUTION_S) * TIMER_RESOLUTION_S)


__all__ = ["TIMER_STEP_S", "sleep_at_least"]
