"""Removed items are forgotten: the size of the catalog does not depend on its history."""

from __future__ import annotations

import base64
import random
import zlib

import msgspec
import pytest

from leadhollow.codes import Code
from leadhollow.routing.index import RouteIndex
from leadhollow.routing.model import CallKind, Route, RouteTable, ServiceRecord, Target
from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import SetEvacuation
from leadhollow.state.machine import StateMachine
from leadhollow.state.records import CatalogItem, DrainRecord, drain_key, evacuation_key
from leadhollow.state.removed_items import MIN_REMOVED_KEPT, REVISIONS_KEPT
from leadhollow.state.route_tables import replacement_command

EARLIER_SNAPSHOT = (
    "c-qC1y-ve06ou0W7I*-jqGV^GZxT7qr7?};$i4~9R<#0&4F&`QOGT3Yh2M!0AvRQ=g_Vuqlq#a?j2G+P^IhMgBcF^V#7"
    "r>}Y-9|9tINSn2a?=poS|BZjVva91ji{RA>2~p`yiVYQ+PmJkhYT`sCmnnI>Jq=>ceOm#^XXq#z91Ab2Z<7zGtov_14~%"
    "-uocS8Z2iQx`c;5SbrUyY6qFd(tvOnI;kfVPL?CHkf3LW5)N2*Xr&z%xVb_JgimYxcEUn9hd`0V@KZM~Mo45EP@VTj3S`"
    "VE3{`#vtnK0Z{->eOm|&Svh|1J%CkxP8397Gc{ytP0ReB~v;`p%S&59przR+4Th`0kXuP!qyhroTU$3s`+G1tXIt9a-?#"
    "ItZq*1CPsSOGDi5y7%=xwY?DAyW~8)S~K*Jf={{<SeH?VO;f|^afkUW-Ad%3U6E8>)G9=(TI$%Z{XoR$p"
)
"""Snapshot of a release that kept all removed items. The tables were routes a and b, then b and c;
failure domain d was evacuated and restored."""


def route(host: str) -> Route:
    return Route(
        name=host,
        host=f"{host}.example",
        path_prefix="/",
        kind=CallKind.STREAM,
        timeout_ms=6_000,
        objective_ms=405,
        targets=(Target(service="s", weight=1.0),),
        attempts=2,
    )


def table(number: int, hosts: list[str]) -> RouteTable:
    services = (ServiceRecord(name="s"),)
    return RouteTable(number=number, routes=tuple(map(route, hosts)), services=services)


def put_table(machine: StateMachine, number: int, hosts: list[str]) -> None:
    machine.apply(number, replacement_command(table(number, hosts), b"{}"))


def replace_all(machine: StateMachine, numbers: range, *, routes: int) -> None:
    """Apply tables of which each has other routes than the one before."""
    for number in numbers:
        put_table(machine, number, [f"{number}-{each}" for each in range(routes)])


def drain(revision: int, server: str, *, draining: bool) -> CatalogItem:
    value = DrainRecord(server=server, operator="o") if draining else None
    return CatalogItem(key=drain_key(server), revision=revision, value=value)


def remove_many(catalog: Catalog, revisions: range, *, count: int) -> None:
    """Remove items of other keys at each revision."""
    for revision in revisions:
        items = [drain(revision, f"{revision}-{each}", draining=False) for each in range(count)]
        catalog.apply(items, revision=revision)


def live_keys(catalog: Catalog) -> list[str]:
    return sorted(item.key for item in catalog.whole_view())


class TestSize:
    # Guards against: changes, starts and snapshots whose cost grows with all changes ever made
    def test_many_changes_of_all_routes_leave_a_bounded_catalog(self):
        catalog = Catalog()
        value = route("a")
        previous: list[str] = []
        for revision in range(1, 10_001):
            keys = [f"route/{revision}-{each}" for each in range(35)]
            items = [CatalogItem(key=key, revision=revision, value=value) for key in keys]
            items += [CatalogItem(key=key, revision=revision, value=None) for key in previous]
            catalog.apply(items, revision=revision)
            previous = keys
        assert live_keys(catalog) == sorted(previous)
        assert len(catalog.items()) <= 35 + MIN_REMOVED_KEPT

    def test_many_tables_leave_a_bounded_snapshot(self):
        machine = StateMachine()
        replace_all(machine, range(1, 20), routes=350)
        size_bytes = len(machine.snapshot())
        replace_all(machine, range(20, 60), routes=350)
        assert len(machine.snapshot()) < 1.2 * size_bytes
        assert len(machine.catalog.items()) <= 353 + max(MIN_REMOVED_KEPT, REVISIONS_KEPT * 350)

    def test_as_many_removed_items_are_kept_as_there_are_items_in_force(self):
        catalog = Catalog()
        live = [drain(1, f"live-{each}", draining=True) for each in range(3_000)]
        catalog.apply(live, revision=1)
        remove_many(catalog, range(2, 100), count=100)
        assert catalog.removed_items == 3_000
        assert catalog.floor == 99 - 30

    # Guards against: a delta that lacks removals of a change that came just before
    def test_newest_removals_are_kept_however_many_they_are(self):
        catalog = Catalog()
        remove_many(catalog, range(1, 10), count=5_000)
        assert catalog.removed_items == REVISIONS_KEPT * 5_000
        assert catalog.floor == 9 - REVISIONS_KEPT
        removed = catalog.items_after(catalog.floor)
        assert {item.revision for item in removed} == set(range(10 - REVISIONS_KEPT, 10))

    def test_item_that_comes_back_no_longer_counts_as_removed(self):
        catalog = Catalog()
        catalog.apply([drain(1, "a", draining=False)], revision=1)
        catalog.apply([drain(2, "a", draining=True)], revision=2)
        assert catalog.removed_items == 0
        remove_many(catalog, range(3, 20), count=1_000)
        assert catalog.floor > 2
        assert catalog.draining("a")


class TestFloor:
    def test_floor_never_goes_back(self):
        catalog = Catalog()
        floors = []
        generator = random.Random(3)
        for revision in range(1, 400):
            draining = generator.random() < 0.5
            count = generator.randrange(600)
            items = [
                drain(revision, str(generator.randrange(4_000)), draining=draining)
                for _ in range(count)
            ]
            catalog.apply(items, revision=revision)
            floors.append(catalog.floor)
        assert floors == sorted(floors)
        assert floors[-1] > 0

    def test_a_lower_floor_of_a_view_does_not_lower_it(self):
        catalog = Catalog()
        remove_many(catalog, range(1, 20), count=1_000)
        floor = catalog.floor
        catalog.replace([], revision=20, floor=1)
        assert catalog.floor == floor

    # Guards against: replicas that apply the same log and forget different items
    @pytest.mark.parametrize("restored_at", [5, 17, 30])
    def test_replica_restored_from_a_snapshot_forgets_the_same(self, restored_at):
        whole, restored = StateMachine(), StateMachine()
        replace_all(whole, range(1, restored_at), routes=200)
        restored.restore(whole.snapshot())
        for machine in (whole, restored):
            replace_all(machine, range(restored_at, 40), routes=200)
        assert whole.catalog.floor > 0
        assert restored.catalog.floor == whole.catalog.floor
        assert restored.catalog.items() == whole.catalog.items()
        assert restored.snapshot() == whole.snapshot()

    # Guards against: a forgotten route that a held-back item puts in force again
    def test_item_up_to_the_floor_is_not_added(self):
        catalog = Catalog()
        remove_many(catalog, range(1, 20), count=1_000)
        old = drain(catalog.floor, f"{catalog.floor}-0", draining=True)
        assert catalog.apply([old], revision=catalog.floor) == []
        assert catalog.whole_view() == []

    # Guards against: a held-back order that undoes a newer one whose removal was forgotten
    def test_restored_failure_domain_is_never_forgotten(self):
        machine = StateMachine()
        for index, evacuated in ((1, True), (2, False)):
            machine.apply(
                index,
                SetEvacuation(
                    domain="d", evacuated=evacuated, seen_revision=index - 1, received_ms=1
                ),
            )
        replace_all(machine, range(3, 40), routes=200)
        assert machine.catalog.floor > 2
        late = SetEvacuation(domain="d", evacuated=True, seen_revision=1, received_ms=1)
        assert machine.apply(40, late).code == Code.ORDER_OVERTAKEN


class TestWholeView:
    def test_items_that_are_not_in_it_are_removed(self):
        catalog = Catalog()
        catalog.apply([drain(1, "a", draining=True), drain(1, "b", draining=True)], revision=1)
        told: list[CatalogItem] = []
        catalog.on_change(told.extend)
        view = [drain(1, "b", draining=True), drain(5, "c", draining=True)]
        catalog.replace(view, revision=6, floor=6)
        assert live_keys(catalog) == [drain_key("b"), drain_key("c")]
        assert {item.key: item.value is None for item in told} == {
            drain_key("c"): False,
            drain_key("a"): True,
        }
        assert (catalog.revision, catalog.floor) == (6, 6)

    # Guards against: a control replica behind the one before that takes newer routes away
    def test_an_older_view_changes_nothing(self):
        catalog = Catalog()
        catalog.apply([drain(7, "a", draining=True)], revision=7)
        assert catalog.replace([], revision=6, floor=6) == []
        assert live_keys(catalog) == [drain_key("a")]
        assert (catalog.revision, catalog.floor) == (7, 0)

    # Guards against: an older view that undoes a part of a newer update that was cut off
    def test_items_newer_than_the_view_are_kept(self):
        catalog = Catalog()
        catalog.apply([drain(9, "a", draining=True)], revision=0)
        catalog.replace([drain(4, "b", draining=True)], revision=5, floor=5)
        assert live_keys(catalog) == [drain_key("a"), drain_key("b")]

    def test_waiting_tasks_learn_of_a_view_without_items(self):
        catalog = Catalog()
        catalog.apply([drain(1, "a", draining=True)], revision=1)
        changed = catalog._changed
        catalog.replace([], revision=2, floor=2)
        assert changed.is_set()


class TestSnapshots:
    # Guards against: a replica that comes back late and keeps routes that were removed meanwhile
    def test_replica_that_was_away_drops_what_the_others_forgot(self):
        ahead, late = StateMachine(), StateMachine()
        for machine in (ahead, late):
            put_table(machine, 1, ["old", "lasting"])
        index = RouteIndex(catalog=late.catalog)
        replace_all(ahead, range(2, 40), routes=200)
        put_table(ahead, 40, ["lasting"])
        late.restore(ahead.snapshot())
        assert late.catalog.items() == ahead.catalog.items()
        assert index.route("old.example", "/") is None
        assert index.route("lasting.example", "/").name == "lasting"

    def test_snapshot_of_an_earlier_release_is_read(self):
        machine = StateMachine()
        machine.restore(zlib.decompress(base64.b85decode(EARLIER_SNAPSHOT)))
        assert machine.catalog.floor == 0
        assert machine.catalog.revision == 4
        assert live_keys(machine.catalog) == [
            "limits",
            "route/b.example/",
            "route/c.example/",
            "service/s",
            "table",
        ]
        assert machine.catalog.item("route/a.example/").value is None
        assert machine.catalog.item(evacuation_key("d")).revision == 4

    def test_earlier_snapshot_with_many_removed_items_is_compacted(self):
        earlier = msgspec.msgpack.decode(zlib.decompress(base64.b85decode(EARLIER_SNAPSHOT)))
        removed = [
            {"key": f"route/{revision}-{each}", "revision": revision, "value": None}
            for revision in range(5, 105)
            for each in range(100)
        ]
        earlier["items"] += removed
        earlier["revision"] = 104
        machine = StateMachine()
        machine.restore(msgspec.msgpack.encode(earlier))
        assert machine.catalog.removed_items <= MIN_REMOVED_KEPT
        assert machine.catalog.floor == 104 - machine.catalog.removed_items // 100
