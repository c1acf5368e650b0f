"""What befalls the deployment, from outside: signals, disks, paths, backend servers."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from tests.soak.proxy import Path
from tests.soak.traffic import Operator
from tests.soak.world import World

Fault = Callable[[World, Operator], Awaitable[None]]

CATCH_UP_S = 4.0
"""A replica without its disk counts as lost for so long after it is back; of three voters no second
one can lose its disk meanwhile without the loss of what was acknowledged."""


async def kill_core(world: World, operator: Operator) -> None:
    """A control replica dies and comes back."""
    core = world.random.choice(world.cores)
    await core.end()
    await asyncio.sleep(world.random.uniform(0.2, 1.5))
    core.start()


async def wipe_core(world: World, operator: Operator) -> None:
    """A control replica loses its disk right after something was acknowledged."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, world.disk_back_s + CATCH_UP_S - loop.time()))
    await operator.change()
    core = world.random.choice(world.cores)
    await core.end()
    core.wipe()
    await asyncio.sleep(world.random.uniform(0.2, 1.0))
    core.start()
    world.disk_back_s = loop.time()


async def kill_all_cores(world: World, operator: Operator) -> None:
    """All control replicas die at once."""
    await operator.change()
    await asyncio.gather(*(core.end() for core in world.cores))
    for core in world.cores:
        core.start()


async def freeze_core(world: World, operator: Operator) -> None:
    """A control replica stands still."""
    core = world.random.choice(world.cores)
    core.send(signal.SIGSTOP)
    await asyncio.sleep(world.random.uniform(1.0, 2.5))
    core.send(signal.SIGCONT)


async def fill_disk(world: World, operator: Operator) -> None:
    """A disk takes no more bytes for a while, with an edit meanwhile."""
    core = world.random.choice(world.cores)
    core.fill_disk(True)
    await operator.change()
    await asyncio.sleep(world.random.uniform(0.5, 1.5))
    core.fill_disk(False)


async def kill_entry(world: World, operator: Operator) -> None:
    """An entry dies and comes back."""
    entry = world.random.choice(world.entries)
    await entry.end()
    await asyncio.sleep(world.random.uniform(0.1, 1.0))
    entry.start()


async def freeze_entry(world: World, operator: Operator) -> None:
    """An entry stands still."""
    entry = world.random.choice(world.entries)
    entry.send(signal.SIGSTOP)
    await asyncio.sleep(world.random.uniform(0.5, 2.0))
    entry.send(signal.SIGCONT)


async def stop_entry(world: World, operator: Operator) -> None:
    """An entry is stopped as planned and started again."""
    entry = world.random.choice(world.entries)
    if not await entry.end(signal.SIGTERM):
        world.ledger.break_rule(f"LOST {entry.vm} did not end by itself")
    entry.start()


async def hang_up(world: World, operator: Operator) -> None:
    """Settings are read again."""
    for program in world.programs:
        if program.begun:
            program.send(signal.SIGHUP)


async def kill_stager(world: World, operator: Operator) -> None:
    """A stager dies in the midst of a version."""
    await operator.name_version()
    stager = world.random.choice(world.stagers)
    await stager.end()
    await asyncio.sleep(world.random.uniform(0.1, 1.0))
    stager.start()


async def new_version(world: World, operator: Operator) -> None:
    """A version is named while the origin is away or spoils what it sends."""
    world.origin.spoils = world.random.choice([0.0, 0.2])
    world.origin.away = world.random.random() < 0.3
    await operator.name_version()
    await asyncio.sleep(1.0)
    world.origin.away = False
    world.origin.spoils = 0.0


async def crash_engine(world: World, operator: Operator) -> None:
    """An engine dies in the midst of its streams, and starts anew without weights."""
    engine = world.random.choice(world.engines)
    await engine.stop()
    engine.proxy.reset()
    await asyncio.sleep(world.random.uniform(0.1, 1.0))
    await engine.start()


async def drain_service(world: World, operator: Operator) -> None:
    """A service leaves as announced, and another incarnation comes at its address."""
    service = world.random.choice(world.services)
    await service.leave()
    await service.start()


async def mute_engine(world: World, operator: Operator) -> None:
    """A backend server takes requests and answers none."""
    backend = world.random.choice([*world.engines, *world.services])
    backend.mute = True
    await asyncio.sleep(world.random.uniform(0.5, 2.0))
    backend.mute = False


async def cut_path(world: World, operator: Operator) -> None:
    """The path to a backend server goes silent, or slow."""
    proxy = world.random.choice(world.proxies)
    proxy.path = world.random.choice([Path.CUT, Path.SLOW])
    await asyncio.sleep(world.random.uniform(0.5, 2.5))
    proxy.path = Path.OPEN


async def reset_paths(world: World, operator: Operator) -> None:
    """All connections to some backend servers are reset."""
    for proxy in world.random.sample(world.proxies, 3):
        proxy.reset()


async def race(world: World, operator: Operator) -> None:
    """Edits come in quick succession."""
    for _ in range(5):
        await operator.change()


FAULTS: tuple[Fault, ...] = (
    kill_core,
    wipe_core,
    kill_all_cores,
    freeze_core,
    fill_disk,
    kill_entry,
    freeze_entry,
    stop_entry,
    hang_up,
    kill_stager,
    new_version,
    crash_engine,
    drain_service,
    mute_engine,
    cut_path,
    reset_paths,
    race,
)

__all__ = ["FAULTS", "Fault"]
