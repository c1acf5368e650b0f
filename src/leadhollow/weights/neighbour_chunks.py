"""Selects the chunks to request from a neighbour, the rarest first."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from leadhollow.weights.bitmap import Bitmap

SAMPLE_SIZE = 12


class HolderCounts:
    """Number of neighbours that hold each chunk."""

    __slots__ = ("_counts",)

    def __init__(self, *, chunk_count: int) -> None:
        self._counts = [0] * chunk_count

    def add(self, chunk: int) -> None:
        """Add a holder of a chunk."""
        self._counts[chunk] += 1

    def remove_all(self, chunks: Iterable[int]) -> None:
        """Remove a holder of each of these chunks."""
        for chunk in chunks:
            self._counts[chunk] -= 1

    def of(self, chunk: int) -> int:
        """Return the number of holders of a chunk."""
        return self._counts[chunk]


class NeighbourChunks:
    """Chunks that one neighbour holds, and a queue of those to request from it.

    The cost of a selection does not depend on the number of chunks. A few are drawn at random,
    those no longer wanted are dropped, and the rarest of the others is selected.

    Parameters
    ----------
    is_wanted
        Returns whether a chunk is neither held nor in flight.
    """

    __slots__ = ("_is_wanted", "_queue", "_random", "_rarity", "available", "held")

    def __init__(
        self,
        *,
        held: Bitmap,
        rarity: HolderCounts,
        is_wanted: Callable[[int], bool],
        generator: random.Random,
    ) -> None:
        self._rarity = rarity
        self._is_wanted = is_wanted
        self._random = generator
        self._queue: list[int] = []
        self.held = Bitmap(count=held.count)
        self.available = asyncio.Event()
        self.add_all(held.indexes())

    def add_all(self, chunks: Iterable[int]) -> None:
        """Add chunks that the neighbour now holds."""
        for chunk in chunks:
            if self.held.add(chunk):
                self._rarity.add(chunk)
                if self._is_wanted(chunk):
                    self._queue.append(chunk)
        if self._queue:
            self.available.set()

    def requeue(self, chunk: int) -> None:
        """Queue a chunk again after a read of it failed."""
        if chunk in self.held:
            self._queue.append(chunk)
            self.available.set()

    def take_rarest(self) -> int | None:
        """Remove and return the rarest of a few wanted chunks; None if there is none."""
        candidates: list[int] = []
        while self._queue and len(candidates) < SAMPLE_SIZE:
            position = self._random.randrange(len(self._queue))
            chunk = self._queue[position]
            self._queue[position] = self._queue[-1]
            self._queue.pop()
            if self._is_wanted(chunk):
                candidates.append(chunk)
        if not candidates:
            self.available.clear()
            return None
        rarest = min(candidates, key=self._rarity.of)
        self._queue.extend(chunk for chunk in candidates if chunk != rarest)
        return rarest

    def clear(self) -> None:
        """Remove all chunks, after the neighbour has gone."""
        self._rarity.remove_all(self.held.indexes())
        self._queue.clear()


__all__ = ["HolderCounts", "NeighbourChunks"]
