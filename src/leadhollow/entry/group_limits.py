"""Part of each group's limits on one entry: leased by the domain, static without a lease."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.kernel import clocks
from leadhollow.state.catalog import Catalog

BURST_S = 1.0


class StaticPart:
    """Our fixed part of a limit when no lease is fresh.

    Parameters
    ----------
    index, parts
        Our place among all entries; the parts of all sum to the limit exactly.
    """

    __slots__ = ("_index", "_parts")

    def __init__(self, *, index: int, parts: int) -> None:
        self._index = index
        self._parts = parts

    def of(self, limit: int) -> int:
        """Give our part of a whole number."""
        return limit // self._parts + (1 if self._index < limit % self._parts else 0)


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


class GroupShareLimits:
    """Concurrency and token rate that groups may use through this entry.

    Parameters
    ----------
    catalog
        Holds the rows with their limits.
    static
        Our part without a lease.
    clock_s
        Clock that counts suspensions: a lease ends for its giver meanwhile. Replaced in tests.
    """

    __slots__ = ("_buckets", "_catalog", "_clock_s", "_leases", "_static")

    def __init__(
        self,
        *,
        catalog: Catalog,
        static: StaticPart,
        clock_s: Callable[[], float] = clocks.boot_s,
    ) -> None:
        self._catalog = catalog
        self._static = static
        self._clock_s = clock_s
        self._leases: dict[str, _Lease] = {}
        self._buckets: dict[str, _Bucket] = {}

    def lease(self, group: str, *, slots: float, tokens_per_s: float, valid_s: float) -> None:
        """Take the share that the domain's allocator leased for a group."""
        until_s = self._clock_s() + valid_s
        self._leases[group] = _Lease(slots=slots, tokens_per_s=tokens_per_s, until_s=until_s)

    def known(self, group: str) -> bool:
        """Tell whether the table still has a row of a group."""
        return self._catalog.row(group) is not None

    def allows(self, group: str, *, running: int) -> bool:
        """Tell whether one more request of a group may start."""
        return running < self.slots(group) and self._level(group) > 0

    def slots(self, group: str) -> float:
        """Give the concurrency that a group may use here."""
        stored = self._catalog.row(group)
        if stored is None:
            return 0
        lease = self._fresh(group)
        limit = stored.row.limits.concurrency
        return self._static.of(limit) if lease is None else min(lease.slots, limit)

    def spend(self, group: str, tokens: float) -> None:
        """Take tokens from a group's rate."""
        self._level(group)
        self._buckets[group].level -= tokens

    def correct(self, group: str, tokens: float) -> None:
        """Take the difference between actual and estimated tokens."""
        if group in self._buckets:
            self._buckets[group].level -= tokens

    def _rate(self, group: str) -> float:
        stored = self._catalog.row(group)
        if stored is None:
            return 0.0
        lease = self._fresh(group)
        limit = stored.row.limits.tokens_per_s
        return self._static.of(limit) if lease is None else min(lease.tokens_per_s, limit)

    def _level(self, group: str) -> float:
        now_s = self._clock_s()
        bucket = self._buckets.get(group)
        rate = self._rate(group)
        if bucket is None:
            bucket = _Bucket(updated_s=now_s)
            bucket.level = rate * BURST_S
            self._buckets[group] = bucket
        elapsed_s = now_s - bucket.updated_s
        bucket.updated_s = now_s
        bucket.level = min(rate * BURST_S, bucket.level + rate * elapsed_s)
        return bucket.level

    def _fresh(self, group: str) -> _Lease | None:
        lease = self._leases.get(group)
        return lease if lease is not None and self._clock_s() < lease.until_s else None


__all__ = ["GroupShareLimits", "StaticPart"]
