"""Validation, replacement and look-up of route tables."""

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
from leadhollow.state.route_tables import held_number, replacement_command
from leadhollow.state.weights_versions import versions_of
from leadhollow.weights.named_versions import PieceManifest


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


class TestCheckTable:
    def test_valid_table_has_no_failure(self):
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
    def test_failure_names_the_invalid_field(self, bad, field):
        failure = check_table(bad)
        assert failure.code is Code.TABLE_INVALID
        assert failure.field == field


def machine_with(*tables: RouteTable) -> StateMachine:
    machine = StateMachine()
    for index, each in enumerate(tables, start=1):
        machine.apply(index, replacement_command(each, f"document {each.number}".encode()))
    return machine


class TestReplacement:
    def test_table_with_the_highest_number_is_in_force(self):
        machine = machine_with(table(5), table(3, route(prefix="/old/")))
        assert held_number(machine.catalog) == 5
        assert machine.route_tables.document() == b"document 5"

    def test_table_with_the_lowest_number_is_accepted_first(self):
        machine = machine_with(table(0))
        assert RouteIndex(catalog=machine.catalog).has_table
        assert machine.route_tables.document() == b"document 0"

    def test_other_content_with_the_same_number_is_ignored(self):
        machine = machine_with(table(5), table(5, route(prefix="/other/")))
        assert RouteIndex(catalog=machine.catalog).route("h.example", "/other/x") is None

    def test_only_what_changed_gets_a_new_revision(self):
        many = tuple(route(f"r{number}", prefix=f"/{number}/") for number in range(300))
        machine = machine_with(table(1, *many), table(2, *many, route("new", prefix="/new/")))
        changed = [item.key for item in machine.catalog.items_after(1)]
        assert sorted(changed) == ["route/h.example/new/", "table"]

    def test_removed_route_becomes_an_item_without_value(self):
        machine = machine_with(table(1), table(2, route(prefix="/b/")))
        gone = [item.key for item in machine.catalog.items_after(1) if item.value is None]
        assert gone == ["route/h.example/a/"]

    def test_table_survives_a_snapshot(self):
        machine = machine_with(table(5))
        again = StateMachine()
        again.restore(machine.snapshot())
        assert held_number(again.catalog) == 5
        assert again.route_tables.document() == b"document 5"
        assert RouteIndex(catalog=again.catalog).route("h.example", "/a/x") is not None

    def test_same_table_changes_no_items(self):
        held = Catalog()
        first = changed_items(table(1), held.items(), revision=1)
        held.apply(first, revision=1)
        assert changed_items(table(1), held.items(), revision=2) == []


class TestIndex:
    def test_longest_prefix_wins(self):
        catalog = machine_with(table(1, route("a"), route("b", prefix="/a/b/"))).catalog
        index = RouteIndex(catalog=catalog)
        assert index.route("H.example", "/a/b/c").name == "b"
        assert index.route("h.example", "/a/c").name == "a"
        assert index.route("h.example", "/ab/c") is None
        assert index.route("other.example", "/a/c") is None

    def test_index_follows_a_new_table(self):
        machine = machine_with(table(1))
        index = RouteIndex(catalog=machine.catalog)
        machine.apply(2, replacement_command(table(2, route(prefix="/b/")), b""))
        assert index.number == 2
        assert index.route("h.example", "/a/x") is None
        assert index.route("h.example", "/b/x") is not None

    def test_group_of_a_key_is_found_until_the_key_is_removed(self):
        groups = (Organisation(name="g", key_sha256s=(digest("k1"), digest("k2"))),)
        machine = machine_with(table(1, organisations=groups, keyed=True))
        index = RouteIndex(catalog=machine.catalog)
        assert index.organisation("k1").name == "g"
        assert index.organisation("k3") is None
        fewer = (Organisation(name="g", key_sha256s=(digest("k2"),)),)
        machine.apply(2, replacement_command(table(2, organisations=fewer, keyed=True), b""))
        assert index.organisation("k1") is None
        assert index.keyed

    def test_index_of_an_empty_catalog_has_no_table(self):
        assert not RouteIndex(catalog=Catalog()).has_table


MANIFEST = PieceManifest(algorithm="sha256", chunk_bytes=1, layers=1, digests=bytes(32))


class TestVersions:
    def test_naming_a_lower_version_is_ignored(self):
        machine = StateMachine()
        for index, number in enumerate((2, 3, 1), start=1):
            machine.apply(index, NameVersion(model="m", number=number))
        assert [found.number for found in versions_of(machine.catalog, "m")] == [3, 2]

    def test_first_description_is_kept(self):
        machine = StateMachine()
        machine.apply(1, NameVersion(model="m", number=2))
        machine.apply(2, DescribeVersion(model="m", number=2, manifest=MANIFEST))
        other = PieceManifest(algorithm="sha256", chunk_bytes=1, layers=1, digests=b"x" * 32)
        machine.apply(3, DescribeVersion(model="m", number=2, manifest=other))
        (found,) = versions_of(machine.catalog, "m")
        assert found.named
        assert found.manifest == MANIFEST

    def test_naming_keeps_the_description(self):
        machine = StateMachine()
        machine.apply(1, DescribeVersion(model="m", number=1, manifest=MANIFEST))
        machine.apply(2, NameVersion(model="m", number=1))
        (found,) = versions_of(machine.catalog, "m")
        assert found.named
        assert found.manifest == MANIFEST

    def test_old_versions_are_removed(self):
        machine = StateMachine()
        for number in range(1, 9):
            machine.apply(number, NameVersion(model="m", number=number))
        assert [found.number for found in versions_of(machine.catalog, "m")] == [8, 7, 6]
