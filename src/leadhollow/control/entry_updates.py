"""What entries alone are told: uses, decisions, suspects, limits with their shares, and rests."""

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

DECISIONS_PAUSE_S = 0.1  # what was refused is told again after it, with whatever is told then


class EntryUpdateBuilder:
    """Notes for each entry what it has not been told yet, and puts it into its updates.

    Parameters
    ----------
    entries
        Gives the entries that watch this replica.
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
        self_reports.on_change(self._on_rests)
        limits.set_listeners(
            on_limits=self._on_limits, on_lease=self._on_lease, on_behind=self._on_behind
        )

    def mark_everything_pending(self, entry: Subscriber) -> None:
        """Have an entry told all that is known."""
        entry.uses.add(self._uses.engines(), (), _now_s())
        entry.suspects = all_records(self._suspects.table)
        entry.limits = self._limits.known_lives()
        entry.rests = self._self_reports.lives_in_backoff()

    def fill(self, update: FeedUpdate, entry: Subscriber, now_s: float) -> None:
        """Put into an update what its entry has not been told yet."""
        update.engines, update.packed_uses = self._news_of_uses(entry, now_s)
        update.decisions = self._news_of_decisions(entry, now_s)
        update.suspects = self._news_of_suspects(entry, now_s)
        update.limits = self._news_of_limits(entry)
        update.limit_lease = self._take_lease(entry)
        lives, entry.rests = entry.rests, set()
        update.rests = self._self_reports.encode_backoffs(lives) or None

    def remove_entry(self, vm: str) -> None:
        """Forget what an entry told that watches no more."""
        self._uses.remove_entry(vm)

    def _news_of_uses(self, entry: Subscriber, now_s: float) -> tuple[list[str], bytes]:
        """Give what other entries have at engines, where that changed."""

        def use_of(address: str) -> Use:
            return self._uses.total(address, excluding=entry.vm)

        return entry.uses.take(use_of, now_s)

    def _news_of_decisions(self, entry: Subscriber, now_s: float) -> list[ServiceDecisions] | None:
        """Give what other entries refused lately, unless that was told a moment ago."""
        if now_s - entry.decisions_s < DECISIONS_PAUSE_S:
            return None
        entry.decisions_s = now_s
        return encode_decisions(self._uses.decisions(excluding=entry.vm)) or None

    def _news_of_suspects(self, entry: Subscriber, now_s: float) -> SuspectNews | None:
        """Give what is known of requests that end servers, where that changed."""
        mark = self._suspects.table.checksum()
        if not entry.suspects and mark == entry.suspects_mark:
            return None
        entry.suspects_mark = mark
        return encode_news(self._suspects.table, entry.suspects.pop_all(), now_s)

    def _news_of_limits(self, entry: Subscriber) -> LimitNews | None:
        """Give what is known of servers' limits, where that changed or shares are leased."""
        if not self._limits.table or (not entry.limits and entry.limit_lease is None):
            return None
        lives, entry.limits = entry.limits, set()
        return self._limits.build_message(lives)

    def _take_lease(self, entry: Subscriber) -> LimitLease | None:
        lease, entry.limit_lease = entry.limit_lease, None
        return lease

    def _on_uses(self, engines: set[str], vm: str) -> None:
        inside: dict[str, set[str]] = {}
        for address in engines:
            inside.setdefault(self._domain_of(address), set()).add(address)
        nothing: set[str] = set()
        now_s = _now_s()
        for entry in self._entries():
            if entry.vm != vm:
                near = inside.get(entry.domain, nothing)
                entry.add_use_changes(near, engines - near, now_s)

    def _domain_of(self, address: str) -> str:
        instance = self._registry.table.at_address(address)
        return "" if instance is None else instance.failure_domain

    def _on_suspects(self, changed: SuspectChanges) -> None:
        for entry in self._entries():
            entry.suspects.merge(changed)
            entry.schedule(_now_s())

    def _on_rests(self, lives: set[str], vm: str) -> None:
        for entry in self._entries():
            if entry.vm != vm:
                entry.rests |= lives
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

    def _on_behind(self, vm: str) -> None:
        for entry in self._entries():
            if entry.vm == vm:
                entry.limits |= self._limits.known_lives()
                entry.schedule(_now_s())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["EntryNews"]
