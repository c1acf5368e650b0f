"""Items of the catalog packed for many watchers."""

from __future__ import annotations

import random
import zlib

import pytest

from leadhollow.codes import Code
from leadhollow.membership import packed_items
from leadhollow.membership.packed_items import pack_items, unpack_items
from leadhollow.routing.model import CallKind, Route, Target
from leadhollow.state.catalog import encode_item
from leadhollow.state.records import CatalogItem

ROUTES = 1_520


def added_routes(count: int = ROUTES, *, revision: int = 9) -> list[CatalogItem]:
    """Make routes whose names and places are drawn, as operators' programs make them."""
    source = random.Random(1)

    def name() -> str:
        return "".join(source.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=7))

    return [
        CatalogItem(
            key=f"route/r-{number}",
            revision=revision,
            value=Route(
                name=f"r-{name()}",
                host=f"{name()}.example",
                path_prefix=f"/{name()}/{name()}/",
                kind=CallKind.STREAM,
                timeout_ms=6_000,
                objective_ms=405,
                targets=(Target(service="models", weight=1.0),),
                attempts=2,
                resumable=True,
            ),
        )
        for number in range(count)
    ]


class TestPackedItems:
    def test_are_the_same_when_unpacked(self):
        items = added_routes()
        assert unpack_items(pack_items(items)).unwrap() == items

    def test_take_a_third_of_what_they_take_one_by_one(self):
        items = added_routes()
        assert len(pack_items(items)) * 3 < sum(len(encode_item(item)) for item in items)

    @pytest.mark.parametrize(
        "damage",
        [
            lambda packed: packed[:-5],
            lambda packed: b"noise" + packed,
            lambda packed: zlib.compress(b"noise"),
            lambda packed: b"",
        ],
    )
    def test_that_are_damaged_are_refused(self, damage):
        refused = unpack_items(damage(pack_items(added_routes(20))))
        assert refused.unwrap_err().code is Code.FRAME_MALFORMED

    def test_that_grow_too_large_are_refused(self, monkeypatch):
        monkeypatch.setattr(packed_items, "LARGEST_BYTES", 1_000)
        refused = unpack_items(zlib.compress(b"\0" * 10_000))
        assert refused.unwrap_err().code is Code.FRAME_MALFORMED
