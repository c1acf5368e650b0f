"""Finds out whether a server has ended, where it broke off requests, and tells who ran there.

A broken connection is no end: connections are reset, cut and closed for many reasons while the
server lives, and a cut may also refuse new ones. A server has ended where another life has its
address; sooner, where its address refuses connections while its neighbours' take them. Should the
second be wrong, an answer of the server takes it back.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from leadhollow.codes import Code
from leadhollow.decide.server import Server
from leadhollow.decide.server_ends import ServerEnd
from leadhollow.forward.fingerprint import short_fingerprint
from leadhollow.forward.pool import ConnectionPool
from leadhollow.forward.recent_successes import RecentSuccesses
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.observe.logs import get_logger

GATHER_S = 0.005  # all connections to a server that ends break in the same moment
TRIES = 2
TRY_PAUSE_S = 0.015
"""A server that is over its connections may refuse one; it has ended where it refuses the next one
as well, and nothing of ours runs there any more."""

TOGETHER_S = 0.03
TOGETHER = 3
"""Servers that break off requests in the same moment, where they are as many, are taken for cut off
and not for ended; whether they have ended is known once others have their addresses."""

LATELY_S = 1.0  # a server that broke off requests within it is not asked: it may have ended too
NEIGHBOURS = 2  # servers of the same failure domain that are tried, one of which has to answer

KEPT_S = 30.0
"""A server that went silent is known to have ended once another life has its address: some seconds
later, with the time that its start takes."""

KEPT = 256  # servers; more break off requests at once only where a failure domain is lost
SHOWN = 16  # fingerprints in a log line

log = get_logger("ends")

EndListener = Callable[[ServerEnd], None]


class _Broken:
    """Requests that a server broke off."""

    __slots__ = ("fingerprints", "first_s", "server")

    def __init__(self, *, server: Server, first_s: float) -> None:
        self.server = server
        self.first_s = first_s
        self.fingerprints: set[bytes] = set()


class ServerEndDetector:
    """Watches the servers that broke off requests of this entry.

    Parameters
    ----------
    on_end
        Called with each server that has ended, and the requests that may have been the cause.
    """

    __slots__ = ("_board", "_broken", "_good", "_on_end", "_pool", "_tasks")

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        pool: ConnectionPool,
        successes: RecentSuccesses,
        on_server_end: EndListener,
    ) -> None:
        self._board = directory
        self._pool = pool
        self._good = successes
        self._on_end = on_server_end
        self._broken: OrderedDict[str, _Broken] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        directory.on_replaced(self._on_replaced)

    def record_interruption(self, server: Server, fingerprint: bytes) -> None:
        """Note a request that a server broke off, or did not go on with."""
        now_s = _now_s()
        life = server.instance.life
        found = self._broken.get(life)
        if found is None:
            found = self._broken[life] = _Broken(server=server, first_s=now_s)
            self._forget(now_s)
            self._look(life)
        elif now_s - found.first_s > GATHER_S:
            self._look(life)
        found.fingerprints.add(fingerprint)

    async def stop(self) -> None:
        """Look no more."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _look(self, life: str) -> None:
        if any(task.get_name() == life for task in self._tasks):
            return
        task = asyncio.get_running_loop().create_task(self._find_out(life), name=life)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _find_out(self, life: str) -> None:
        await asyncio.sleep(GATHER_S)
        found = self._broken.get(life)
        if found is None:
            return
        for number in range(TRIES):
            if number:
                await asyncio.sleep(TRY_PAUSE_S)
            if not await self._absent(found.server.instance.address):
                return
        if any(call.placed_s < found.first_s for call in found.server.calls):
            return  # what ran there before goes on: only connections broke
        if not self._together(found) and await self._neighbour_answers(found.server):
            self._ended(life)

    async def _absent(self, address: str) -> bool:
        """Tell whether nothing listens at an address; a connection that opens is kept for use."""
        opened = await self._pool.acquire(address, fresh=True)
        if opened.is_ok():
            self._pool.release(address, opened.unwrap())
            return False
        return opened.unwrap_err().code is Code.PEER_ABSENT

    def _together(self, found: _Broken) -> bool:
        """Tell whether several servers broke off requests in the same moment."""
        near = [
            other
            for other in self._broken.values()
            if abs(other.first_s - found.first_s) <= TOGETHER_S
        ]
        return len(near) >= TOGETHER

    async def _neighbour_answers(self, server: Server) -> bool:
        """Tell whether another server of the same failure domain can be reached."""
        recent_s = _now_s() - LATELY_S
        lost = {
            found.server.instance.address
            for found in self._broken.values()
            if found.first_s > recent_s or found.server is server
        }
        near = [
            other.instance.address
            for other in self._board.all_servers()
            if other.instance.failure_domain == server.instance.failure_domain
            and other.instance.address not in lost
            and not other.health.unreachable
        ]
        opened = [self._pool.preconnect(address) for address in near[:NEIGHBOURS]]
        return any(await asyncio.gather(*opened))

    def _on_replaced(self, instance: Instance) -> None:
        life = instance.life
        if life in self._broken:
            self._ended(life)

    def _ended(self, life: str) -> None:
        found = self._broken.pop(life, None)
        if found is None:
            return
        server, now_s = found.server, _now_s()
        if server.instance.state is not InstanceState.READY or server.switching(now_s):
            return  # it said before that it would leave, or change its weights
        ran = {one for one in found.fingerprints if not self._good.contains(one, now_s)}
        log.warning(
            "backend server ended while it ran requests",
            instance=server.instance.instance,
            address=server.instance.address,
            requests=len(found.fingerprints),
            fingerprints=[short_fingerprint(one) for one in sorted(ran)[:SHOWN]],
        )
        if ran:
            self._on_end(ServerEnd(life=life, ran=ran, happened_s=found.first_s))

    def _forget(self, now_s: float) -> None:
        for life, found in list(self._broken.items()):
            if len(self._broken) <= KEPT and now_s - found.first_s < KEPT_S:
                return
            del self._broken[life]


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["EndWatch"]
