"""Which chunks a neighbour can give that are still wanted, the rarest first."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from leadhollow.weights.bitmap import Bitmap

SAMPLE = 12


class HolderCounts:
    """How many neighbours hold each chunk."""

    __slots__ = ("_counts",)

    def __init__(self, *, chunk_count: int) -> None:
        self._counts = [0] * chunk_count

    def add(self, chunk: int) -> None:
        """Count one more holder."""
        self._counts[chunk] += 1

    def remove_all(self, chunks: Iterable[int]) -> None:
        """Count one holder less of each."""
        for chunk in chunks:
            self._counts[chunk] -= 1

    def of(self, chunk: int) -> int:
        """Give the number of holders."""
        return self._counts[chunk]


class NeighbourChunks:
    """Chunks of one neighbour.

    Choosing costs the same however many chunks there are: a few are drawn at random, stale ones
    are dropped as they are met, and the rarest of the rest is taken.

    Parameters
    ----------
    wanted
        Tells whether a chunk is neither held nor on its way.
    """

    __slots__ = ("_chunks", "_random", "_rarity", "_is_wanted", "available", "held")

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
        self._chunks: list[int] = []
        self.held = Bitmap(count=held.count)
        self.available = asyncio.Event()
        self.add_all(held.indexes())

    def add_all(self, chunks: Iterable[int]) -> None:
        """Note chunks that the neighbour came to hold."""
        for chunk in chunks:
            if self.held.add(chunk):
                self._rarity.add(chunk)
                if self._is_wanted(chunk):
                    self._chunks.append(chunk)
        if self._chunks:
            self.available.set()

    def requeue(self, chunk: int) -> None:
        """Offer a chunk again that was on its way and did not come."""
        if chunk in self.held:
            self._chunks.append(chunk)
            self.available.set()

    def take_rarest(self) -> int | None:
        """Take the rarest of a few wanted chunks; None where there is none."""
        drawn: list[int] = []
        while self._chunks and len(drawn) < SAMPLE:
            position = self._random.randrange(len(self._chunks))
            chunk = self._chunks[position]
            self._chunks[position] = self._chunks[-1]
            self._chunks.pop()
            if self._is_wanted(chunk):
                drawn.append(chunk)
        if not drawn:
            self.available.clear()
            return None
        chosen = min(drawn, key=self._rarity.of)
        self._chunks.extend(chunk for chunk in drawn if chunk != chosen)
        return chosen

    def clear(self) -> None:
        """Take everything back: the neighbour is gone."""
        self._rarity.remove_all(self.held.indexes())
        self._chunks.clear()


__all__ = ["Offers", "Rarity"]
