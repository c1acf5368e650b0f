"""Evacuations of failure domains while faults go on, and the judgement of what is sent there."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from typing import TYPE_CHECKING

from tests.soak.ledger import IN_FORCE_S, Ledger, Run

if TYPE_CHECKING:
    from tests.soak.traffic import Operator
    from tests.soak.world import World

PATIENCE_S = 30.0


class Evacuation:
    """One failure domain from the acknowledgement of its evacuation to the order to restore it.

    Attributes
    ----------
    restored_s
        When the operator first sent the order to restore it; None before.
    """

    __slots__ = ("acknowledged_s", "backends", "domain", "restored_s")

    def __init__(self, *, domain: str, backends: Iterable[str], acknowledged_s: float) -> None:
        self.domain = domain
        self.backends = tuple(f"i-{name}-" for name in backends)
        self.acknowledged_s = acknowledged_s
        self.restored_s: float | None = None

    def judge(self, runs: Iterable[Run], ledger: Ledger) -> list[str]:
        """Give the requests that began there while it was in force."""
        end_s = float("inf") if self.restored_s is None else self.restored_s
        return [
            f"EVACUATED {run.request}: began at {run.instance} "
            f"{run.began_s - self.acknowledged_s:.2f} s after {self.domain} was evacuated"
            for run in runs
            if run.instance.startswith(self.backends)
            and self.acknowledged_s + IN_FORCE_S < run.began_s < end_s
            and ledger.calm(run.began_s)
        ]


class Evacuations:
    """Evacuates one failure domain after the other, and restores each."""

    def __init__(self, *, world: World, operator: Operator) -> None:
        self._world = world
        self._operator = operator
        self._random = random.Random(f"evacuations {world.seed}")
        self._made: list[Evacuation] = []

    async def run(self) -> None:
        """Evacuate and restore until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(0.2, 1.0))
            await self._evacuate(self._random.choice(sorted(self._backends())))
            await asyncio.sleep(self._random.uniform(1.0, 5.0))
            await self.restore()

    async def restore(self) -> None:
        """Restore what is evacuated, or may be."""
        for domain in self._backends():
            for evacuation in self._made:
                if evacuation.domain == domain and evacuation.restored_s is None:
                    evacuation.restored_s = self._world.ledger.now_s()
            await self._order("DELETE", domain)

    def judge(self) -> list[str]:
        """Give every request that began where it must not."""
        ledger = self._world.ledger
        runs = [run for found in ledger.runs.values() for run in found]
        return [text for made in self._made for text in made.judge(runs, ledger)]

    async def _evacuate(self, domain: str) -> None:
        if not await self._order("POST", domain):
            return
        evacuation = Evacuation(
            domain=domain,
            backends=self._backends()[domain],
            acknowledged_s=self._world.ledger.now_s(),
        )
        self._made.append(evacuation)

    async def _order(self, method: str, domain: str) -> bool:
        return await self._operator.insist(method, f"/-/evacuations/{domain}", b"", PATIENCE_S)

    def _backends(self) -> dict[str, list[str]]:
        """Give the names of the backend servers of each failure domain."""
        found: dict[str, list[str]] = {}
        for backend in (*self._world.engines, *self._world.services):
            found.setdefault(backend.zone, []).append(backend.name)
        return found


__all__ = ["Evacuation", "Evacuations"]
