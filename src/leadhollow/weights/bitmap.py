"""Which chunks of a version someone holds."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class Bitmap:
    """A set of chunk numbers of known size, one bit each on the wire.

    Parameters
    ----------
    count
        Number of chunks.
    """

    __slots__ = ("_bits", "count", "held_count")

    def __init__(self, *, count: int) -> None:
        self.count = count
        self.held_count = 0
        self._bits = bytearray((count + 7) // 8)

    @classmethod
    def from_bytes(cls, data: bytes, *, count: int) -> Bitmap:
        """Read a bitmap; bits beyond the count are ignored, missing ones are 0."""
        bitmap = cls(count=count)
        for position, byte in enumerate(data[: len(bitmap._bits)]):
            if byte:
                bitmap.add_all(position * 8 + bit for bit in range(8) if byte & (1 << bit))
        return bitmap

    @property
    def complete(self) -> bool:
        """Whether no chunk is missing."""
        return self.held_count == self.count

    def add(self, index: int) -> bool:
        """Add a chunk; False where it was there or is out of range."""
        if not 0 <= index < self.count or index in self:
            return False
        self._bits[index >> 3] |= 1 << (index & 7)
        self.held_count += 1
        return True

    def add_all(self, indexes: Iterable[int]) -> None:
        """Add several chunks."""
        for index in indexes:
            self.add(index)

    def missing(self) -> Iterator[int]:
        """Give the chunks that are not held."""
        return (index for index in range(self.count) if index not in self)

    def indexes(self) -> Iterator[int]:
        """Give the chunks that are held."""
        return (index for index in range(self.count) if index in self)

    def discard_all(self, indexes: Iterable[int]) -> None:
        """Remove chunks that turned out damaged."""
        for index in indexes:
            if 0 <= index < self.count and index in self:
                self._bits[index >> 3] &= ~(1 << (index & 7))
                self.held_count -= 1

    def to_bytes(self) -> bytes:
        """Give the bits, chunk 0 in the lowest bit of the first byte."""
        return bytes(self._bits)

    def to_int(self) -> int:
        """Give the chunks that are held as the bits of a number."""
        return int.from_bytes(self._bits, "little")

    def __contains__(self, index: int) -> bool:
        return bool(self._bits[index >> 3] & (1 << (index & 7)))


__all__ = ["Bitmap"]
