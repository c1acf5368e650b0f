"""Faults planted into the source one at a time, to show which of them the model finds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from types import SimpleNamespace
from unittest import mock

import msgspec
from result import Ok

from leadhollow.control import confirmation, replica_service
from leadhollow.control.feed_server import FeedServer
from leadhollow.membership.evacuation_follower import EvacuationFollower
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.node.entry_role import EntryDispatcher
from leadhollow.platform import control as platform_control
from leadhollow.routing import catalog_items
from leadhollow.routing.index import RouteIndex
from leadhollow.state import (
    election,
    following,
    leadership,
    machine,
    replica,
    replica_state,
    route_tables,
)
from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import Answer
from leadhollow.state.gateway import LeaderGateway
from leadhollow.state.log_store import LogStore
from leadhollow.state.records import EVACUATION_PREFIX, evacuation_key
from tests.config_path.disk import Disks
from tests.config_path.site import DOMAINS

Patch = Callable[[], AbstractContextManager[object]]


def ignored_sync() -> AbstractContextManager[object]:
    return mock.patch.object(Disks, "fsync", lambda self, descriptor: None)


def commit_without_a_majority() -> AbstractContextManager[object]:
    def own_match_index(*, match_indexes, **_):
        return max(match_indexes)

    return mock.patch.object(leadership, "committed_index", own_match_index)


def delta_that_skips_an_item() -> AbstractContextManager[object]:
    items_after = Catalog.items_after

    def fewer(self, revision):
        found = items_after(self, revision)
        return found[1:] if revision else found

    return mock.patch.object(Catalog, "items_after", fewer)


def older_view_applied() -> AbstractContextManager[object]:
    def replaced(self, items, *, revision):
        fresh = list(items)
        self._items.update({item.key: item for item in fresh})
        self.revision = revision
        for listener in self._listeners if fresh else ():
            listener(fresh)
        return fresh

    return mock.patch.object(Catalog, "apply", replaced)


def delta_without_its_last_item() -> AbstractContextManager[object]:
    delta = FeedServer._delta

    def ahead(self, subscriber):
        update = delta(self, subscriber)
        if len(update.items or ()) > 2:
            update.items = update.items[:-1]
        return update

    return mock.patch.object(FeedServer, "_delta", ahead)


def tombstone_lost_in_a_snapshot() -> AbstractContextManager[object]:
    snapshot = machine.StateMachine.snapshot

    def without(self):
        held = self.catalog._items
        self.catalog._items = {key: item for key, item in held.items() if item.value is not None}
        try:
            return snapshot(self)
        finally:
            self.catalog._items = held

    return mock.patch.object(machine.StateMachine, "snapshot", without)


def document_lost_in_a_snapshot() -> AbstractContextManager[object]:
    restore = machine.StateMachine.restore

    def without(self, data):
        held = self.route_tables.source
        restore(self, data)
        self.route_tables.source = held

    return mock.patch.object(machine.StateMachine, "restore", without)


def read_without_confirmation() -> AbstractContextManager[object]:
    async def at_once(self, *, timeout_s):
        return Ok(None)

    return mock.patch.object(LeaderGateway, "confirm", at_once)


def unconfirmed_table_served() -> AbstractContextManager[object]:
    return mock.patch.object(
        EntryDispatcher, "has_confirmed_table", lambda self: self.routes.has_table
    )


def starting_replica_confirmed() -> AbstractContextManager[object]:
    return mock.patch.object(confirmation.ConfirmationMonitor, "age_ms", lambda self: 0)


def vote_not_written() -> AbstractContextManager[object]:
    def kept(self, vote):
        self.vote = vote
        return Ok(None)

    return mock.patch.object(LogStore, "save_vote", kept)


def wiped_disk_keeps_its_vote() -> AbstractContextManager[object]:
    load = replica_service.load_identity

    def as_before(folder, **given):
        return load(folder, **{**given, "first_start": True})

    return mock.patch.object(replica_service, "load_identity", as_before)


def vote_for_an_old_log() -> AbstractContextManager[object]:
    return mock.patch.object(following, "log_is_current", lambda **_: True)


def conflicting_entries_kept() -> AbstractContextManager[object]:
    return mock.patch.object(following, "first_conflict", lambda **_: None)


def removed_routes_stay() -> AbstractContextManager[object]:
    return mock.patch.object(RouteIndex, "_leave_out", lambda self, value: None)


def number_reused_with_other_content() -> AbstractContextManager[object]:
    held = route_tables.held_number
    return mock.patch.object(route_tables, "held_number", lambda catalog: held(catalog) - 1)


def invalid_table_accepted() -> AbstractContextManager[object]:
    return mock.patch.object(platform_control, "check_table", lambda table: None)


def unknown_outcome_acknowledged() -> AbstractContextManager[object]:
    propose = LeaderGateway.propose

    async def acknowledge_any_outcome(self, command, *, timeout_s):
        answered = await propose(self, command, timeout_s=timeout_s)
        return Ok(None) if answered.is_err() else answered

    return mock.patch.object(LeaderGateway, "propose", acknowledge_any_outcome)


def steady_s() -> float:
    return asyncio.get_running_loop().time()


def leader_lease_by_the_steady_clock() -> AbstractContextManager[object]:
    stack = ExitStack()
    for module in (election, following, leadership, replica, replica_state):
        if hasattr(module, "now_s"):
            stack.enter_context(mock.patch.object(module, "now_s", steady_s))
    return stack


def confirmation_by_the_steady_clock() -> AbstractContextManager[object]:
    return mock.patch.object(confirmation, "clocks", SimpleNamespace(elapsed_s=steady_s))


def versions_age_by_the_steady_clock() -> AbstractContextManager[object]:
    return mock.patch.object(NamingTimes, "_elapsed_s", lambda self: self._clock())


MUTANTS: dict[str, Patch] = {
    made.__name__.replace("_", " "): made
    for made in (
        ignored_sync,
        commit_without_a_majority,
        delta_that_skips_an_item,
        older_view_applied,
        delta_without_its_last_item,
        tombstone_lost_in_a_snapshot,
        document_lost_in_a_snapshot,
        read_without_confirmation,
        unconfirmed_table_served,
        starting_replica_confirmed,
        vote_not_written,
        wiped_disk_keeps_its_vote,
        vote_for_an_old_log,
        conflicting_entries_kept,
        removed_routes_stay,
        number_reused_with_other_content,
        invalid_table_accepted,
        unknown_outcome_acknowledged,
    )
}

CLOCK_MUTANTS: dict[str, Patch] = {
    made.__name__.replace("_", " "): made
    for made in (
        leader_lease_by_the_steady_clock,
        confirmation_by_the_steady_clock,
        versions_age_by_the_steady_clock,
    )
}
"""Faults that only runs with suspended hosts can find."""


def unknown_outcome_acknowledged_for_orders() -> AbstractContextManager[object]:
    propose = LeaderGateway.propose

    async def acknowledge_any_outcome(self, command, *, timeout_s):
        answered = await propose(self, command, timeout_s=timeout_s)
        return Ok(Answer()) if answered.is_err() else answered

    return mock.patch.object(LeaderGateway, "propose", acknowledge_any_outcome)


def evacuation_lost_in_a_snapshot() -> AbstractContextManager[object]:
    restore = machine.StateMachine.restore

    def without(self, data):
        restore(self, data)
        for domain in DOMAINS:
            self.catalog._items.pop(evacuation_key(domain), None)

    return mock.patch.object(machine.StateMachine, "restore", without)


def evacuations_ended_by_a_route_table() -> AbstractContextManager[object]:
    return mock.patch.object(catalog_items, "_PREFIXES", (EVACUATION_PREFIX,))


def late_order_accepted() -> AbstractContextManager[object]:
    set_evacuation = machine.set_evacuation

    def accept(command, catalog, *, revision):
        newest = msgspec.structs.replace(command, seen_revision=revision)
        return set_evacuation(newest, catalog, revision=revision)

    return mock.patch.object(machine, "set_evacuation", accept)


def evacuation_not_applied_at_entries() -> AbstractContextManager[object]:
    return mock.patch.object(EvacuationFollower, "_on_change", lambda self, items: None)


def whole_view_removes_nothing() -> AbstractContextManager[object]:
    def added(self, items, *, revision, floor):
        return self.apply(items, revision=revision)

    return mock.patch.object(Catalog, "replace", added)


def whole_view_sent_as_a_delta() -> AbstractContextManager[object]:
    delta = FeedServer._delta

    def unmarked(self, subscriber):
        update = delta(self, subscriber)
        update.whole_catalog = False
        return update

    return mock.patch.object(FeedServer, "_delta", unmarked)


def floor_that_promises_too_much() -> AbstractContextManager[object]:
    return mock.patch.object(Catalog, "needs_whole_view", lambda self, revision: False)


FLOOR_MUTANTS: dict[str, Patch] = {
    made.__name__.replace("_", " "): made
    for made in (
        whole_view_removes_nothing,
        whole_view_sent_as_a_delta,
        floor_that_promises_too_much,
    )
}
"""Faults that only runs in which removed items are forgotten can find."""


EVACUATION_MUTANTS: dict[str, Patch] = {
    made.__name__.replace("_", " "): made
    for made in (
        ignored_sync,
        commit_without_a_majority,
        unknown_outcome_acknowledged_for_orders,
        evacuation_lost_in_a_snapshot,
        evacuations_ended_by_a_route_table,
        late_order_accepted,
        evacuation_not_applied_at_entries,
    )
}
"""Faults that runs with orders to evacuate failure domains find."""

HELD_BACK_MUTANTS = {"late order accepted"}
"""Those of them that only runs with suspended hosts can find."""

__all__ = [
    "CLOCK_MUTANTS",
    "EVACUATION_MUTANTS",
    "FLOOR_MUTANTS",
    "HELD_BACK_MUTANTS",
    "MUTANTS",
]
