"""What befalls the processes: holds, log readers that stand still, restarts of all at once."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

from tests.at_size.timeline import Befell, Span
from tests.at_size.world import SizedWorld

HOLD_S = (0.5, 2.0)
BETWEEN_HOLDS_S = (0.5, 2.5)
LOG_BLOCKED_S = (3.0, 8.0)
BETWEEN_BLOCKS_S = (2.0, 8.0)
LOOK_S = 0.5
STARVED_S = 0.5  # of processor time that was missing between two looks


async def hold_entries(world: SizedWorld) -> None:
    """Stop one entry after the other for a while, until cancelled."""
    source = random.Random(f"holds {world.seed}")
    while True:
        await asyncio.sleep(source.uniform(*BETWEEN_HOLDS_S))
        entry = source.choice(world.entries)
        if world.timeline.down(entry.vm):
            continue
        span = world.timeline.note(entry.vm, Befell.HOLD)
        entry.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(source.uniform(*HOLD_S))
        finally:
            entry.send(signal.SIGCONT)
            span.end()


async def block_logs(world: SizedWorld) -> None:
    """Let the reader of one log after the other stand still, until cancelled."""
    source = random.Random(f"logs {world.seed}")
    while True:
        await asyncio.sleep(source.uniform(*BETWEEN_BLOCKS_S))
        pipe = source.choice(world.pipes)
        span = world.timeline.note(pipe.vm, Befell.LOG_BLOCKED)
        pipe.pause()
        try:
            await asyncio.sleep(source.uniform(*LOG_BLOCKED_S))
        finally:
            pipe.resume()
            span.end()


async def watch_starving(world: SizedWorld) -> None:
    """Note where the machine gave entries no processor, until cancelled."""
    waited_s = {entry.vm: 0.0 for entry in world.entries}
    while True:
        for entry in world.entries:
            now_s, before_s = time.monotonic(), waited_s[entry.vm]
            waited_s[entry.vm] = entry.waited_s()
            more_s = waited_s[entry.vm] - before_s
            if more_s >= STARVED_S:
                span = Span(kind=Befell.STARVED, from_s=now_s - more_s - LOOK_S, to_s=now_s)
                world.timeline.add(entry.vm, span)
        await asyncio.sleep(LOOK_S)


@contextmanager
def busy_processes(count: int) -> Iterator[None]:
    """Keep processors busy meanwhile."""
    command = [sys.executable, "-S", "-c", "while True: pass"]
    running = [subprocess.Popen(command) for _ in range(count)]
    try:
        yield
    finally:
        for process in running:
            process.kill()
            process.wait()


class Lag:
    """How late the loop of callers and engines itself is.

    Attributes
    ----------
    longest_s
        Most that it was.
    """

    LOOK_S = 0.02

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def watch(self) -> None:
        """Look until cancelled."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(self.LOOK_S)
            self.longest_s = max(self.longest_s, time.monotonic() - began_s - self.LOOK_S)


__all__ = ["Lag", "block_logs", "busy_processes", "hold_entries", "watch_starving"]
