"""Finds out whether backend servers, or any of a failure domain, accept connections."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from enum import Enum

from leadhollow.codes import Code
from leadhollow.forward.pool import ConnectionPool
from leadhollow.forward.server_directory import ServerDirectory

SERVERS_AT_ONCE = 2
MAX_SERVERS = 8
"""Servers of a failure domain to connect to, some at a time, until one accepts."""


class Refusal(Enum):
    """Whether an address refuses connections."""

    NONE = "none"
    CERTAIN = "certain"
    UNKNOWN = "unknown"


class ConnectionProbe:
    """Opens connections to see who listens; those that open are pooled for the next requests."""

    __slots__ = ("_directory", "_pool", "_running")

    def __init__(self, *, directory: ServerDirectory, pool: ConnectionPool) -> None:
        self._directory = directory
        self._pool = pool
        self._running: dict[str, asyncio.Task[bool]] = {}  # by failure domain

    async def refusal(self, address: str) -> Refusal:
        """Return whether nothing listens at an address."""
        opened = await self._pool.acquire(address, fresh=True)
        if opened.is_ok():
            self._pool.release(address, opened.unwrap())
            return Refusal.NONE
        if opened.unwrap_err().code is Code.PEER_ABSENT:
            return Refusal.CERTAIN
        return Refusal.UNKNOWN

    async def domain_accepts(self, domain: str, *, doubtful: Collection[str]) -> bool:
        """Return whether a server of a failure domain accepts connections.

        Calls at the same time share one probe of the domain.

        Parameters
        ----------
        doubtful
            Addresses to try last, like those that are known to be unreachable.
        """
        running = self._running.get(domain)
        if running is None:
            running = asyncio.get_running_loop().create_task(self._try(domain, set(doubtful)))
            self._running[domain] = running
            running.add_done_callback(lambda _: self._running.pop(domain, None))
        return await asyncio.shield(running)

    async def stop(self) -> None:
        """Cancel all running probes."""
        tasks = list(self._running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _try(self, domain: str, doubtful: Collection[str]) -> bool:
        servers = [
            server
            for server in self._directory.all_servers()
            if server.instance.failure_domain == domain
        ]
        servers.sort(
            key=lambda server: (server.health.unreachable, server.instance.address in doubtful)
        )
        addresses = [server.instance.address for server in servers[:MAX_SERVERS]]
        for start in range(0, len(addresses), SERVERS_AT_ONCE):
            batch = addresses[start : start + SERVERS_AT_ONCE]
            if any(await asyncio.gather(*map(self._pool.preconnect, batch))):
                return True
        return False


__all__ = ["ConnectionProbe", "Refusal"]
