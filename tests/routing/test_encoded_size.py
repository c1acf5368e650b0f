"""A table that binds nothing to regions costs no bytes for them."""

from __future__ import annotations

import msgspec
import pytest

from leadhollow.routing.model import Organisation
from tests.routing.test_tables import digest, route


@pytest.mark.parametrize(
    "value",
    [route("r"), Organisation(name="g", key_sha256s=(digest("k"),))],
    ids=["route", "group"],
)
class TestEncodedSize:
    # every entry was sent an empty list of regions for each route and group
    def test_has_no_regions_unless_they_are_set(self, value):
        assert b"allowed_regions" not in msgspec.msgpack.encode(value)
        bound = msgspec.structs.replace(value, allowed_regions=("north",))
        encoded = msgspec.msgpack.encode(bound)
        assert msgspec.msgpack.decode(encoded, type=type(value)) == bound
