"""Route tables: what is invalid, what a change travels as, which route a request finds."""

from __future__ import annotations

import hashlib

import pytest

from leadhollow.codes import Code
from leadhollow.routing.catalog_items import changed_items
from leadhollow.routing.index import RouteIndex
from leadhollow.routing.model import (
    CallKind,
    Organisation,
    Route,
    RouteTable,
    ServiceRecord,
    Target,
)
from leadhollow.routing.validation import check_table
from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import DescribeVersion, NameVersion
from leadhollow.state.machine import StateMachine
from leadhollow.state.route_tables import held_number, replacement
from leadhollow.state.weights_versions import versions_of
from leadhollow.weights.named import PieceManifest


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def route(name: str = "r", *, prefix: str = "/a/", **fields) -> Route:
    given = {
        "host": "h.example",
        "kind": CallKind.IDEMPOTENT,
        "timeout_ms": 1_000,
        "objective_ms": 300,
        "targets": (Target(service="s", weight=1.0),),
        **fields,
    }
    return Route(name=name, path_prefix=prefix, **given)


def table(number: int = 1, *routes: Route, **fields) -> RouteTable:
    given = {"services": (ServiceRecord(name="s"), ServiceRecord(name="t")), **fields}
    return RouteTable(number=number, routes=routes or (route(),), **given)


class TestValidity:
    def test_of_a_good_table(self):
        assert check_table(table()) is None

    @pytest.mark.parametrize(
        ("bad", "field"),
        [
            (table(1, route(targets=(Target(service="x", weight=1.0),))), "routes.r"),
            (table(-1), "number"),
            (table(1, route("a"), route("b")), "routes.b"),
            (table(1, route("a"), route("b", host="H.Example")), "routes.b"),
            (table(1, route(targets=(Target(service="s", weight=0.0),))), "routes.r"),
            (table(1, route(targets=())), "routes.r"),
            (table(1, route(timeout_ms=0)), "routes.r"),
            (table(services=(ServiceRecord(name="s"), ServiceRecord(name="s"))), "services"),
            (
                table(
                    organisations=(
                        Organisation(name="x", key_sha256s=("k",)),
                        Organisation(name="y", key_sha256s=("k",)),
                    )
                ),
                "organisations.y",
            ),
        ],
    )
    def test_names_what_is_wrong(self, bad, field):
        failure = check_table(bad)
        assert failure.code is Code.TABLE_INVALID
        assert failure.field == field


def replaced(*tables: RouteTable) -> StateMachine:
    machine = StateMachine()
    for index, each in enumerate(tables, start=1):
        machine.apply(index, replacement(each, f"document {each.number}".encode()))
    return machine


class TestReplacement:
    def test_the_highest_number_is_in_force(self):
        machine = replaced(table(5), table(3, route(prefix="/old/")))
        assert held_number(machine.catalog) == 5
        assert machine.route_tables.document() == b"document 5"

    def test_the_lowest_number_is_in_force_until_a_higher_one_comes(self):
        machine = replaced(table(0))
        assert RouteIndex(catalog=machine.catalog).has_table
        assert machine.route_tables.document() == b"document 0"

    def test_other_content_under_the_same_number_changes_nothing(self):
        machine = replaced(table(5), table(5, route(prefix="/other/")))
        assert RouteIndex(catalog=machine.catalog).route("h.example", "/other/x") is None

    def test_only_what_changed_gets_a_new_revision(self):
        many = tuple(route(f"r{number}", prefix=f"/{number}/") for number in range(300))
        machine = replaced(table(1, *many), table(2, *many, route("new", prefix="/new/")))
        changed = [item.key for item in machine.catalog.items_after(1)]
        assert sorted(changed) == ["route/h.example/new/", "table"]

    def test_what_is_gone_is_told(self):
        machine = replaced(table(1), table(2, route(prefix="/b/")))
        gone = [item.key for item in machine.catalog.items_after(1) if item.value is None]
        assert gone == ["route/h.example/a/"]

    def test_lasts_over_a_snapshot(self):
        machine = replaced(table(5))
        again = StateMachine()
        again.restore(machine.snapshot())
        assert held_number(again.catalog) == 5
        assert again.route_tables.document() == b"document 5"
        assert RouteIndex(catalog=again.catalog).route("h.example", "/a/x") is not None

    def test_of_nothing_is_no_change(self):
        held = Catalog()
        first = changed_items(table(1), held.items(), revision=1)
        held.apply(first, revision=1)
        assert changed_items(table(1), held.items(), revision=2) == []


class TestIndex:
    def test_the_longest_prefix_wins(self):
        catalog = replaced(table(1, route("a"), route("b", prefix="/a/b/"))).catalog
        index = RouteIndex(catalog=catalog)
        assert index.route("H.example", "/a/b/c").name == "b"
        assert index.route("h.example", "/a/c").name == "a"
        assert index.route("h.example", "/ab/c") is None
        assert index.route("other.example", "/a/c") is None

    def test_follows_changes_forwards(self):
        machine = replaced(table(1))
        index = RouteIndex(catalog=machine.catalog)
        machine.apply(2, replacement(table(2, route(prefix="/b/")), b""))
        assert index.number == 2
        assert index.route("h.example", "/a/x") is None
        assert index.route("h.example", "/b/x") is not None

    def test_finds_the_group_of_a_key_until_it_is_taken_away(self):
        groups = (Organisation(name="g", key_sha256s=(digest("k1"), digest("k2"))),)
        machine = replaced(table(1, organisations=groups, keyed=True))
        index = RouteIndex(catalog=machine.catalog)
        assert index.organisation("k1").name == "g"
        assert index.organisation("k3") is None
        fewer = (Organisation(name="g", key_sha256s=(digest("k2"),)),)
        machine.apply(2, replacement(table(2, organisations=fewer, keyed=True), b""))
        assert index.organisation("k1") is None
        assert index.keyed

    def test_knows_nothing_at_first(self):
        assert not RouteIndex(catalog=Catalog()).has_table


MANIFEST = PieceManifest(algorithm="sha256", chunk_bytes=1, layers=1, digests=bytes(32))


class TestVersions:
    def test_named_ones_only_go_up(self):
        machine = StateMachine()
        for index, number in enumerate((2, 3, 1), start=1):
            machine.apply(index, NameVersion(model="m", number=number))
        assert [found.number for found in versions_of(machine.catalog, "m")] == [3, 2]

    def test_the_first_description_stays(self):
        machine = StateMachine()
        machine.apply(1, NameVersion(model="m", number=2))
        machine.apply(2, DescribeVersion(model="m", number=2, manifest=MANIFEST))
        other = PieceManifest(algorithm="sha256", chunk_bytes=1, layers=1, digests=b"x" * 32)
        machine.apply(3, DescribeVersion(model="m", number=2, manifest=other))
        (found,) = versions_of(machine.catalog, "m")
        assert found.named
        assert found.manifest == MANIFEST

    def test_naming_again_keeps_the_description(self):
        machine = StateMachine()
        machine.apply(1, DescribeVersion(model="m", number=1, manifest=MANIFEST))
        machine.apply(2, NameVersion(model="m", number=1))
        (found,) = versions_of(machine.catalog, "m")
        assert found.named
        assert found.manifest == MANIFEST

    def test_old_ones_are_forgotten(self):
        machine = StateMachine()
        for number in range(1, 9):
            machine.apply(number, NameVersion(model="m", number=number))
        assert [found.number for found in versions_of(machine.catalog, "m")] == [8, 7, 6]
