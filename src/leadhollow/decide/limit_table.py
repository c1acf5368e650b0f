"""Rate limits that backend servers state in their responses, merged from all entries.

Responses overlap, and updates about them arrive in any order. For each life of a server the table
keeps the latest response that stated a limit and the latest request whose response stated none. A
limit is over once a request that was sent after the limit was stated gets a response without one.
Merging is commutative and idempotent.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from zlib import crc32

from leadhollow.decide.rate_source import RateLimit

MAX_LIMITS = 1_024
"""Number of server lives that are remembered. Beyond it the one recorded first is removed."""

NEVER_S = float("-inf")


class ServerLimit:
    """Limit of one life of a backend server.

    Parameters
    ----------
    per_s
        Requests per second that the server takes from all entries together.
    advertised_s
        When the last response that stated a limit was received.
    lifted_s
        When the last request whose response stated no limit was sent.
    """

    __slots__ = ("advertised_s", "life", "lifted_s", "per_s")

    def __init__(
        self, *, life: str, per_s: float, advertised_s: float, lifted_s: float = NEVER_S
    ) -> None:
        self.life = life
        self.per_s = per_s
        self.advertised_s = advertised_s
        self.lifted_s = lifted_s

    @property
    def in_force(self) -> float | None:
        """The limit that applies now; None if it is over."""
        return None if self.lifted_s >= self.advertised_s else self.per_s

    def merge(self, other: ServerLimit) -> None:
        """Merge another record of the same life. Of two simultaneous limits the lower applies."""
        if other.advertised_s > self.advertised_s:
            self.per_s = other.per_s
        elif other.advertised_s == self.advertised_s:
            self.per_s = min(self.per_s, other.per_s)
        self.advertised_s = max(self.advertised_s, other.advertised_s)
        self.lifted_s = max(self.lifted_s, other.lifted_s)

    def copy(self) -> ServerLimit:
        """Return an independent copy."""
        return ServerLimit(
            life=self.life,
            per_s=self.per_s,
            advertised_s=self.advertised_s,
            lifted_s=self.lifted_s,
        )


class LimitTable:
    """Limits by server life."""

    __slots__ = ("_in_force", "_records")

    def __init__(self) -> None:
        self._records: OrderedDict[str, ServerLimit] = OrderedDict()
        self._in_force: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._records)

    def record(self, life: str) -> ServerLimit | None:
        """Return the record of a life, or None."""
        return self._records.get(life)

    def records(self) -> list[ServerLimit]:
        """Return all records, including those of limits that are over."""
        return list(self._records.values())

    def limits(self) -> dict[str, float]:
        """Return the limits in force, by life."""
        return dict(self._in_force)

    def limit(self, life: str) -> float | None:
        """Return the limit in force for a life, or None."""
        return self._in_force.get(life)

    def rate_limit(self, life: str) -> RateLimit | None:
        """Return the limit in force for a life as a source of rate limits, or None."""
        per_s = self._in_force.get(life)
        return None if per_s is None else RateLimit(per_s=per_s)

    def limited_lives(self) -> list[str]:
        """Return the lives that have a limit in force."""
        return list(self._in_force)

    def merge(self, update: ServerLimit) -> bool:
        """Merge a record and tell whether the limit in force changed."""
        known = self._records.get(update.life)
        before = None if known is None else known.in_force
        if known is None:
            known = self._records[update.life] = update.copy()
        else:
            known.merge(update)
        after = known.in_force
        if after is None:
            self._in_force.pop(update.life, None)
        else:
            self._in_force[update.life] = after
        while len(self._records) > MAX_LIMITS:
            self.forget([next(iter(self._records))])
        return before != after

    def record_limit(self, life: str, *, per_s: float, received_s: float) -> bool:
        """Record a response that stated a limit and tell whether the limit in force changed."""
        return self.merge(ServerLimit(life=life, per_s=per_s, advertised_s=received_s))

    def lift(self, life: str, *, sent_s: float) -> bool:
        """Record a response that stated no limit and tell whether this ended the limit.

        Parameters
        ----------
        sent_s
            When the request was sent.
        """
        known = self._records.get(life)
        if known is None:
            return False
        update = known.copy()
        update.lifted_s = max(known.lifted_s, sent_s)
        return self.merge(update)

    def forget(self, lives: Iterable[str]) -> None:
        """Drop the records of lives."""
        for life in lives:
            self._records.pop(life, None)
            self._in_force.pop(life, None)

    def checksum(self) -> int:
        """Return a number that is equal for tables with the same limits in force."""
        total = 0
        for life, per_s in self._in_force.items():
            total ^= crc32(f"{life} {per_s!r}".encode())
        return total


__all__ = ["MAX_LIMITS", "NEVER_S", "LimitTable", "ServerLimit"]
