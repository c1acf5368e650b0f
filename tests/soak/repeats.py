"""The sum of repeats over all entries while these restart in series and engines refuse."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from leadhollow.settings.node import Bounds
from tests.soak.programs import Program
from tests.soak.run import CALM_S, Verdict
from tests.soak.stream_callers import StreamCallers
from tests.soak.traffic import Operator
from tests.soak.world import World

REFUSED_SHARE = 0.7
BOUNDS = Bounds(retry_ratio=0.05, retry_slack=30.0)
SERVICE = "models"
LIFE_S = (2.0, 3.5)
CONTROL_LIFE_S = (8.0, 20.0)
SIGNALS = (signal.SIGKILL, signal.SIGKILL, signal.SIGKILL, signal.SIGTERM)


async def soak_repeats(*, seed: int, folder: Path, seconds: float) -> Verdict:
    """Play one seed for some seconds in which engines refuse and entries restart."""
    bounds = {"retry_ratio": BOUNDS.retry_ratio, "retry_slack": BOUNDS.retry_slack}
    world = World(seed=seed, folder=folder, bounds=bounds)
    callers = StreamCallers(world=world)
    operator = Operator(world=world)
    violations = []
    try:
        await world.start()
        if not await operator.change() or not await world.ready():
            violations = ["START the deployment did not become ready"]
        else:
            crowd = asyncio.create_task(callers.run())
            await asyncio.sleep(CALM_S)
            for engine in world.engines:
                engine.refused_share = REFUSED_SHARE
            await _restart(world, seconds)
            callers.asking = False
            crowd.cancel()
            await asyncio.gather(crowd, return_exceptions=True)
    finally:
        await world.stop()
    arrivals = world.ledger.arrivals
    sent_s = [told.sent_s for told in callers.told]
    return Verdict(
        seed=seed,
        faults=["entries restart while engines refuse"],
        asked=len(callers.told),
        served=sum(told.whole and told.status == 200 for told in callers.told),
        violations=violations + arrivals.judge(SERVICE, sent_s, BOUNDS),
        columns={"repeats": len(arrivals.repeats_s[SERVICE])},
    )


async def _restart(world: World, seconds: float) -> None:
    """Let each entry restart again and again, and control replicas now and then."""
    tasks = [
        asyncio.create_task(
            _restart_on(program, random.Random(f"{program.settings['vm']} {world.seed}"), pause_s)
        )
        for programs, pause_s in ((world.entries, LIFE_S), (world.cores, CONTROL_LIFE_S))
        for program in programs
    ]
    await asyncio.wait(tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result


async def _restart_on(program: Program, source: random.Random, life_s: tuple[float, float]) -> None:
    while True:
        await asyncio.sleep(source.uniform(*life_s))
        await program.end(source.choice(SIGNALS))
        program.start()


__all__ = ["soak_repeats"]
