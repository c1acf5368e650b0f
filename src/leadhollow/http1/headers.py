"""Header fields with the order and spelling that they have on the wire."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Hop-by-hop fields (RFC 9110, section 7.6.1), which are never forwarded."""


class Headers:
    """Ordered header fields; names keep their spelling and are matched case-insensitively."""

    __slots__ = ("_items",)

    def __init__(self, *, items: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self._items = list(items)

    def add(self, name: bytes, value: bytes) -> None:
        """Append a field."""
        self._items.append((name, value))

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a field, or None; the name must be in lower case."""
        for field, value in self._items:
            if field.lower() == name:
                return value
        return None

    def text(self, name: bytes) -> str:
        """Return the first value of a field as text, or an empty string."""
        value = self.get(name)
        return "" if value is None else value.decode("latin-1")

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of a field; the name must be in lower case."""
        return [value for field, value in self._items if field.lower() == name]

    def tokens(self, name: bytes) -> set[bytes]:
        """Return the comma-separated members of a field, in lower case."""
        joined = b",".join(self.get_all(name)).lower()
        return {token.strip() for token in joined.split(b",") if token.strip()}

    def without(self, names: frozenset[bytes] | set[bytes]) -> Headers:
        """Return a copy without these fields; the names must be in lower case."""
        return Headers(items=[pair for pair in self._items if pair[0].lower() not in names])

    def end_to_end(self) -> Headers:
        """Return a copy without hop-by-hop fields, including those that Connection lists."""
        dropped = CONNECTION_FIELDS | self.tokens(b"connection")
        return self.without(dropped)

    def encode(self) -> bytes:
        """Encode the fields for the wire, each with its line end."""
        return b"".join(b"%b: %b\r\n" % pair for pair in self._items)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter(self._items)

    def __len__(self) -> int:
        return len(self._items)


__all__ = ["CONNECTION_FIELDS", "Headers"]
