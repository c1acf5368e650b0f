"""Probes backend servers that were unreachable, so that requests need not wait for connections.

A probe only opens a connection; the next request uses it. Probes do not detect a server that
accepts connections but does no work: requests detect that.
"""

from __future__ import annotations

import asyncio

from leadhollow.decide.server import Server
from leadhollow.forward.pool import ConnectionPool
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger

PROBE_INTERVAL_S = 0.25  # longest delay until a recovery is noticed; few probes per outage

log = get_logger("path")


class ReachabilityProber(TaskService):
    """Periodically tries to connect to unreachable servers.

    Parameters
    ----------
    directory
        Backend servers to probe.
    """

    __slots__ = ("_directory", "_pool")

    def __init__(self, *, directory: ServerDirectory, pool: ConnectionPool) -> None:
        self._directory = directory
        self._pool = pool
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            unreachable = [
                server for server in self._directory.all_servers() if server.health.unreachable
            ]
            await asyncio.gather(*(self._probe(server) for server in unreachable))

    async def _probe(self, server: Server) -> None:
        opened = await self._pool.preconnect(server.instance.address)
        now_s = asyncio.get_running_loop().time()
        if not server.health.unreachable:
            return  # a request has reached the server in the meantime
        if not opened:
            server.health.record_still_unreachable(now_s)
            return
        log.info(
            "backend server is reachable again",
            instance=server.instance.instance,
            address=server.instance.address,
        )
        server.health.record_reachable(now_s)
        self._directory.notify_change()


__all__ = ["ReachabilityProber"]
