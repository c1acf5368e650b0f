"""Fields of feed updates that only entries get.

These are the use of engines, decisions on requests, suspects, rate limits with the leased shares,
and back-offs of backend servers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from leadhollow.control.limit_relay import LimitRelay
from leadhollow.control.registry import Registry
from leadhollow.control.self_report_relay import SelfReportRelay
from leadhollow.control.subscriber import Subscriber
from leadhollow.control.suspect_relay import SuspectRelay
from leadhollow.control.use_aggregator import UseAggregator
from leadhollow.membership.suspect_news import SuspectChanges, all_records, encode_news
from leadhollow.membership.uses import Use, encode_decisions
from leadhollow.wire.generated.ttypes import (
    FeedUpdate,
    LimitLease,
    LimitNews,
    ServiceDecisions,
    SuspectNews,
)

DECISIONS_INTERVAL_S = 0.1  # minimum time between two updates that contain decisions


class EntryUpdateBuilder:
    """Records pending changes for each entry and writes them to its feed updates.

    Parameters
    ----------
    entries
        Returns the entries that subscribe to this replica.
    """

    __slots__ = ("_entries", "_limits", "_registry", "_self_reports", "_suspects", "_uses")

    def __init__(
        self,
        *,
        entries: Callable[[], Iterable[Subscriber]],
        registry: Registry,
        uses: UseAggregator,
        suspects: SuspectRelay,
        limits: LimitRelay,
        self_reports: SelfReportRelay,
    ) -> None:
        self._entries = entries
        self._registry = registry
        self._uses = uses
        self._suspects = suspects
        self._limits = limits
        self._self_reports = self_reports
        uses.on_change(self._on_uses)
        suspects.on_change(self._on_suspects)
        self_reports.on_change(self._on_backoffs)
        limits.set_listeners(
            on_limits=self._on_limits, on_lease=self._on_lease, on_stale_entry=self._on_stale_entry
        )

    def mark_everything_pending(self, entry: Subscriber) -> None:
        """Include everything that is known in the next update of an entry."""
        entry.uses.add(self._uses.engines(), (), _now_s())
        entry.suspects = all_records(self._suspects.table)
        entry.limits = self._limits.known_lives()
        entry.backoffs = self._self_reports.lives_in_backoff()

    def fill(self, update: FeedUpdate, entry: Subscriber, now_s: float) -> None:
        """Write the pending changes of an entry to an update and clear them."""
        update.engines, update.packed_uses = self._use_fields(entry, now_s)
        update.decisions = self._decisions_field(entry, now_s)
        update.suspects = self._suspects_field(entry, now_s)
        update.limits = self._limits_field(entry)
        update.limit_lease = self._take_lease(entry)
        lives, entry.backoffs = entry.backoffs, set()
        update.rests = self._self_reports.encode_backoffs(lives) or None

    def remove_entry(self, vm: str) -> None:
        """Drop the reports of an entry that does not subscribe any more."""
        self._uses.remove_entry(vm)

    def _use_fields(self, entry: Subscriber, now_s: float) -> tuple[list[str], bytes]:
        """Return engines and packed uses of other entries, for the engines where these changed."""

        def use_of(address: str) -> Use:
            return self._uses.total(address, excluding=entry.vm)

        return entry.uses.take(use_of, now_s)

    def _decisions_field(self, entry: Subscriber, now_s: float) -> list[ServiceDecisions] | None:
        """Return recent decisions of other entries, None if they were sent just before."""
        if now_s - entry.decisions_s < DECISIONS_INTERVAL_S:
            return None
        entry.decisions_s = now_s
        return encode_decisions(self._uses.decisions(excluding=entry.vm)) or None

    def _suspects_field(self, entry: Subscriber, now_s: float) -> SuspectNews | None:
        """Return changes of the suspect table, None if there are none."""
        checksum = self._suspects.table.checksum()
        if not entry.suspects and checksum == entry.suspects_checksum:
            return None
        entry.suspects_checksum = checksum
        return encode_news(self._suspects.table, entry.suspects.pop_all(), now_s)

    def _limits_field(self, entry: Subscriber) -> LimitNews | None:
        """Return changed rate limits of servers; None if there are none and no lease is pending."""
        if not self._limits.table or (not entry.limits and entry.limit_lease is None):
            return None
        lives, entry.limits = entry.limits, set()
        return self._limits.build_message(lives)

    def _take_lease(self, entry: Subscriber) -> LimitLease | None:
        lease, entry.limit_lease = entry.limit_lease, None
        return lease

    def _on_uses(self, engines: set[str], vm: str) -> None:
        by_domain: dict[str, set[str]] = {}
        for address in engines:
            by_domain.setdefault(self._domain_of(address), set()).add(address)
        no_engines: set[str] = set()
        now_s = _now_s()
        for entry in self._entries():
            if entry.vm != vm:
                local = by_domain.get(entry.domain, no_engines)
                entry.add_use_changes(local, engines - local, now_s)

    def _domain_of(self, address: str) -> str:
        instance = self._registry.table.at_address(address)
        return "" if instance is None else instance.failure_domain

    def _on_suspects(self, changed: SuspectChanges) -> None:
        for entry in self._entries():
            entry.suspects.merge(changed)
            entry.schedule(_now_s())

    def _on_backoffs(self, lives: set[str], vm: str) -> None:
        for entry in self._entries():
            if entry.vm != vm:
                entry.backoffs |= lives
                entry.schedule(_now_s())

    def _on_limits(self, lives: set[str]) -> None:
        for entry in self._entries():
            entry.limits |= lives
            entry.schedule(_now_s())

    def _on_lease(self, lease: LimitLease) -> None:
        for entry in self._entries():
            if entry.vm == lease.vm:
                entry.limit_lease = lease
                entry.schedule(_now_s())

    def _on_stale_entry(self, vm: str) -> None:
        for entry in self._entries():
            if entry.vm == vm:
                entry.limits |= self._limits.known_lives()
                entry.schedule(_now_s())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["EntryUpdateBuilder"]
