"""The part of the state that every daemon holds: items by key, each with its revision."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from leadhollow.state.records import (
    ROW_PREFIX,
    CatalogItem,
    CatalogValue,
    DrainRecord,
    LeaseRecord,
    StoredRow,
    VersionRecord,
    drain_key,
    lease_key,
    row_key,
    version_key,
)

Value = TypeVar("Value")
Listener = Callable[[list[CatalogItem]], None]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CatalogItem)


class Catalog:
    """Items by key; changes are applied forwards only.

    ``revision`` is the log index up to which the catalog is complete. Items stand in the order of
    their revisions, so that what is new is found at the end however many there are.
    """

    __slots__ = ("_changed", "_items", "_listeners", "_newest", "_rows_by_key_hash", "revision")

    def __init__(self) -> None:
        self._items: dict[str, CatalogItem] = {}
        self._rows_by_key_hash: dict[str, str] = {}
        self._changed = asyncio.Event()
        self._listeners: list[Listener] = []
        self._newest = 0  # revision of the last item
        self.revision = 0

    def apply(self, items: Iterable[CatalogItem], *, revision: int) -> list[CatalogItem]:
        """Take items and the revision up to which they are complete.

        Returns
        -------
        list of CatalogItem
            Those that were new; older ones are ignored.
        """
        fresh = []
        for item in items:
            existing = self._items.get(item.key)
            if existing is None or item.revision > existing.revision:
                self._items.pop(item.key, None)  # it moves to the end
                self._items[item.key] = item
                fresh.append(item)
        self.revision = max(self.revision, revision)
        if fresh:
            self._keep_order(fresh)
            if any(item.key.startswith(ROW_PREFIX) for item in fresh):
                self._index_keys()
            for listener in self._listeners:
                listener(fresh)
            self._changed.set()
            self._changed = asyncio.Event()
        return fresh

    def on_change(self, listener: Listener) -> None:
        """Call a function with the new items after each change."""
        self._listeners.append(listener)

    async def changed(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def items_after(self, revision: int) -> list[CatalogItem]:
        """Give all items newer than a revision, oldest first."""
        newer = []
        for item in reversed(self._items.values()):
            if item.revision <= revision:
                break
            newer.append(item)
        newer.reverse()
        return newer

    def items(self) -> dict[str, CatalogItem]:
        """Give all items by key, removed ones included."""
        return self._items

    def values(self, value_type: type[Value]) -> list[Value]:
        """Give all values of a type."""
        return [item.value for item in self._items.values() if isinstance(item.value, value_type)]

    def value(self, key: str, value_type: type[Value]) -> Value | None:
        """Give the value under a key, None where there is none of this type."""
        item = self._items.get(key)
        if item is None or not isinstance(item.value, value_type):
            return None
        return item.value

    def item(self, key: str) -> CatalogItem | None:
        """Give an item, also one whose value was removed."""
        return self._items.get(key)

    def row(self, group: str) -> StoredRow | None:
        """Give a group's row."""
        return self.value(row_key(group), StoredRow)

    def rows(self) -> list[StoredRow]:
        """Give all rows by group name."""
        found = self.values(StoredRow)
        found.sort(key=lambda stored: stored.row.group)
        return found

    def version(self, model: str, version: str) -> VersionRecord | None:
        """Give a published version."""
        return self.value(version_key(model, version), VersionRecord)

    def versions(self) -> list[VersionRecord]:
        """Give all published versions."""
        return self.values(VersionRecord)

    def lease(self, name: str) -> LeaseRecord | None:
        """Give the record of a lease; the holder may have lost it since."""
        return self.value(lease_key(name), LeaseRecord)

    def leases(self) -> list[LeaseRecord]:
        """Give all lease records."""
        return self.values(LeaseRecord)

    def draining(self, server: str) -> bool:
        """Tell whether an operator sends this backend server away."""
        return self.value(drain_key(server), DrainRecord) is not None

    def group_of_key(self, key_sha256: str) -> StoredRow | None:
        """Find the row that an API key's hash belongs to."""
        group = self._rows_by_key_hash.get(key_sha256)
        return None if group is None else self.row(group)

    def _keep_order(self, fresh: list[CatalogItem]) -> None:
        """Sort again where items came out of order, as none do that one log made."""
        in_order = True
        for item in fresh:
            in_order = in_order and item.revision >= self._newest
            self._newest = max(self._newest, item.revision)
        if not in_order:
            self._items = dict(sorted(self._items.items(), key=lambda pair: pair[1].revision))

    def _index_keys(self) -> None:
        self._rows_by_key_hash = {
            key: stored.row.group for stored in self.rows() for key in stored.row.key_sha256s
        }


def encode_item(item: CatalogItem) -> bytes:
    """Encode one item for the wire or a snapshot."""
    return _encoder.encode(item)


def decode_item(data: bytes) -> CatalogItem:
    """Decode one item.

    Raises
    ------
    msgspec.MsgspecError
        The bytes are no item.
    """
    return _decoder.decode(data)


__all__ = ["Catalog", "CatalogValue", "decode_item", "encode_item"]
