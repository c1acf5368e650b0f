"""An index after any updates gives the same results as a new index over all items."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from leadhollow.routing.catalog_items import changed_items
from leadhollow.routing.index import RouteIndex
from leadhollow.routing.model import Organisation, RouteTable, ServiceRecord, Target
from leadhollow.state.catalog import Catalog
from tests.routing.test_tables import digest, route

HOSTS = ("a.example", "b.example", "B.example")
PREFIXES = ("/", "/x/", "/x/y/", "/xy/", "/x/y/z/", "/odd")
PATHS = ("/", "/x", "/x/", "/x/y/q", "/xy/q", "/x/y/z/q", "/odder", "q")
KEYS = ("k0", "k1", "k2")

prefixes = st.tuples(st.sampled_from(HOSTS), st.sampled_from(PREFIXES))
groups_by_key = st.dictionaries(st.sampled_from(KEYS), st.sampled_from(["g0", "g1"]))
tables = st.tuples(
    st.dictionaries(prefixes, st.integers(1, 3), max_size=8),
    groups_by_key,
    st.sets(st.sampled_from(["s", "t", "u"])),
)


def table(number: int, drawn) -> RouteTable:
    routes, keys, services = drawn
    unique = {(host.lower(), prefix): (host, prefix) for host, prefix in routes}
    return RouteTable(
        number=number,
        routes=tuple(
            route(
                f"r{number}",
                prefix=prefix,
                host=host,
                timeout_ms=1_000 * routes[host, prefix],
                priority=routes[host, prefix],
                public=prefix == "/x/",
                targets=(Target(service="s", weight=1.0),),
            )
            for host, prefix in unique.values()
        ),
        services=tuple(ServiceRecord(name=name) for name in sorted(services)),
        organisations=tuple(
            Organisation(
                name=name,
                key_sha256s=tuple(digest(key) for key in keys if keys[key] == name),
                priority=number if name == "g1" else None,
            )
            for name in ("g0", "g1")
        ),
        keyed=bool(keys),
    )


def snapshot(index: RouteIndex) -> dict[str, object]:
    """Return the results of all look-ups in an index."""
    return {
        "routes": {(host, path): index.route(host, path) for host in HOSTS for path in PATHS},
        "groups": {key: index.organisation(key) for key in KEYS},
        "services": index.services,
        "ranks": {service: index.ranks(service) for service in ("s", "t")},
        "number": (index.number, index.keyed, index.limits),
    }


def find_by_scan(catalog: Catalog, host: str, path: str):
    """Find a route by scanning all of them."""
    matching = [
        found
        for found in (item.value for item in catalog.items().values())
        if hasattr(found, "path_prefix")
        and found.host.lower() == host.lower()
        and path.startswith(found.path_prefix)
    ]
    return max(matching, key=lambda found: len(found.path_prefix), default=None)


class TestUpdates:
    @given(st.lists(tables, max_size=6))
    def test_updated_index_equals_a_new_index(self, drawn):
        catalog = Catalog()
        index = RouteIndex(catalog=catalog)
        for number, each in enumerate(drawn, start=1):
            items = changed_items(table(number, each), catalog.items(), revision=number)
            catalog.apply(items, revision=number)
            assert snapshot(index) == snapshot(RouteIndex(catalog=catalog))
            for host in HOSTS:
                for path in PATHS:
                    assert index.route(host, path) == find_by_scan(catalog, host, path)


class TestItemsAfter:
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 30))), st.integers(0, 30))
    def test_items_after_are_sorted_by_revision(self, changes, since):
        from tests.state.test_catalog import item

        catalog = Catalog()
        for group, revision in changes:
            catalog.apply([item(revision, group=group)], revision=revision)
        newest = {}
        for group, revision in changes:
            newest[group] = max(revision, newest.get(group, 0))
        expected = sorted(revision for revision in newest.values() if revision > since)
        assert [found.revision for found in catalog.items_after(since)] == expected
