"""Open connections of a server, and their bounds in memory and number."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from leadhollow.decide.shedding import Phase, choose_closings
from leadhollow.overload.memory import CallerMemory, MemoryHolder
from leadhollow.overload.parsing import ParsingBudget

CLOSED_SHARE = 0.05  # share of the connections that is closed at once, so that it is rare


class BoundedConnection(MemoryHolder, Protocol):
    """Connection that may have to make room for others."""

    @property
    def phase(self) -> tuple[Phase, float]:
        """What the connection is doing, and since which time in seconds."""
        ...

    def abort(self) -> None:
        """End the connection at once."""
        ...


ConnectionT = TypeVar("ConnectionT", bound=BoundedConnection)


class ConnectionSet(Generic[ConnectionT]):
    """Open connections of one listener.

    Parameters
    ----------
    memory
        Account of what the connections hold.
    max_count
        Largest number of connections; None without a bound.
    """

    __slots__ = (
        "_connections",
        "_max_count",
        "memory",
        "parsing",
    )

    def __init__(self, *, memory: CallerMemory, max_count: int | None) -> None:
        self.memory = memory
        self.parsing = ParsingBudget()
        self._max_count = max_count
        self._connections: dict[ConnectionT, None] = {}  # in the order of their start

    def __iter__(self) -> Iterator[ConnectionT]:
        return iter(list(self._connections))

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: ConnectionT) -> bool:
        """Add a connection; return False if there is no room for it."""
        if self._max_count is not None and len(self._connections) >= self._max_count:
            self._make_room(self._max_count)
            if len(self._connections) >= self._max_count:
                self.memory.record_refused(max_connections=self._max_count)
                return False
        self._connections[connection] = None
        self.memory.add(connection)
        return True

    def discard(self, connection: ConnectionT) -> None:
        """Forget a connection that has ended."""
        self._connections.pop(connection, None)
        self.memory.discard(connection)

    def _make_room(self, max_count: int) -> None:
        count = max(1, int(CLOSED_SHARE * max_count))
        candidates = [(*connection.phase, connection) for connection in self._connections]
        closings = choose_closings(candidates, count=count)
        for connection in closings:
            self.discard(connection)
            connection.abort()
        if closings:
            self.memory.record_closed(len(closings), max_connections=max_count)


__all__ = ["BoundedConnection", "ConnectionSet"]
