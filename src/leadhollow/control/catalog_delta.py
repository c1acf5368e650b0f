"""Encodes catalog changes for feeds, once for all subscribers that need the same delta."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from leadhollow.membership.packed_items import MIN_PACKED_ITEMS, pack_items
from leadhollow.settings.node import NodeRole
from leadhollow.state.catalog import Catalog, encode_item
from leadhollow.state.records import CatalogItem

MAX_CACHED_DELTAS = 8  # subscribers lag behind by a few revisions at most


class CatalogDeltaEncoder:
    """Encodes the catalog items that a role needs and that are newer than a revision.

    For a revision below the catalog's floor these are all items in force, as a whole view.

    Parameters
    ----------
    wants
        Returns whether subscribers of a role need an item.
    """

    __slots__ = ("_catalog", "_packed", "_wants")

    def __init__(self, *, catalog: Catalog, wants: Callable[[NodeRole, CatalogItem], bool]) -> None:
        self._catalog = catalog
        self._wants = wants
        self._packed: OrderedDict[tuple[NodeRole, int, int], bytes] = OrderedDict()

    def encode_after(
        self, revision: int, role: NodeRole, *, takes_packed: bool
    ) -> tuple[list[bytes], bytes | None]:
        """Encode the items after a revision, one by one or packed together.

        Parameters
        ----------
        takes_packed
            Whether the subscriber supports packed items.

        Returns
        -------
        tuple
            Items encoded one by one, and the packed items or None.
        """
        if revision >= self._catalog.revision:
            return [], None
        whole = self._catalog.needs_whole_view(revision)
        key = role, 0 if whole else revision, self._catalog.revision
        packed = self._packed.get(key) if takes_packed else None
        if packed is not None:
            return [], packed
        found = self._catalog.whole_view() if whole else self._catalog.items_after(revision)
        newer = [each for each in found if self._wants(role, each)]
        if not takes_packed or len(newer) < MIN_PACKED_ITEMS:
            return [encode_item(item) for item in newer], None
        packed = self._packed[key] = pack_items(newer)
        if len(self._packed) > MAX_CACHED_DELTAS:
            self._packed.popitem(last=False)
        return [], packed


__all__ = ["MAX_CACHED_DELTAS", "CatalogDeltaEncoder"]
