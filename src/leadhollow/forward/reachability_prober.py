"""Finds out when backend servers that could not be reached can be reached again.

Only connections are opened, which costs no request its time, and the first one that opens is used
by the next request. A server that accepts connections but does no work is another matter: requests
find that out.
"""

from __future__ import annotations

import asyncio

from leadhollow.decide.server import Server
from leadhollow.forward.pool import ConnectionPool
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger

INTERVAL_S = 0.25  # an outage seems longer by at most this; a cut of some seconds costs few tries

log = get_logger("path")


class ReachabilityProber(TaskService):
    """Tries connections to unreachable servers.

    Parameters
    ----------
    board
        Backend servers that are looked after.
    """

    __slots__ = ("_board", "_pool")

    def __init__(self, *, directory: ServerDirectory, pool: ConnectionPool) -> None:
        self._board = directory
        self._pool = pool
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            lost = [server for server in self._board.all_servers() if server.health.unreachable]
            await asyncio.gather(*(self._try(server) for server in lost))

    async def _try(self, server: Server) -> None:
        opened = await self._pool.preconnect(server.instance.address)
        now_s = asyncio.get_running_loop().time()
        if not server.health.unreachable:
            return  # a request has found its way meanwhile
        if not opened:
            server.health.record_still_unreachable(now_s)
            return
        log.info(
            "backend server is reachable again",
            instance=server.instance.instance,
            address=server.instance.address,
        )
        server.health.record_reachable(now_s)
        self._board.notify_change()


__all__ = ["PathProber"]
