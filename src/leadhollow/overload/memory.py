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
        Memory that callers took at the last check.
    shed_count
        Number of connections that lost what they held.
    closed_count
        Number of connections that were closed to make room for others.
    refused_count
        Number of connections for which there was no room.
    """

    __slots__ = (
        "_check_bytes",
        "_holders",
        "_line",
        "_unchecked_bytes",
        "closed_count",
        "held_bytes",
        "limit_bytes",
        "refused_count",
        "shed_count",
    )

    def __init__(self, *, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self._check_bytes = limit_bytes // CHECKS_PER_LIMIT
        self._unchecked_bytes = 0
        self._holders: set[MemoryHolder] = set()
        self._line = RepeatedLine(log=log, message="callers hold too much memory")
        self.held_bytes = 0
        self.shed_count = 0
        self.closed_count = 0
        self.refused_count = 0

    @property
    def connection_count(self) -> int:
        """Number of open connections of callers."""
        return len(self._holders)

    def add(self, holder: MemoryHolder) -> None:
        """Include a connection."""
        self._holders.add(holder)

    def discard(self, holder: MemoryHolder) -> None:
        """Forget a connection that has ended."""
        self._holders.discard(holder)

    def record_received(self, size_bytes: int) -> None:
        """Record memory that was taken, and check what is held if that is due."""
        self._unchecked_bytes += size_bytes
        if self._unchecked_bytes >= self._check_bytes:
            self.check()

    def check(self) -> None:
        """Sum up what is held, and shed connections if it exceeds the limit."""
        self._unchecked_bytes = 0
        held = [(holder, holder.held_bytes()) for holder in self._holders]
        self.held_bytes = sum(size_bytes for _, size_bytes in held)
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
        self.shed_count += len(chosen)
        self._line.log(
            len(chosen),
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
            connections=len(held),
            largest_bytes=chosen[0].held_bytes,
            longest_stall_s=round(max(holding.stalled_s for holding in chosen), 3),
        )


__all__ = ["CallerMemory", "MemoryHolder"]
