"""Account of the memory that callers make a process hold, and its bound.

Nothing is reserved or released: the account asks each connection what it holds, each time that a
share of the bound has been received since it last did. So it cannot differ from what is held.
"""

from __future__ import annotations

from typing import Protocol

from leadhollow.decide.shedding import Holding, choose_holders
from leadhollow.observe.logs import get_logger
from leadhollow.observe.repeated_line import RepeatedLine

CHECKS_PER_LIMIT = 16  # received bytes between two checks, as a share of the limit
SHED_TO = 0.8  # share of the limit that is left after shedding, so that it is rare
DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024

log = get_logger("overload")


class MemoryHolder(Protocol):
    """Connection of a caller."""

    def held_bytes(self) -> int:
        """Return the memory that it takes."""
        ...

    def stalled_s(self) -> float:
        """Return the time since a notable part of what it holds moved."""
        ...

    def shed(self) -> None:
        """Free what it holds: refuse its request if nothing was sent on, else close it."""
        ...


class CallerMemory:
    """Bounds the memory that all callers of a process take together.

    Parameters
    ----------
    limit_bytes
        Memory above which connections lose what they hold.

    Attributes
    ----------
    held_bytes
        Memory that callers took when it was last measured.
    """

    __slots__ = (
        "_check_bytes",
        "_closed",
        "_holders",
        "_refused",
        "_shed",
        "_unchecked_bytes",
        "held_bytes",
        "limit_bytes",
    )

    def __init__(self, *, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self._check_bytes = limit_bytes // CHECKS_PER_LIMIT
        self._unchecked_bytes = 0
        self._holders: set[MemoryHolder] = set()
        self._shed = RepeatedLine(log=log, message="callers hold too much memory")
        self._closed = RepeatedLine(log=log, message="connections closed to make room for others")
        self._refused = RepeatedLine(log=log, message="connection refused: too many are served")
        self.held_bytes = 0

    @property
    def connection_count(self) -> int:
        """Number of open connections of callers."""
        return len(self._holders)

    @property
    def shed_count(self) -> int:
        """Number of connections that lost what they held."""
        return self._shed.total

    @property
    def closed_count(self) -> int:
        """Number of connections that were closed to make room for others."""
        return self._closed.total

    @property
    def refused_count(self) -> int:
        """Number of connections for which there was no room."""
        return self._refused.total

    def add(self, holder: MemoryHolder) -> None:
        """Include a connection."""
        self._holders.add(holder)

    def discard(self, holder: MemoryHolder) -> None:
        """Forget a connection that has ended."""
        self._holders.discard(holder)

    def record_closed(self, count: int, *, max_connections: int) -> None:
        """Record connections that were closed to make room for others."""
        self._closed.log(count, limit=max_connections)

    def record_refused(self, *, max_connections: int) -> None:
        """Record a connection for which there was no room."""
        self._refused.log(limit=max_connections)

    def record_received(self, size_bytes: int) -> None:
        """Record memory that was taken, and check what is held if that is due."""
        self._unchecked_bytes += size_bytes
        if self._unchecked_bytes >= self._check_bytes:
            self.check()

    def measure(self) -> list[tuple[MemoryHolder, int]]:
        """Sum up what is held; return what each connection holds."""
        held = [(holder, holder.held_bytes()) for holder in self._holders]
        self.held_bytes = sum(size_bytes for _, size_bytes in held)
        return held

    def check(self) -> None:
        """Shed connections if what is held exceeds the limit."""
        self._unchecked_bytes = 0
        held = self.measure()
        if self.held_bytes <= self.limit_bytes:
            return
        holdings = [
            Holding(holder=holder, held_bytes=size_bytes, stalled_s=holder.stalled_s())
            for holder, size_bytes in held
        ]
        excess_bytes = self.held_bytes - int(SHED_TO * self.limit_bytes)
        chosen = choose_holders(holdings, excess_bytes=excess_bytes)
        for holding in chosen:
            holding.holder.shed()
        self._shed.log(
            len(chosen),
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
            connections=len(held),
            largest_bytes=chosen[0].held_bytes,
            longest_stall_s=round(max(holding.stalled_s for holding in chosen), 3),
        )


__all__ = ["CallerMemory", "MemoryHolder"]
