"""The catalog never replaces an item by an older one."""

from __future__ import annotations

from leadhollow.state.catalog import Catalog, decode_item, encode_item
from leadhollow.state.records import CatalogItem, StoredRow
from tests.support import row


def item(revision: int, weight: float = 1.0, group: str = "a") -> CatalogItem:
    stored = StoredRow(row=row(group, weight=weight))
    return CatalogItem(key=f"row/{group}", revision=revision, value=stored)


class TestCatalog:
    def test_older_item_is_ignored(self):
        catalog = Catalog()
        catalog.apply([item(5, 5.0)], revision=5)
        assert catalog.apply([item(4, 4.0)], revision=4) == []
        assert catalog.row("a").row.weight == 5.0
        assert catalog.revision == 5

    def test_removed_row_stays_removed_when_an_older_version_arrives(self):
        catalog = Catalog()
        catalog.apply([CatalogItem(key="row/a", revision=6, value=None)], revision=6)
        catalog.apply([item(5)], revision=5)
        assert catalog.row("a") is None

    def test_items_after_revision_0_are_the_whole_catalog(self):
        source = Catalog()
        source.apply([item(1), item(2, group="b")], revision=2)
        joiner = Catalog()
        encoded = [encode_item(each) for each in source.items_after(0)]
        joiner.apply([decode_item(each) for each in encoded], revision=source.revision)
        assert [stored.row.group for stored in joiner.rows()] == ["a", "b"]

    def test_row_is_found_by_the_hash_of_its_key(self):
        catalog = Catalog()
        catalog.apply([item(1)], revision=1)
        assert catalog.group_of_key(row("a").key_sha256s[0]).row.group == "a"
        assert catalog.group_of_key("0" * 64) is None
