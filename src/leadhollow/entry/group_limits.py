"""Limits of each group on one entry: leased by the domain's allocator, or a static share."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.kernel import clocks
from leadhollow.state.catalog import Catalog

BURST_S = 1.0


class StaticShare:
    """Fixed share of a limit, used by an entry that has no valid lease.

    Parameters
    ----------
    index, count
        Index of this entry among all entries, and their number. The shares of all entries sum
        exactly to the limit.
    """

    __slots__ = ("_index", "count")

    def __init__(self, *, index: int, count: int) -> None:
        self._index = index
        self.count = count

    def share_of(self, limit: int) -> int:
        """Return the share of an integer limit."""
        return limit // self.count + (1 if self._index < limit % self.count else 0)


class _Lease:
    __slots__ = ("slots", "tokens_per_s", "until_s")

    def __init__(self, *, slots: float, tokens_per_s: float, until_s: float) -> None:
        self.slots = slots
        self.tokens_per_s = tokens_per_s
        self.until_s = until_s


class _Bucket:
    __slots__ = ("level", "updated_s")

    def __init__(self, *, updated_s: float) -> None:
        self.level = 0.0
        self.updated_s = updated_s


class GroupLimits:
    """Concurrency and token rate that groups may use through this entry.

    Parameters
    ----------
    catalog
        Contains the rows with the limits.
    static_share
        Used for a group without a valid lease.
    clock_s
        Clock that includes time in which the machine was suspended, because the allocator's
        lease also expires then. Replaced in tests.
    """

    __slots__ = ("_buckets", "_catalog", "_clock_s", "_leases", "_started_s", "_static_share")

    def __init__(
        self,
        *,
        catalog: Catalog,
        static_share: StaticShare,
        clock_s: Callable[[], float] = clocks.boot_s,
    ) -> None:
        self._catalog = catalog
        self._static_share = static_share
        self._clock_s = clock_s
        self._started_s = clock_s()
        self._leases: dict[str, _Lease] = {}
        self._buckets: dict[str, _Bucket] = {}

    def apply_lease(self, group: str, *, slots: float, tokens_per_s: float, valid_s: float) -> None:
        """Store the share that the domain's allocator leased for a group."""
        until_s = self._clock_s() + valid_s
        self._leases[group] = _Lease(slots=slots, tokens_per_s=tokens_per_s, until_s=until_s)

    def has_group(self, group: str) -> bool:
        """Return whether the table still has a row for a group."""
        return self._catalog.row(group) is not None

    def allows(self, group: str, *, running: int, cost_tokens: float) -> bool:
        """Return whether one more request of a group may start.

        A request may cost more than the tokens that the group has; the group owes the rest. What it
        owed before this process started is not known, so a request waits until its cost has accrued
        since then.
        """
        if running >= self.slots(group) or self._level(group) < 0:
            return False
        return self._rate(group) * (self._clock_s() - self._started_s) >= cost_tokens

    def slots(self, group: str) -> float:
        """Return the concurrency that a group may use on this entry."""
        stored = self._catalog.row(group)
        if stored is None:
            return 0
        lease = self._fresh_lease(group)
        limit = stored.row.limits.concurrency
        return self._static_share.share_of(limit) if lease is None else min(lease.slots, limit)

    def spend(self, group: str, tokens: float) -> None:
        """Charge estimated tokens to a group's token rate."""
        self._level(group)
        self._buckets[group].level -= tokens

    def adjust(self, group: str, tokens: float) -> None:
        """Charge the difference between actual and estimated tokens."""
        if group in self._buckets:
            self._buckets[group].level -= tokens

    def _rate(self, group: str) -> float:
        stored = self._catalog.row(group)
        if stored is None:
            return 0.0
        lease = self._fresh_lease(group)
        limit = stored.row.limits.tokens_per_s
        return (
            self._static_share.share_of(limit) if lease is None else min(lease.tokens_per_s, limit)
        )

    def _level(self, group: str) -> float:
        now_s = self._clock_s()
        bucket = self._buckets.get(group)
        rate = self._rate(group)
        if bucket is None:
            bucket = self._buckets[group] = _Bucket(updated_s=self._started_s)
        elapsed_s = now_s - bucket.updated_s
        bucket.updated_s = now_s
        bucket.level = min(rate * BURST_S, bucket.level + rate * elapsed_s)
        return bucket.level

    def _fresh_lease(self, group: str) -> _Lease | None:
        lease = self._leases.get(group)
        return lease if lease is not None and self._clock_s() < lease.until_s else None


__all__ = ["GroupLimits", "StaticShare"]
