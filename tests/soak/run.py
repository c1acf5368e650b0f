"""One run of the soak: load, a few faults by the seed's choice, recovery, judgement."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

from tests.soak.crowds import Crowds
from tests.soak.engine_stage import disturb_stages
from tests.soak.evacuations import Evacuations
from tests.soak.faults import FAULTS, Fault
from tests.soak.traffic import Callers, Operator
from tests.soak.world import World

CALM_S = 1.0
GAP_S = (0.2, 1.5)
LIMIT_S = 7.0  # how long an engine names a limit
REST_S = 2.5  # how long an engine turns everything away
RECOVERY_S = 12.0
PROBES = 8  # requests of each kind by which recovery is judged
SERVED_SHARE = 0.9


class Verdict:
    """What one run showed."""

    __slots__ = ("asked", "columns", "faults", "seed", "served", "violations")

    def __init__(
        self,
        *,
        seed: int,
        faults: list[str],
        asked: int,
        served: int,
        violations: list[str],
        columns: dict[str, int],
    ) -> None:
        self.seed = seed
        self.faults = faults
        self.asked = asked
        self.served = served
        self.violations = violations
        self.columns = columns


async def soak(
    *,
    seed: int,
    folder: Path,
    faults: int,
    stages: bool = False,
    evacuates: bool = False,
    crowds: bool = False,
) -> Verdict:
    """Play one seed.

    Parameters
    ----------
    stages
        Whether pieces turn bad, load orders come late and stagers stand still besides.
    evacuates
        Whether failure domains are evacuated and restored besides.
    crowds
        Whether callers that do not behave come in crowds besides.
    """
    world = World(seed=seed, folder=folder)
    operator = Operator(world=world)
    hostile = Crowds(world=world) if crowds else None
    evacuations = Evacuations(world=world, operator=operator) if evacuates else None
    callers = Callers(world=world)
    chosen: list[Fault] = [world.random.choice(FAULTS) for _ in range(faults)]
    ledger = world.ledger
    try:
        await world.start()
        if not await operator.change() or not await world.ready():
            ledger.break_rule("START the deployment did not become ready")
        else:
            await _play(
                world,
                operator,
                callers,
                chosen,
                stages=stages,
                evacuations=evacuations,
                crowds=hostile,
            )
    finally:
        await world.stop()
    served = sum(told.status == 200 for told in ledger.told)
    return Verdict(
        seed=seed,
        faults=[fault.__name__ for fault in chosen],
        asked=len(ledger.told),
        served=served,
        violations=ledger.judge()
        + (evacuations.judge() if evacuations else [])
        + (hostile.judge() if hostile else []),
        columns=ledger.columns(),
    )


async def _play(
    world: World,
    operator: Operator,
    callers: Callers,
    chosen: list[Fault],
    *,
    stages: bool,
    evacuations: Evacuations | None,
    crowds: Crowds | None,
) -> None:
    ledger = world.ledger
    disturbances = [asyncio.create_task(_report_of_themselves(world))]
    if stages:
        disturbances.append(asyncio.create_task(disturb_stages(world, operator)))
    if evacuations is not None:
        disturbances.append(asyncio.create_task(evacuations.run()))
    if crowds is not None:
        disturbances.append(asyncio.create_task(crowds.run()))
    background = [
        *disturbances,
        asyncio.create_task(callers.run()),
        asyncio.create_task(operator.keep_reading()),
    ]
    try:
        await asyncio.sleep(CALM_S)
        for fault in chosen:
            ledger.disturb()
            await fault(world, operator)
            ledger.disturb()
            await asyncio.sleep(world.random.uniform(*GAP_S))
        await _leave_by_answers(world)
        for disturbance in disturbances:
            disturbance.cancel()
        if evacuations is not None:
            await evacuations.restore()
        if not await operator.change(patience_s=RECOVERY_S):
            ledger.break_rule("RECOVER no edit is acknowledged")
        await recover(world, callers)
    finally:
        for task in background:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
    await judge_end(world, operator)


async def judge_end(world: World, operator: Operator) -> None:
    """Note processes that ended by themselves, and a configuration that was lost."""
    ledger = world.ledger
    for program in world.programs:
        if not program.running:
            ledger.break_rule(f"ENDED {program.vm} ended by itself")
    newest = ledger.acknowledged(ledger.now_s())
    if not await _read_back(operator, newest):
        ledger.break_rule(f"LOST configuration {newest} cannot be read back")


async def _report_of_themselves(world: World) -> None:
    """Let engines limit what they take, and ask for rest, while faults go on."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_name_limits(world))
        group.create_task(_want_rest(world))


async def _leave_by_answers(world: World) -> None:
    """Let an engine leave that nobody but its own answers tells of."""
    source = random.Random(f"leaves {world.seed}")
    await source.choice(world.engines).leave_by_answers()


async def _want_rest(world: World) -> None:
    """Let one engine after the other turn everything away for a while."""
    source = random.Random(f"rests {world.seed}")
    while True:
        await asyncio.sleep(source.uniform(0.5, 3.0))
        engine = source.choice(world.engines)
        engine.rest_s = source.choice([0.05, 0.8, 2.0])
        try:
            await asyncio.sleep(REST_S)
        finally:
            engine.rest_s = None


async def _name_limits(world: World) -> None:
    """Let one engine after the other limit what it takes, while faults go on.

    The choices are of another source than those of faults, so that a seed keeps its faults.
    """
    source = random.Random(f"limits {world.seed}")
    while True:
        engine = source.choice(world.engines)
        engine.name_limit(source.choice([0.2, 1.0, 1.3, 3.0]))
        limit = engine.limit
        try:
            await asyncio.sleep(LIMIT_S)
        finally:
            if engine.limit is limit:
                engine.name_limit(None)
        await asyncio.sleep(source.uniform(0.2, 2.0))


async def recover(world: World, callers: Callers) -> None:
    deadline_s = world.ledger.now_s() + RECOVERY_S
    while await callers.served_share(PROBES) < SERVED_SHARE:
        if world.ledger.now_s() > deadline_s:
            world.ledger.break_rule("RECOVER too few requests are served")
            return
        await asyncio.sleep(0.2)


async def _read_back(operator: Operator, newest: int) -> bool:
    for _ in range(20):
        if await operator.read() >= newest:
            return True
        await asyncio.sleep(0.2)
    return False


__all__ = ["CALM_S", "RECOVERY_S", "Verdict", "judge_end", "recover", "soak"]
