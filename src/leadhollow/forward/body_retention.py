"""Memory of an entry for long request bodies that may have to be sent again."""

from __future__ import annotations

from leadhollow.overload.memory import DEFAULT_LIMIT_BYTES

RETAINED_BYTES = 16 * 1024 * 1024
CALLERS_SHARE = 1 / 3  # of the memory that callers may hold, which the bodies are a part of


class BodyRetention:
    """Bounds the bytes that all long bodies of an entry keep together.

    Parameters
    ----------
    callers_bytes
        Memory that all callers may hold together.

    Attributes
    ----------
    used_bytes
        Bytes that are kept now.
    """

    __slots__ = ("_limit_bytes", "used_bytes")

    def __init__(self, *, callers_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = min(RETAINED_BYTES, int(CALLERS_SHARE * callers_bytes))
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
