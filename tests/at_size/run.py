"""One run: all processes started at once, streams all the while, restarts of everything."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NamedTuple

from tests.at_size.callers import Callers
from tests.at_size.disturbances import Lag, block_logs, busy_processes, hold_entries, watch_starving
from tests.at_size.operating import SizedOperator
from tests.at_size.report import figures
from tests.at_size.world import Size, SizedWorld
from tests.soak.programs import Program

SERVES_WITHIN_S = 60.0
RESTARTS = ((0.3, False), (0.65, True))


class Plan(NamedTuple):
    """What is played.

    Attributes
    ----------
    busy
        Processes beside that use all the processor time they get.
    holds, logs
        Whether these befall the processes.
    restarts
        At which parts of the time all processes end and start, and whether they may stop.
    """

    size: Size = Size()
    seconds: float = 180.0
    rate_per_s: float = 60.0
    busy: int = 12
    holds: bool = True
    logs: bool = True
    restarts: tuple[tuple[float, bool], ...] = RESTARTS


async def play(*, seed: int, folder: Path, plan: Plan) -> dict[str, object]:
    """Play one seed; gives its figures."""
    world = SizedWorld(seed=seed, folder=folder, size=plan.size)
    callers = Callers(world=world, rate_per_s=plan.rate_per_s)
    lag = Lag()
    starts_s: list[float | None] = []
    with busy_processes(plan.busy):
        try:
            operator = SizedOperator(world=world)
            began_s = time.monotonic()
            await world.start()
            await operator.change(patience_s=SERVES_WITHIN_S)
            starts_s.append(await _all_serve(world, callers, began_s))
            if starts_s[0] is None:
                world.ledger.break_rule("START not all entries serve")
            else:
                await _befall(world, callers, operator, lag, plan, starts_s)
        finally:
            await world.stop()
    return {
        "seed": seed,
        "seconds": plan.seconds,
        "start_until_all_serve_s": starts_s,
        "own_lag_s": round(lag.longest_s, 3),
        **figures(world, callers.streams),
    }


async def _befall(
    world: SizedWorld,
    callers: Callers,
    operator: SizedOperator,
    lag: Lag,
    plan: Plan,
    starts_s: list[float | None],
) -> None:
    beside: list[Coroutine[Any, Any, None]] = [
        lag.watch(),
        watch_starving(world),
        operator.keep_changing(),
        operator.keep_naming(),
    ]
    if plan.holds:
        beside.append(hold_entries(world))
    if plan.logs:
        beside.append(block_logs(world))
    tasks = [asyncio.create_task(each) for each in beside]
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.run(plan.seconds))
            group.create_task(_restart(world, callers, plan, starts_s))
    finally:
        for task in tasks:
            task.cancel()
        for ended in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(ended, Exception):
                world.ledger.break_rule(f"OWN {ended!r}")
    for program in world.programs:
        if not program.running:
            world.ledger.break_rule(f"ENDED {program.vm} ended by itself")


async def _restart(
    world: SizedWorld, callers: Callers, plan: Plan, starts_s: list[float | None]
) -> None:
    began_s = time.monotonic()
    for part, gracefully in plan.restarts:
        await asyncio.sleep(max(0.0, began_s + part * plan.seconds - time.monotonic()))
        await world.restart(gracefully=gracefully)
        starts_s.append(await _all_serve(world, callers, time.monotonic()))


async def _all_serve(world: SizedWorld, callers: Callers, began_s: float) -> float | None:
    """Wait until each entry has passed a whole stream on; gives the time since the start."""

    async def until_serves(entry: Program) -> None:
        while not await callers.serves(entry):
            await asyncio.sleep(0.1)

    try:
        async with asyncio.timeout(SERVES_WITHIN_S):
            await asyncio.gather(*(until_serves(entry) for entry in world.entries))
    except TimeoutError:
        return None
    return round(time.monotonic() - began_s, 2)


__all__ = ["RESTARTS", "Plan", "play"]
