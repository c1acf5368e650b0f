"""Catalog: the part of the replicated state that every daemon has, as items with revisions."""

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
    """Items by key; an item is only ever replaced by one of a higher revision.

    Items are kept in the order of their revisions. New ones are found at the end, at a cost that
    does not depend on the size of the catalog.

    Attributes
    ----------
    revision
        Log index up to which the catalog is complete.
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
        """Add items and the revision up to which the catalog is then complete.

        Returns
        -------
        list of CatalogItem
            The items that were newer than the existing ones; others are ignored.
        """
        newer_items = []
        for item in items:
            existing = self._items.get(item.key)
            if existing is None or item.revision > existing.revision:
                self._items.pop(item.key, None)  # re-inserted at the end
                self._items[item.key] = item
                newer_items.append(item)
        self.revision = max(self.revision, revision)
        if newer_items:
            self._keep_order(newer_items)
            if any(item.key.startswith(ROW_PREFIX) for item in newer_items):
                self._index_keys()
            for listener in self._listeners:
                listener(newer_items)
            self._changed.set()
            self._changed = asyncio.Event()
        return newer_items

    def on_change(self, listener: Listener) -> None:
        """Call a function with the new items after each change."""
        self._listeners.append(listener)

    async def changed(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def items_after(self, revision: int) -> list[CatalogItem]:
        """Return all items newer than a revision, oldest first."""
        newer = []
        for item in reversed(self._items.values()):
            if item.revision <= revision:
                break
            newer.append(item)
        newer.reverse()
        return newer

    def items(self) -> dict[str, CatalogItem]:
        """Return all items by key, including removed ones."""
        return self._items

    def values(self, value_type: type[Value]) -> list[Value]:
        """Return all values of a type."""
        return [item.value for item in self._items.values() if isinstance(item.value, value_type)]

    def value(self, key: str, value_type: type[Value]) -> Value | None:
        """Return the value of a key, None if there is none of this type."""
        item = self._items.get(key)
        if item is None or not isinstance(item.value, value_type):
            return None
        return item.value

    def item(self, key: str) -> CatalogItem | None:
        """Return an item, including one whose value was removed."""
        return self._items.get(key)

    def row(self, group: str) -> StoredRow | None:
        """Return a group's row."""
        return self.value(row_key(group), StoredRow)

    def rows(self) -> list[StoredRow]:
        """Return all rows, sorted by group."""
        found = self.values(StoredRow)
        found.sort(key=lambda stored: stored.row.group)
        return found

    def version(self, model: str, version: str) -> VersionRecord | None:
        """Return a published version."""
        return self.value(version_key(model, version), VersionRecord)

    def versions(self) -> list[VersionRecord]:
        """Return all published versions."""
        return self.values(VersionRecord)

    def lease(self, name: str) -> LeaseRecord | None:
        """Return the record of a lease; it may have expired since."""
        return self.value(lease_key(name), LeaseRecord)

    def leases(self) -> list[LeaseRecord]:
        """Return all lease records."""
        return self.values(LeaseRecord)

    def draining(self, server: str) -> bool:
        """Return whether an operator drains a backend server."""
        return self.value(drain_key(server), DrainRecord) is not None

    def group_of_key(self, key_sha256: str) -> StoredRow | None:
        """Return the row of the group that owns an API key, given by its hash."""
        group = self._rows_by_key_hash.get(key_sha256)
        return None if group is None else self.row(group)

    def _keep_order(self, newer_items: list[CatalogItem]) -> None:
        """Sort the items if the new ones are out of order, which those of one log never are."""
        in_order = True
        for item in newer_items:
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
        The bytes are not an encoded item.
    """
    return _decoder.decode(data)


__all__ = ["Catalog", "CatalogValue", "decode_item", "encode_item"]
