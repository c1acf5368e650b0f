"""Finds out when the soak itself did not run: what it saw afterwards may have been there before."""

from __future__ import annotations

import asyncio
import time

from tests.soak.spans import Spans

TICK_S = 0.02
HOLD_S = 0.1  # longer gaps between two ticks count


async def watch_own_holds(holds: Spans) -> None:
    """Note holds of the running loop until cancelled."""
    before_s = time.monotonic()
    while True:
        await asyncio.sleep(TICK_S)
        now_s = time.monotonic()
        if now_s - before_s > HOLD_S:
            holds.add(before_s, now_s)
        before_s = now_s


__all__ = ["watch_own_holds"]
