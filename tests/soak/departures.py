"""Servers whose departure a control replica acknowledges and is killed in that moment."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import aiohttp

from tests.soak.backend import DRAIN_S, Backend
from tests.soak.programs import Program
from tests.soak.run import CALM_S, Verdict
from tests.soak.traffic import Callers, Operator
from tests.soak.world import World

ROUNDS = 3
SERVES_ON_S = 4.0  # how long a server goes on after it deregistered, beyond the time to drain
BACK_S = 2.0


async def soak_departures(*, seed: int, folder: Path) -> Verdict:
    """Play one seed: engines deregister and serve on, each replica that says yes is killed."""
    world = World(seed=seed, folder=folder)
    callers = Callers(world=world)
    violations = []
    late = 0
    try:
        await world.start()
        if not await Operator(world=world).change() or not await world.ready():
            violations = ["START the deployment did not become ready"]
        else:
            crowd = asyncio.create_task(callers.run())
            await asyncio.sleep(CALM_S)
            source = random.Random(seed)
            for _ in range(ROUNDS):
                engine, core = source.choice(world.engines), source.choice(world.cores)
                late += await _depart(world, engine, core)
            crowd.cancel()
            await asyncio.gather(crowd, return_exceptions=True)
    finally:
        await world.stop()
    if late:
        violations.append(f"DRAIN {late} requests began later than {DRAIN_S} s after the yes")
    told = world.ledger.told
    return Verdict(
        seed=seed,
        faults=["replicas are killed as they acknowledge a departure"],
        asked=len(told),
        served=sum(each.status == 200 for each in told),
        violations=violations,
        columns={"begun after a departure": late},
    )


async def _depart(world: World, engine: Backend, core: Program) -> int:
    """Let an engine deregister at a replica; return how many requests began there too late."""
    instance = engine.instance
    engine.stop_beating()
    if not await _deregister(instance, str(core.settings["operators"])):
        return 0  # the replica said no, so the engine asks another one
    await core.end()
    acknowledged_s = world.ledger.now_s()
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    late = sum(
        run.instance == instance and run.began_s > acknowledged_s + DRAIN_S
        for runs in world.ledger.runs.values()
        for run in runs
    )
    await engine.stop()
    await engine.start()
    core.start()
    await asyncio.sleep(BACK_S)
    return late


async def _deregister(instance: str, control: str) -> bool:
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            async with session.delete(f"http://{control}/-/instances/{instance}") as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


__all__ = ["soak_departures"]
