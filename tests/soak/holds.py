"""Finds out when the soak itself, or an entry, had no processor though it wanted to run."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path

from tests.soak.programs import Program
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


async def watch_starved(programs: Sequence[Program]) -> None:
    """Note until cancelled when programs waited for a processor, as the kernel counts it."""
    waited_s = {program.vm: _waited_s(program) for program in programs}
    while True:
        await asyncio.sleep(HOLD_S)
        now_s = time.monotonic()
        for program in programs:
            before_s, waited_s[program.vm] = waited_s[program.vm], _waited_s(program)
            more_s = waited_s[program.vm] - before_s
            if more_s > HOLD_S / 2:
                program.record.held.add(now_s - more_s - 2 * HOLD_S, now_s)


def _waited_s(program: Program) -> float:
    """Give the time for which the main thread of a program was ready and did not run."""
    try:
        text = Path(f"/proc/{program.process_id}/schedstat").read_text()
    except OSError:
        return 0.0  # it ended
    return int(text.split()[1]) / 1e9


__all__ = ["watch_own_holds", "watch_starved"]
