"""Crowds of callers that do not behave, which come to entries and leave while faults go on."""

from __future__ import annotations

import asyncio
import contextlib
import random

from tests.hostile.crowds import ENTRY_CROWDS, Crowd
from tests.hostile.deployment import Watch
from tests.soak.world import World

MEMORY_MB = 96
CROWD = (20, 120)
STAY_S = (0.5, 3.0)
PAUSE_S = (0.1, 1.0)


class Crowds:
    """Lets crowds of one kind or of several come to one entry after the other.

    The choices are of another source than those of faults, so that a seed keeps its faults.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._random = random.Random(f"crowds {world.seed}")
        self._peaks_mb: dict[str, float] = {}
        for entry in world.entries:
            entry.settings["memory_mb"] = MEMORY_MB

    async def run(self) -> None:
        """Let crowds come and leave until cancelled."""
        while True:
            entry = self._random.choice(self._world.entries)
            kinds = self._random.sample(sorted(ENTRY_CROWDS), k=self._random.choice((1, 3)))
            behaviours = [
                ENTRY_CROWDS[self._random.choice(kinds)]
                for _ in range(self._random.randint(*CROWD))
            ]
            crowd = Crowd(address=str(entry.settings["callers"]), behaviours=behaviours)
            watch = Watch(entry.process_id)
            sampling = asyncio.create_task(watch.run())
            try:
                await crowd.stay(self._random.uniform(*STAY_S))
            finally:
                await crowd.leave()
                sampling.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await sampling
                self._peaks_mb[entry.vm] = max(self._peaks_mb.get(entry.vm, 0.0), watch.peak_mb)
            await asyncio.sleep(self._random.uniform(*PAUSE_S))

    def judge(self) -> list[str]:
        """Name the entries that took more memory than their VM has."""
        return [
            f"MEMORY {vm} took {peak_mb:.0f} MB of {MEMORY_MB}"
            for vm, peak_mb in self._peaks_mb.items()
            if peak_mb >= MEMORY_MB
        ]

    @property
    def peak_mb(self) -> float:
        """Highest memory of any entry."""
        return max(self._peaks_mb.values(), default=0.0)


__all__ = ["Crowds"]
