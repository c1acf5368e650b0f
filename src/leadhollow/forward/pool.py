"""Pools connections to backend servers for a short time between requests."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.failure import Failure
from leadhollow.http1.client_connection import ClientConnection, open_connection
from leadhollow.kernel import clocks
from leadhollow.kernel.task_service import TaskService
from leadhollow.overload.memory import CallerMemory
from leadhollow.settings.address import Address

CONNECT_TIMEOUT_S = 0.3  # ten times the highest latency between failure domains
MAX_IDLE_S = 1.5  # backend servers close idle connections, some earlier than they announce
KEEP_ALIVE_SHARE = 0.5  # share of the keep-alive time that a backend server announces
MAX_IDLE_CONNECTIONS = 24  # per address; an engine's batch and some more
REAP_INTERVAL_S = 0.5


class ConnectionPool(TaskService):
    """Idle connections by address; only those that are usable and recently used are reused.

    Parameters
    ----------
    memory
        Account to which received bytes are reported; by default one of this pool alone.
    max_connections
        Number of open connections above which none is kept idle; None without a bound.

    Attributes
    ----------
    open_count
        Number of open connections, idle or in use.
    """

    __slots__ = ("_idle", "_max_connections", "_memory", "open_count", "opened", "reused")

    def __init__(
        self, *, memory: CallerMemory | None = None, max_connections: int | None = None
    ) -> None:
        self._memory = memory or CallerMemory()
        self._max_connections = max_connections
        self.open_count = 0
        self._idle: dict[str, list[ClientConnection]] = {}
        self.opened = 0
        self.reused = 0
        super().__init__()

    async def acquire(
        self, address: str, *, fresh: bool, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Result[ClientConnection, Failure]:
        """Return a connection for one exchange, reused or new.

        Parameters
        ----------
        fresh
            Whether the connection must be new. A request that must not run twice must not be lost
            on a connection that the server is about to close.
        timeout_s
            Timeout for opening a new connection.

        Errors
        ------
        PEER_ABSENT, PEER_LOST, PEER_TIMEOUT
            No connection could be opened; nothing was sent.
        """
        if not fresh:
            idle = self._take_idle(address)
            if idle is not None:
                self.reused += 1
                return Ok(idle)
        parsed = Address.parse(address)
        if parsed.is_err():
            return Err(parsed.unwrap_err())
        self.opened += 1
        if self._is_full():
            self._close_oldest_idle()
        return await open_connection(parsed.unwrap(), timeout_s=timeout_s, listener=self)

    async def preconnect(self, address: str, *, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
        """Open a connection for the next request; return whether that succeeded."""
        opened = await self.acquire(address, fresh=True, timeout_s=timeout_s)
        if opened.is_ok():
            self.release(address, opened.unwrap())
        return opened.is_ok()

    def release(self, address: str, connection: ClientConnection) -> None:
        """Return a connection to the pool after a complete exchange."""
        connection.end_exchange()
        idle = self._idle.setdefault(address, [])
        if connection.usable and len(idle) < MAX_IDLE_CONNECTIONS and not self._is_full():
            idle.append(connection)
        else:
            connection.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    async def stop(self) -> None:
        """Close all idle connections."""
        await super().stop()
        for address in list(self._idle):
            self.close_idle(address)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(REAP_INTERVAL_S)
            for address, idle in list(self._idle.items()):
                kept = [connection for connection in idle if self._reusable(connection)]
                for connection in idle:
                    if connection not in kept:
                        connection.close()
                if kept:
                    self._idle[address] = kept
                else:
                    del self._idle[address]

    def record_open(self) -> None:
        """Count a connection that was made."""
        self.open_count += 1

    def record_received(self, size_bytes: int) -> None:
        """Report bytes that a server sent."""
        self._memory.record_received(size_bytes)

    def record_end(self) -> None:
        """Stop counting a connection that has ended."""
        self.open_count -= 1

    def _is_full(self) -> bool:
        return self._max_connections is not None and self.open_count >= self._max_connections

    def _close_oldest_idle(self) -> None:
        """Close the connection that has been idle for longest, if there is one."""
        idle = [idle[0] for idle in self._idle.values() if idle]
        if not idle:
            return
        oldest = min(idle, key=lambda connection: connection.idle_since_s)
        for connections in self._idle.values():
            if connections and connections[0] is oldest:
                del connections[0]
        oldest.close()

    def _take_idle(self, address: str) -> ClientConnection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if self._reusable(connection) and not connection.has_unread_input():
                return connection
            connection.close()
        return None

    def _reusable(self, connection: ClientConnection) -> bool:
        if not connection.usable:
            return False
        limit_s = MAX_IDLE_S
        if connection.keep_alive_s is not None:
            limit_s = min(limit_s, connection.keep_alive_s * KEEP_ALIVE_SHARE)
        return clocks.elapsed_s() - connection.idle_since_s < limit_s


__all__ = ["ConnectionPool"]
