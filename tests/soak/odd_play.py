"""One run of the soak with odd answers: who got a success that no server had given?"""

from __future__ import annotations

import asyncio
import contextlib
from http import HTTPStatus
from pathlib import Path

from tests.soak.faults import freeze_entry, kill_entry
from tests.soak.ledger import Ledger
from tests.soak.odd_bytes import OddBytes
from tests.soak.run import CALM_S, Verdict, judge_end, recover
from tests.soak.traffic import Callers, Operator
from tests.soak.world import World

FAULTS = (freeze_entry, kill_entry)


async def soak_odd(*, seed: int, folder: Path, seconds: float) -> Verdict:
    """Play one seed for some seconds, in which an entry stands still and one dies."""
    world = World(seed=seed, folder=folder)
    operator, callers, ledger = Operator(world=world), Callers(world=world), world.ledger
    all_odd = [OddBytes(seed=f"odd {seed} {proxy.host}") for proxy in world.proxies[:-1]]
    for proxy, odd in zip(world.proxies, all_odd, strict=False):
        proxy.odd = odd
    try:
        await world.start()
        if not await operator.change() or not await world.ready():
            ledger.break_rule("START the deployment did not become ready")
        else:
            await _play(world, operator, callers, all_odd, seconds)
    finally:
        await world.stop()
    _excuse(ledger, set().union(*(odd.odd for odd in all_odd)))
    counts = sum((odd.counts for odd in all_odd[1:]), all_odd[0].counts)
    return Verdict(
        seed=seed,
        faults=[fault.__name__ for fault in FAULTS],
        asked=len(ledger.told),
        served=sum(told.status == HTTPStatus.OK for told in ledger.told),
        violations=ledger.judge() + _judge_failed(ledger, all_odd),
        columns=dict(counts),
    )


async def _play(
    world: World, operator: Operator, callers: Callers, all_odd: list[OddBytes], seconds: float
) -> None:
    asking = asyncio.create_task(callers.run())
    try:
        await asyncio.sleep(CALM_S)
        for fault in FAULTS:
            world.ledger.disturb()
            await fault(world, operator)
            world.ledger.disturb()
            await asyncio.sleep(seconds / len(FAULTS))
        for odd in all_odd:
            odd.active = False
        for backend in (*world.engines, *world.services):
            backend.proxy.reset()  # what was sent oddly before is none of the recovery's
        await recover(world, callers)
    finally:
        asking.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asking
    await judge_end(world, operator)


def _excuse(ledger: Ledger, odd: set[str]) -> None:
    """Expect no delivery of the answers that were odd."""
    for runs in ledger.runs.values():
        for run in runs:
            if f"{run.request}/{run.instance}" in odd:
                run.ended_s = run.cut_s = None


def _judge_failed(ledger: Ledger, all_odd: list[OddBytes]) -> list[str]:
    """Judge that no success came of a server that had answered the request with a failure."""
    failed = set().union(*(odd.failed for odd in all_odd))
    return [
        f"FOREIGN {told.request}: a success of {told.signature}, which failed"
        for told in ledger.told
        if told.status == HTTPStatus.OK and told.signature in failed
    ]


__all__ = ["soak_odd"]
