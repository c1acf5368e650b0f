"""Connections to backend servers, kept for a short while between requests."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.failure import Failure
from leadhollow.http1.client_connection import ClientConnection, open_connection
from leadhollow.kernel import clocks
from leadhollow.kernel.task_service import TaskService
from leadhollow.settings.address import Address

CONNECT_TIMEOUT_S = 0.3  # ten times the longest way between failure domains
REUSE_WITHIN_S = 1.5  # backend servers close idle connections, some sooner than they say
KEEP_ALIVE_SHARE = 0.5  # of the time that a backend server says it keeps an idle connection
IDLE_KEPT = 24  # a batch of an engine and some more
REAP_INTERVAL_S = 0.5


class ConnectionPool(TaskService):
    """Idle connections by address; one is only used again where nothing speaks against it."""

    __slots__ = ("_idle", "opened", "reused")

    def __init__(self) -> None:
        self._idle: dict[str, list[ClientConnection]] = {}
        self.opened = 0
        self.reused = 0
        super().__init__()

    async def acquire(
        self, address: str, *, fresh: bool, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Result[ClientConnection, Failure]:
        """Give a connection for one exchange.

        Parameters
        ----------
        fresh
            Whether it must be a new one: a request that may run once only must not be lost in a
            connection that the other side is just closing.
        timeout_s
            Time in which a new one must open.

        Errors
        ------
        PEER_ABSENT, PEER_LOST, PEER_TIMEOUT
            There is no connection; nothing was sent.
        """
        if not fresh:
            kept = self._take_idle(address)
            if kept is not None:
                self.reused += 1
                return Ok(kept)
        parsed = Address.parse(address)
        if parsed.is_err():
            return Err(parsed.unwrap_err())
        self.opened += 1
        return await open_connection(parsed.unwrap(), timeout_s=timeout_s)

    async def preconnect(self, address: str, *, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
        """Open a connection and keep it for the next request; tells whether there is one."""
        opened = await self.acquire(address, fresh=True, timeout_s=timeout_s)
        if opened.is_ok():
            self.release(address, opened.unwrap())
        return opened.is_ok()

    def release(self, address: str, connection: ClientConnection) -> None:
        """Take a connection back after a whole exchange."""
        connection.end_exchange()
        idle = self._idle.setdefault(address, [])
        if connection.usable and len(idle) < IDLE_KEPT:
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

    def _take_idle(self, address: str) -> ClientConnection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if self._reusable(connection):
                return connection
            connection.close()
        return None

    def _reusable(self, connection: ClientConnection) -> bool:
        if not connection.usable:
            return False
        limit_s = REUSE_WITHIN_S
        if connection.keep_alive_s is not None:
            limit_s = min(limit_s, connection.keep_alive_s * KEEP_ALIVE_SHARE)
        return clocks.elapsed_s() - connection.idle_since_s < limit_s


__all__ = ["ConnectionPool"]
