"""What befalls streams from outside: series of holds, signals and changes that overlap."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable

from tests.soak import faults
from tests.soak.traffic import Operator
from tests.soak.world import World

HOLDS_S = (0.1, 0.5, 1.0, 2.0, 5.0)
BETWEEN_HOLDS_S = (0.2, 1.5)
BETWEEN_TABLES_S = (0.2, 1.0)
BETWEEN_VERSIONS_S = (2.0, 5.0)
BETWEEN_SIGNALS_S = (0.5, 2.5)
BETWEEN_FLEETS_S = (5.0, 9.0)
READER_STANDS_S = (1.0, 4.0)
CROWDED_S = 2.0
BUSY_PROCESSES = 4
PROCESSORS = 2  # that a crowded fleet shares with the busy processes
AFTER_CROWD_S = 1.0

Series = Callable[[World, Operator, random.Random], Awaitable[None]]

SIGNALS = (
    faults.kill_core,
    faults.freeze_core,
    faults.kill_entry,
    faults.stop_entry,
    faults.hang_up,
    faults.kill_stager,
)
ENGINE_FAULTS = (faults.crash_engine, faults.mute_engine, faults.cut_path, faults.reset_paths)


async def holds(world: World, operator: Operator, source: random.Random) -> None:
    """Entries are stopped and go on."""
    while True:
        entry = source.choice(world.entries)
        entry.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(source.choice(HOLDS_S))
        finally:
            entry.send(signal.SIGCONT)
        await asyncio.sleep(source.uniform(*BETWEEN_HOLDS_S))


async def tables(world: World, operator: Operator, source: random.Random) -> None:
    """Configurations come one after the other."""
    while True:
        await operator.change()
        await asyncio.sleep(source.uniform(*BETWEEN_TABLES_S))


async def versions(world: World, operator: Operator, source: random.Random) -> None:
    """New weights are named."""
    while True:
        await asyncio.sleep(source.uniform(*BETWEEN_VERSIONS_S))
        await operator.name_version()


async def signals(world: World, operator: Operator, source: random.Random) -> None:
    """Processes get signals, and start again."""
    while True:
        await asyncio.sleep(source.uniform(*BETWEEN_SIGNALS_S))
        await source.choice(SIGNALS)(world, operator)


async def engine_faults(world: World, operator: Operator, source: random.Random) -> None:
    """Backend servers crash and fall silent, and paths to them break."""
    while True:
        await asyncio.sleep(source.uniform(*BETWEEN_SIGNALS_S))
        await source.choice(ENGINE_FAULTS)(world, operator)


async def fleets(world: World, operator: Operator, source: random.Random) -> None:
    """All processes are killed, and start at once with their disks beside busy processes."""
    while True:
        await asyncio.sleep(source.uniform(*BETWEEN_FLEETS_S))
        await asyncio.gather(*(program.end() for program in world.programs))
        await crowded_start(world, source)


async def crowded_start(world: World, source: random.Random) -> None:
    """Start everything that is down at once, on few processors that others use as well."""
    processors = set(source.sample(sorted(os.sched_getaffinity(0)), PROCESSORS))
    down = [program for program in world.programs if not program.running]
    busy: list[subprocess.Popen[bytes]] = []
    try:
        for _ in range(BUSY_PROCESSES):
            busy.append(_busy(processors))
            await asyncio.sleep(0)
        for program in down:
            now_s = world.ledger.now_s()
            program.record.held.add(now_s, now_s + CROWDED_S + AFTER_CROWD_S)
            await asyncio.to_thread(program.start)
            program.confine(processors)
        await asyncio.sleep(CROWDED_S)
    finally:
        for process in busy:
            process.kill()
            process.wait()
        for program in down:
            program.confine(os.sched_getaffinity(0))


def _busy(processors: set[int]) -> subprocess.Popen[bytes]:
    process = subprocess.Popen([sys.executable, "-c", "while True: pass"])
    os.sched_setaffinity(process.pid, processors)
    return process


async def readers(world: World, operator: Operator, source: random.Random) -> None:
    """Whoever reads an entry's log stops for a while."""
    while True:
        await asyncio.sleep(source.uniform(*BETWEEN_SIGNALS_S))
        entry = source.choice(world.entries)
        entry.log_reader.stand_still()
        entry.record.unread.begin(world.ledger.now_s())
        try:
            await asyncio.sleep(source.uniform(*READER_STANDS_S))
        finally:
            entry.log_reader.go_on()
            entry.record.unread.end(world.ledger.now_s())


ALWAYS: tuple[Series, ...] = (tables,)
BY_CHANCE: tuple[Series, ...] = (holds, versions, signals, engine_faults, fleets, readers)

__all__ = ["ALWAYS", "BY_CHANCE", "Series"]
