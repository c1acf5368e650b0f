"""What is new in the catalog, encoded once for all watchers that ask for the same."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from leadhollow.membership.packed_items import MIN_PACKED_ITEMS, pack_items
from leadhollow.settings.node import NodeRole
from leadhollow.state.catalog import Catalog, encode_item
from leadhollow.state.records import CatalogItem

KEPT = 8  # encodings; watchers lag by a few changes at most


class CatalogDeltaEncoder:
    """Items newer than a revision, as watchers of a role take them.

    Parameters
    ----------
    wants
        Tells whether an item concerns watchers of a role.
    """

    __slots__ = ("_catalog", "_packed", "_wants")

    def __init__(self, *, catalog: Catalog, wants: Callable[[NodeRole, CatalogItem], bool]) -> None:
        self._catalog = catalog
        self._wants = wants
        self._packed: OrderedDict[tuple[NodeRole, int, int], bytes] = OrderedDict()

    def encode_after(
        self, revision: int, role: NodeRole, *, takes_packed: bool
    ) -> tuple[list[bytes], bytes | None]:
        """Give single items, or all of them packed.

        Parameters
        ----------
        takes_packed
            Whether the watcher understands packed items.
        """
        if revision >= self._catalog.revision:
            return [], None
        key = role, revision, self._catalog.revision
        packed = self._packed.get(key) if takes_packed else None
        if packed is not None:
            return [], packed
        newer = [found for found in self._catalog.items_after(revision) if self._wants(role, found)]
        if not takes_packed or len(newer) < MIN_PACKED_ITEMS:
            return [encode_item(item) for item in newer], None
        packed = self._packed[key] = pack_items(newer)
        if len(self._packed) > KEPT:
            self._packed.popitem(last=False)
        return [], packed


__all__ = ["KEPT", "ItemNews"]
