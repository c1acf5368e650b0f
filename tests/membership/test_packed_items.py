"""Compressed encoding of catalog items."""

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


def random_routes(count: int = ROUTES, *, revision: int = 9) -> list[CatalogItem]:
    """Make routes with random names, hosts and paths, as operators' scripts generate them."""
    generator = random.Random(1)

    def name() -> str:
        return "".join(generator.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=7))

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
    def test_survive_packing_and_unpacking(self):
        items = random_routes()
        assert unpack_items(pack_items(items)).unwrap() == items

    def test_take_a_third_of_their_separate_size(self):
        items = random_routes()
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
    def test_corrupt_bytes_are_refused(self, damage):
        result = unpack_items(damage(pack_items(random_routes(20))))
        assert result.unwrap_err().code is Code.FRAME_MALFORMED

    def test_too_many_bytes_are_refused(self, monkeypatch):
        monkeypatch.setattr(packed_items, "LARGEST_BYTES", 1_000)
        result = unpack_items(zlib.compress(b"\0" * 10_000))
        assert result.unwrap_err().code is Code.FRAME_MALFORMED
