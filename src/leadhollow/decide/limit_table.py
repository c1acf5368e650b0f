"""Request limits that backend servers name in their answers, merged from all entries.

Answers overlap, and news of them arrive in any order. For each life of a server the table keeps
the latest answer that named a limit and the latest request whose answer named none; a limit is over
once a request that was sent after the naming was answered without it. Merging is commutative and
idempotent.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from zlib import crc32

MAX_LIMITS = 1_024
"""Lives of servers that are remembered; beyond it the one that was heard of first is dropped."""

NEVER_S = float("-inf")


class ServerLimit:
    """What one life of a backend server said of its limit.

    Parameters
    ----------
    per_s
        Requests a second that it takes from all entries together.
    named_s
        When the last answer that named a limit was received.
    lifted_s
        When the last request whose answer named none was sent.
    """

    __slots__ = ("life", "lifted_s", "advertised_s", "per_s")

    def __init__(
        self, *, life: str, per_s: float, advertised_s: float, lifted_s: float = NEVER_S
    ) -> None:
        self.life = life
        self.per_s = per_s
        self.advertised_s = advertised_s
        self.lifted_s = lifted_s

    @property
    def in_force(self) -> float | None:
        """The limit that holds, None where it is over."""
        return None if self.lifted_s >= self.advertised_s else self.per_s

    def merge(self, other: ServerLimit) -> None:
        """Take what another record of the same life says; of two limits at once the lower holds."""
        if other.advertised_s > self.advertised_s:
            self.per_s = other.per_s
        elif other.advertised_s == self.advertised_s:
            self.per_s = min(self.per_s, other.per_s)
        self.advertised_s = max(self.advertised_s, other.advertised_s)
        self.lifted_s = max(self.lifted_s, other.lifted_s)

    def copy(self) -> ServerLimit:
        """Give a record that changes no more."""
        return ServerLimit(
            life=self.life, per_s=self.per_s, advertised_s=self.advertised_s, lifted_s=self.lifted_s
        )


class LimitTable:
    """Limits by life of the server."""

    __slots__ = ("_in_force", "_records")

    def __init__(self) -> None:
        self._records: OrderedDict[str, ServerLimit] = OrderedDict()
        self._in_force: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._records)

    def record(self, life: str) -> ServerLimit | None:
        """Find what is known of a life."""
        return self._records.get(life)

    def records(self) -> list[ServerLimit]:
        """Give all that is known, limits that are over included."""
        return list(self._records.values())

    def limits(self) -> dict[str, float]:
        """Give the limits in force, by life."""
        return dict(self._in_force)

    def limit(self, life: str) -> float | None:
        """Give the limit of a life, None where it has none."""
        return self._in_force.get(life)

    def merge(self, heard: ServerLimit) -> bool:
        """Merge what was heard; tells whether another limit is in force now."""
        known = self._records.get(heard.life)
        before = None if known is None else known.in_force
        if known is None:
            known = self._records[heard.life] = heard.copy()
        else:
            known.merge(heard)
        after = known.in_force
        if after is None:
            self._in_force.pop(heard.life, None)
        else:
            self._in_force[heard.life] = after
        while len(self._records) > MAX_LIMITS:
            self.forget([next(iter(self._records))])
        return before != after

    def record_limit(self, life: str, *, per_s: float, received_s: float) -> bool:
        """Note an answer that named a limit; tells whether another limit is in force now."""
        return self.merge(ServerLimit(life=life, per_s=per_s, advertised_s=received_s))

    def lift(self, life: str, *, sent_s: float) -> bool:
        """Note that the answer to a request named no limit; tells whether it is over by that."""
        known = self._records.get(life)
        if known is None:
            return False
        heard = known.copy()
        heard.lifted_s = max(known.lifted_s, sent_s)
        return self.merge(heard)

    def forget(self, lives: Iterable[str]) -> None:
        """Drop lives that have ended."""
        for life in lives:
            self._records.pop(life, None)
            self._in_force.pop(life, None)

    def checksum(self) -> int:
        """Give a number that two tables share where the same limits are in force."""
        total = 0
        for life, per_s in self._in_force.items():
            total ^= crc32(f"{life} {per_s!r}".encode())
        return total


__all__ = ["LIMITS_KEPT", "NEVER_S", "LimitTable", "ServerLimit"]
