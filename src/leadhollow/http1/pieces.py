"""Bytes in the pieces in which they arrived."""

from __future__ import annotations

JOIN_BELOW_BYTES = 4 * 1024  # smaller pieces are joined, as each takes memory beside its bytes


class Pieces:
    """Queue of pieces of bytes, whose memory is close to the bytes that it holds.

    Attributes
    ----------
    size_bytes
        Number of bytes that it holds.
    """

    __slots__ = ("_pieces", "size_bytes")

    def __init__(self) -> None:
        self._pieces: list[bytes | bytearray] = []
        self.size_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._pieces)

    def append(self, data: bytes) -> None:
        """Append a piece."""
        self.size_bytes += len(data)
        if not self._pieces or len(data) >= JOIN_BELOW_BYTES:
            self._pieces.append(data)
            return
        last = self._pieces[-1]
        if len(last) >= JOIN_BELOW_BYTES:
            self._pieces.append(data)
        elif isinstance(last, bytearray):
            last += data
        else:
            self._pieces[-1] = bytearray(last) + data

    def pop(self) -> bytes:
        """Remove and return the first piece."""
        data = self._pieces.pop(0)
        self.size_bytes -= len(data)
        return bytes(data)

    def merge(self) -> bytes:
        """Return all bytes, and hold them as a single piece."""
        if len(self._pieces) == 1 and isinstance(self._pieces[0], bytes):
            return self._pieces[0]
        merged = b"".join(self._pieces)
        self._pieces = [merged]
        return merged

    def take(self) -> Pieces:
        """Return a queue with all pieces, which leave this one."""
        taken = Pieces()
        taken._pieces, self._pieces = self._pieces, []
        taken.size_bytes, self.size_bytes = self.size_bytes, 0
        return taken

    def clear(self) -> None:
        """Remove all pieces."""
        self._pieces.clear()
        self.size_bytes = 0


__all__ = ["Pieces"]
