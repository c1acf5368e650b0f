"""Set of the chunks of a version that a server holds, as a bitmap."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class Bitmap:
    """Set of chunk numbers below a fixed count, with one bit for each chunk on the wire.

    Parameters
    ----------
    count
        Number of chunks of the version.

    Attributes
    ----------
    held_count
        Number of chunks in the set.
    """

    __slots__ = ("_bits", "count", "held_count")

    def __init__(self, *, count: int) -> None:
        self.count = count
        self.held_count = 0
        self._bits = bytearray((count + 7) // 8)

    @classmethod
    def from_bytes(cls, data: bytes, *, count: int) -> Bitmap:
        """Decode a bitmap. Bits beyond the count are ignored; missing bytes count as 0."""
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
        """Add a chunk. Returns False if it was already present or is out of range."""
        if not 0 <= index < self.count or index in self:
            return False
        self._bits[index >> 3] |= 1 << (index & 7)
        self.held_count += 1
        return True

    def add_all(self, indexes: Iterable[int]) -> None:
        """Add several chunks. Those out of range are ignored."""
        for index in indexes:
            self.add(index)

    def missing(self) -> Iterator[int]:
        """Iterate over the chunks that are not held, in ascending order."""
        return (index for index in range(self.count) if index not in self)

    def indexes(self) -> Iterator[int]:
        """Iterate over the chunks that are held, in ascending order."""
        return (index for index in range(self.count) if index in self)

    def discard_all(self, indexes: Iterable[int]) -> None:
        """Remove chunks, for example damaged ones. Those that are not held are ignored."""
        for index in indexes:
            if 0 <= index < self.count and index in self:
                self._bits[index >> 3] &= ~(1 << (index & 7))
                self.held_count -= 1

    def to_bytes(self) -> bytes:
        """Encode the set as bytes, with chunk 0 in the lowest bit of the first byte."""
        return bytes(self._bits)

    def to_int(self) -> int:
        """Return the set as an integer, with chunk 0 in the lowest bit."""
        return int.from_bytes(self._bits, "little")

    def __contains__(self, index: int) -> bool:
        return bool(self._bits[index >> 3] & (1 << (index & 7)))


__all__ = ["Bitmap"]
