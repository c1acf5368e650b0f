"""What a change of the route table costs as the table grows.

Each figure is the median of several rounds in this process, without network: a replica carries out
a change of one route, the feed gathers it for a watcher, an entry takes it and looks routes up.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from functools import partial
from typing import TypeVar

import msgspec
from result import Ok, Result

from leadhollow.failure import Failure
from leadhollow.routing.index import RouteIndex
from leadhollow.routing.model import CallKind, Route, RouteTable, ServiceRecord, Target
from leadhollow.state.catalog import Catalog, encode_item
from leadhollow.state.machine import StateMachine
from leadhollow.state.route_tables import replacement_command

Value = TypeVar("Value")

SIZES = (100, 1_500, 10_000)
ROUNDS = 15
HOSTS = 3
LOOKUPS = 200
CHANGES = 2_000
"""Changes in a row, each with another route in place of one that goes."""


class TableCost(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of a change of one route in a table of some size.

    Parameters
    ----------
    replica_us
        Time in which a replica carries the change out.
    gather_us
        Time in which the feed finds what is new for one watcher.
    entry_us
        Time in which an entry takes the new items.
    lookup_us
        Time in which an entry finds the route of a request.
    change_bytes, whole_bytes
        What one watcher is sent of the change, and one that knows nothing.
    """

    routes: int
    replica_us: float
    gather_us: float
    entry_us: float
    lookup_us: float
    change_bytes: int
    whole_bytes: int


class TableHistory(msgspec.Struct, frozen=True, kw_only=True):
    """What is kept after many changes of a small table."""

    changes: int
    routes: int
    kept_items: int
    whole_bytes: int
    snapshot_bytes: int


class TableReport(msgspec.Struct, frozen=True, kw_only=True):
    """All figures."""

    costs: list[TableCost]
    history: TableHistory


async def run_table_costs() -> Result[TableReport, Failure]:
    """Measure tables of all sizes, and many changes of a small one."""
    return Ok(TableReport(costs=[_cost(size) for size in SIZES], history=_history(SIZES[0])))


def route_index(size: int) -> RouteIndex:
    """Make an index of so many routes."""
    catalog = Catalog()
    index = RouteIndex(catalog=catalog)
    machine = StateMachine()
    machine.apply(1, replacement_command(route_table(1, {n: route(n) for n in range(size)}), b"{}"))
    catalog.apply(machine.catalog.items_after(0), revision=1)
    return index


def route(number: int, *, timeout_ms: int = 1_000) -> Route:
    """Make a route."""
    return Route(
        name=f"r-{number}",
        host=f"host{number % HOSTS}.example",
        path_prefix=f"/{number:08x}/",
        kind=CallKind.IDEMPOTENT,
        timeout_ms=timeout_ms,
        objective_ms=500,
        targets=(Target(service="s", weight=1.0),),
    )


def route_table(number: int, routes: dict[int, Route]) -> RouteTable:
    """Make a table of some routes."""
    return RouteTable(
        number=number, routes=tuple(routes.values()), services=(ServiceRecord(name="s"),)
    )


def _cost(size: int) -> TableCost:
    machine = StateMachine()
    follower = Catalog()
    index = RouteIndex(catalog=follower)
    routes = {number: route(number) for number in range(size)}
    machine.apply(1, replacement_command(route_table(1, routes), b"{}"))
    follower.apply(machine.catalog.items_after(0), revision=1)
    times: dict[str, list[float]] = {name: [] for name in ("replica", "gather", "entry")}
    change_bytes = 0
    for turn in range(2, ROUNDS + 2):
        routes[turn] = route(turn, timeout_ms=1_000 + turn)
        command = replacement_command(route_table(turn, routes), b"{}")
        _, took_us = timed(partial(machine.apply, turn, command))
        times["replica"].append(took_us)
        items, took_us = timed(partial(machine.catalog.items_after, turn - 1))
        times["gather"].append(took_us)
        change_bytes = sum(len(encode_item(item)) for item in items)
        _, took_us = timed(partial(follower.apply, items, revision=turn))
        times["entry"].append(took_us)
    found, took_us = timed(partial(_look_up, index, size))
    assert found == LOOKUPS
    return TableCost(
        routes=size,
        replica_us=round(statistics.median(times["replica"]), 1),
        gather_us=round(statistics.median(times["gather"]), 1),
        entry_us=round(statistics.median(times["entry"]), 1),
        lookup_us=round(took_us / LOOKUPS, 2),
        change_bytes=change_bytes,
        whole_bytes=_whole_bytes(machine.catalog),
    )


def _look_up(index: RouteIndex, size: int) -> int:
    found = 0
    for turn in range(LOOKUPS):
        number = turn * size // LOOKUPS
        route = index.route(f"host{number % HOSTS}.example", f"/{number:08x}/a/b/c")
        found += route is not None
    return found


def _history(size: int) -> TableHistory:
    machine = StateMachine()
    routes = {number: route(number) for number in range(size)}
    for turn in range(1, CHANGES + 1):
        del routes[turn - 1]
        routes[size + turn - 1] = route(size + turn - 1)
        machine.apply(turn, replacement_command(route_table(turn, routes), b"{}"))
    return TableHistory(
        changes=CHANGES,
        routes=len(routes),
        kept_items=len(machine.catalog.items()),
        whole_bytes=_whole_bytes(machine.catalog),
        snapshot_bytes=len(machine.snapshot()),
    )


def _whole_bytes(catalog: Catalog) -> int:
    return sum(len(encode_item(item)) for item in catalog.items_after(0))


def timed(work: Callable[[], Value]) -> tuple[Value, float]:
    """Give the value of a function, and the microseconds that it took."""
    began_s = time.perf_counter()
    value = work()
    return value, (time.perf_counter() - began_s) * 1e6


__all__ = [
    "TableCost",
    "TableHistory",
    "TableReport",
    "route",
    "route_index",
    "route_table",
    "run_table_costs",
    "timed",
]
