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
from leadhollow.state.removed_items import RemovedItems

Value = TypeVar("Value")
Listener = Callable[[list[CatalogItem]], None]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CatalogItem)


class Catalog:
    """Items by key; an item is only ever replaced by one of a higher revision.

    Items are kept in the order of their revisions. New ones are found at the end, at a cost that
    does not depend on the size of the catalog. Removed items are forgotten after a while, see
    :class:`RemovedItems`; changes after a revision below :attr:`floor` are then told by a whole
    view, which :meth:`replace` takes.

    Attributes
    ----------
    revision
        Log index up to which the catalog is complete.
    """

    __slots__ = (
        "_changed",
        "_items",
        "_listeners",
        "_newest",
        "_removed",
        "_rows_by_key_hash",
        "revision",
    )

    def __init__(self) -> None:
        self._items: dict[str, CatalogItem] = {}
        self._rows_by_key_hash: dict[str, str] = {}
        self._changed = asyncio.Event()
        self._listeners: list[Listener] = []
        self._newest = 0  # revision of the last item
        self._removed = RemovedItems()
        self.revision = 0

    @property
    def floor(self) -> int:
        """Lowest revision after which all changes are known; earlier removals may be forgotten."""
        return self._removed.floor

    @property
    def live_items(self) -> int:
        """Number of items that are never forgotten: all but :attr:`removed_items`."""
        return len(self._items) - len(self._removed)

    @property
    def removed_items(self) -> int:
        """Number of removed items that are still kept and will be forgotten."""
        return len(self._removed)

    def apply(self, items: Iterable[CatalogItem], *, revision: int) -> list[CatalogItem]:
        """Add items and the revision up to which the catalog is then complete.

        Returns
        -------
        list of CatalogItem
            The items that were newer than the existing ones; others are ignored, and so are unknown
            ones up to the floor, which may have been removed since.
        """
        newer_items = []
        floor = self.floor
        for item in items:
            existing = self._items.get(item.key)
            if item.revision <= (floor if existing is None else existing.revision):
                continue
            if existing is not None:
                del self._items[item.key]  # re-inserted at the end
                if existing.value is None:
                    self._removed.discard(existing)
            self._items[item.key] = item
            if item.value is None:
                self._removed.add(item)
            newer_items.append(item)
        self.revision = max(self.revision, revision)
        self._keep_order(newer_items)
        self._forget_removed()
        self._notify(newer_items)
        return newer_items

    def replace(
        self, items: Iterable[CatalogItem], *, revision: int, floor: int
    ) -> list[CatalogItem]:
        """Take a whole view; items that are not in it are removed. An older view changes nothing.

        Parameters
        ----------
        revision
            Revision of the view.
        floor
            Revision after which the view has all removed items.

        Returns
        -------
        list of CatalogItem
            The items that changed; those that are gone have no value.
        """
        if revision < self.revision:
            return []
        newest: dict[str, CatalogItem] = {}
        changed = []
        for item in items:
            existing = self._items.get(item.key)
            if existing is None or item.revision > existing.revision:
                changed.append(item)
            newest[item.key] = item if existing is None else max(existing, item, key=_revision)
        for existing in self._items.values():
            if existing.key in newest:
                continue
            if existing.revision > revision:
                newest[existing.key] = existing
            elif existing.value is not None:
                changed.append(CatalogItem(key=existing.key, revision=revision, value=None))
        self._items = dict(sorted(newest.items(), key=lambda pair: pair[1].revision))
        self._newest = max((item.revision for item in newest.values()), default=0)
        self.revision = revision
        self._removed.reset(newest.values(), floor=floor)
        self._forget_removed()
        self._notify(changed)
        return changed

    def on_change(self, listener: Listener) -> None:
        """Call a function with the new items after each change."""
        self._listeners.append(listener)

    async def changed(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def items_after(self, revision: int) -> list[CatalogItem]:
        """Return all known items newer than a revision, oldest first."""
        newer = []
        for item in reversed(self._items.values()):
            if item.revision <= revision:
                break
            newer.append(item)
        newer.reverse()
        return newer

    def needs_whole_view(self, revision: int) -> bool:
        """Return whether changes after a revision can only be told by a whole view."""
        return revision < self.floor

    def whole_view(self) -> list[CatalogItem]:
        """Return all items in force, oldest first."""
        return [item for item in self._items.values() if item.value is not None]

    def items(self) -> dict[str, CatalogItem]:
        """Return all items by key, including removed ones that are not forgotten."""
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
        """Return an item, including one whose value was removed and that is not forgotten."""
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

    def _forget_removed(self) -> None:
        for key in self._removed.forget(self.live_items):
            del self._items[key]

    def _notify(self, changed: list[CatalogItem]) -> None:
        if not changed:
            return
        if any(item.key.startswith(ROW_PREFIX) for item in changed):
            self._index_keys()
        for listener in self._listeners:
            listener(changed)
        self._changed.set()
        self._changed = asyncio.Event()

    def _index_keys(self) -> None:
        self._rows_by_key_hash = {
            key: stored.row.group for stored in self.rows() for key in stored.row.key_sha256s
        }


def _revision(item: CatalogItem) -> int:
    return item.revision


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
