"""The stage of a stand-in of an engine: its pieces, which may turn bad, and late orders."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from tests.soak.weights import PIECES, piece

if TYPE_CHECKING:
    from tests.soak.backend import Backend
    from tests.soak.traffic import Operator
    from tests.soak.world import World

DAMAGE_TOLERANCE_S = 3.0


class EngineStage:
    """Pieces that are staged at an engine.

    Parameters
    ----------
    now_s
        Returns the time of the run.

    Attributes
    ----------
    late_order_s
        Delay after which each order is accepted, and has no answer; 0 for none.
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._pieces: dict[int, bytes] = {}
        self._damaged_s: dict[int, float] = {}
        self.late_order_s = 0.0

    def fill(self, version: int) -> None:
        """Stage all pieces of a version."""
        for index in range(PIECES):
            self.put(index, piece(version, index))

    def held(self) -> list[int]:
        return sorted(self._pieces)

    def get(self, index: int) -> bytes | None:
        return self._pieces.get(index)

    def put(self, index: int, data: bytes) -> None:
        self._pieces[index] = data
        self._damaged_s.pop(index, None)

    def damage(self, index: int) -> None:
        """Let a piece turn bad."""
        if index in self._pieces and index not in self._damaged_s:
            self._pieces[index] = b"damaged"
            self._damaged_s[index] = self._now_s()

    def clear(self) -> None:
        """Lose all pieces, as by a loss of power."""
        self._pieces.clear()
        self._damaged_s.clear()

    def wrong_pieces(self, version: int) -> list[int]:
        """Return the pieces that are missing or of another version."""
        return [
            index
            for index in range(PIECES)
            if index not in self._damaged_s and self._pieces.get(index) != piece(version, index)
        ]

    def damaged_pieces(self) -> list[int]:
        """Return the pieces that have been damaged for longer than an engine tolerates."""
        now_s = self._now_s()
        return [
            index
            for index, since_s in self._damaged_s.items()
            if now_s - since_s > DAMAGE_TOLERANCE_S
        ]


async def disturb_stages(world: World, operator: Operator) -> None:
    """Let pieces turn bad, orders come late and stagers stand still, while versions are named."""
    source = random.Random(f"stages {world.seed}")
    async with asyncio.TaskGroup() as group:
        group.create_task(_name_versions(source, operator))
        group.create_task(_delay_orders(source, world.engines))
        group.create_task(_damage_pieces(source, world.engines))
        group.create_task(_hold_stagers(source, world))


async def _name_versions(source: random.Random, operator: Operator) -> None:
    while True:
        await asyncio.sleep(source.uniform(0.5, 3.0))
        await operator.name_version()


async def _delay_orders(source: random.Random, engines: list[Backend]) -> None:
    while True:
        engine = source.choice(engines)
        engine.stage.late_order_s = source.uniform(1.0, 4.0)
        try:
            await asyncio.sleep(source.uniform(0.5, 3.0))
        finally:
            engine.stage.late_order_s = 0.0


async def _damage_pieces(source: random.Random, engines: list[Backend]) -> None:
    while True:
        await asyncio.sleep(source.uniform(0.05, 0.5))
        source.choice(engines).stage.damage(source.randrange(PIECES))


async def _hold_stagers(source: random.Random, world: World) -> None:
    while True:
        await asyncio.sleep(source.uniform(1.0, 4.0))
        stager = source.choice(world.stagers)
        await stager.hold(source.uniform(0.1, 5.0))


__all__ = ["EngineStage", "disturb_stages"]
