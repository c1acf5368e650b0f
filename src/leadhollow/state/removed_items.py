"""Removed items that a catalog still keeps, and the revision up to which it forgot them."""

from __future__ import annotations

from collections.abc import Iterable

from leadhollow.state.records import EVACUATION_PREFIX, CatalogItem

MIN_REMOVED_KEPT = 1_024
REVISIONS_KEPT = 2
"""Newest revisions with removals that are kept, however many items they removed: a subscriber that
lags behind by a few changes gets a delta, which processes of older releases need."""

_NEVER_FORGOTTEN = (EVACUATION_PREFIX,)
"""Keys whose removal is compared with orders that arrive late; there is one a failure domain."""


class RemovedItems:
    """Keys of removed items by the revision of their removal.

    As many are kept as there are items in force, since a whole view then costs a receiver less than
    the delta. What is forgotten depends on the applied items alone, so replicas that apply the same
    log forget the same items.

    Attributes
    ----------
    floor
        Compaction floor: items removed at or before this revision may be missing. Changes after a
        lower revision cannot be told completely. It never decreases.
    """

    __slots__ = ("_count", "_keys", "floor")

    def __init__(self) -> None:
        self._keys: dict[int, set[str]] = {}
        self._count = 0
        self.floor = 0

    def __len__(self) -> int:
        return self._count

    def add(self, item: CatalogItem) -> None:
        """Record an item without a value."""
        if not item.key.startswith(_NEVER_FORGOTTEN):
            self._keys.setdefault(item.revision, set()).add(item.key)
            self._count += 1

    def discard(self, item: CatalogItem) -> None:
        """Drop the record of a removed item that a newer one replaces."""
        keys = self._keys.get(item.revision)
        if keys is None or item.key not in keys:
            return
        keys.remove(item.key)
        self._count -= 1
        if not keys:
            del self._keys[item.revision]

    def reset(self, items: Iterable[CatalogItem], *, floor: int) -> None:
        """Start again from the items of a whole view and its floor, if that is higher."""
        self._keys = {}
        self._count = 0
        self.floor = max(self.floor, floor)
        for item in items:
            if item.value is None:
                self.add(item)

    def forget(self, live_items: int) -> list[str]:
        """Forget the oldest removals if there are too many; raise the floor to match.

        Parameters
        ----------
        live_items
            Number of items in force.

        Returns
        -------
        list of str
            Keys of the forgotten items, all those of one revision together.
        """
        forgotten: list[str] = []
        allowed = max(MIN_REMOVED_KEPT, live_items)
        while self._count > allowed and len(self._keys) > REVISIONS_KEPT:
            oldest = min(self._keys)
            keys = self._keys.pop(oldest)
            self._count -= len(keys)
            self.floor = max(self.floor, oldest)
            forgotten += keys
        return forgotten


__all__ = ["MIN_REMOVED_KEPT", "REVISIONS_KEPT", "RemovedItems"]
