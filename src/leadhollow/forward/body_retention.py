"""Memory of an entry for long request bodies that may have to be sent again."""

from __future__ import annotations

RETAINED_BYTES = 16 * 1024 * 1024  # a tenth of the smallest entry VM's memory


class BodyRetention:
    """Bounds the bytes that all long bodies of an entry keep together.

    Attributes
    ----------
    used_bytes
        Bytes that are kept now.
    """

    __slots__ = ("_limit_bytes", "used_bytes")

    def __init__(self, *, limit_bytes: int = RETAINED_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self.used_bytes = 0

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve memory; return False if that would exceed the limit."""
        if self.used_bytes + size_bytes > self._limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Give reserved memory back."""
        self.used_bytes -= size_bytes


__all__ = ["BodyRetention"]
