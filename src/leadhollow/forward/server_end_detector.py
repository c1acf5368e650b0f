"""Detects that a backend server ended while it ran requests, and reports those requests.

A broken connection alone proves nothing: connections are reset, cut and closed for many reasons
while the server runs, and a network cut may also refuse new ones. A server counts as ended when
another life has taken over its address. It counts as ended earlier if its address refuses
connections while neighbours accept them. If that was wrong, a later response of the server revokes
it.

A response that ends with its connection may have been cut off by the end of the server. It proves
that the server survived the request only if the server accepts a connection afterwards.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine, Iterable
from enum import Enum
from typing import Any

from leadhollow.decide.fingerprints import count_requests, short_fingerprint
from leadhollow.decide.recent_successes import RecentSuccesses
from leadhollow.decide.server import Server
from leadhollow.decide.server_ends import ServerEnd
from leadhollow.forward.connection_probe import ConnectionProbe, Refusal
from leadhollow.forward.pool import ConnectionPool
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.observe.logs import get_logger

BATCH_WINDOW_S = 0.005  # all connections to a server that ends break at once
CONNECT_ATTEMPTS = 2
CONNECT_RETRY_DELAY_S = 0.015
"""A server at its connection limit may refuse one connection. It has ended if it refuses the next
one as well and no request of this entry still runs there."""

SIMULTANEOUS_S = 0.03
SIMULTANEOUS_SERVERS = 3
"""This many servers that break off requests within ``SIMULTANEOUS_S`` are taken to be cut off, not
ended. Whether they ended is known once other lives have their addresses."""

RECHECK_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 0.8, 0.8)
"""Delays between checks of a server whose end is in doubt because others are away too. Later on it
counts as ended only once another life has its address."""

MAX_AGE_S = 30.0
"""Interruptions are kept until another life has the address. For a server that went silent this
takes some seconds plus the time that its start takes."""

MAX_SERVERS = 256  # more servers break off requests only if a failure domain is lost
MAX_LOGGED_FINGERPRINTS = 16

log = get_logger("ends")

EndListener = Callable[[ServerEnd], None]
SurvivalListener = Callable[[Server, Iterable[bytes]], None]


class _Doubt(Enum):
    """Why a server that broke off requests may not have ended."""

    ACCEPTS_CONNECTIONS = "does not refuse connections"
    CALLS_RUN = "earlier calls still run"
    SIMULTANEOUS = "others broke off requests at the same time"
    NO_NEIGHBOUR = "no neighbour accepts connections"

    @property
    def is_of_others(self) -> bool:
        """Whether the reason is the state of other servers, which may change soon."""
        return self in (_Doubt.SIMULTANEOUS, _Doubt.NO_NEIGHBOUR)


class _InterruptedServer:
    """A server that broke off requests, and their traits.

    Attributes
    ----------
    first_s
        Loop time of the first of the latest interruptions that came together.
    """

    __slots__ = ("_interrupted_s", "first_s", "server")

    def __init__(self, *, server: Server, first_s: float) -> None:
        self.server = server
        self.first_s = first_s
        self._interrupted_s: dict[bytes, float] = {}

    def add(self, traits: Iterable[bytes], now_s: float) -> None:
        """Add the traits of a request that was broken off now."""
        for trait in traits:
            self._interrupted_s[trait] = now_s

    def recent_traits(self, now_s: float) -> set[bytes]:
        """Forget interruptions that are too old, and return the traits of the others."""
        self._interrupted_s = {
            trait: at_s for trait, at_s in self._interrupted_s.items() if now_s - at_s < MAX_AGE_S
        }
        return set(self._interrupted_s)


class ServerEndDetector:
    """Checks the servers that broke off requests of this entry.

    Parameters
    ----------
    on_server_end
        Called with each server that ended and the traits of requests that may have caused it.
    on_survival
        Called with each server that survived responses that ended with their connection, and the
        traits of their requests.
    """

    __slots__ = (
        "_closed",
        "_interrupted",
        "_on_server_end",
        "_on_survival",
        "_probe",
        "_successes",
        "_tasks",
    )

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        pool: ConnectionPool,
        successes: RecentSuccesses,
        on_server_end: EndListener,
        on_survival: SurvivalListener,
    ) -> None:
        self._probe = ConnectionProbe(directory=directory, pool=pool)
        self._successes = successes
        self._on_server_end = on_server_end
        self._on_survival = on_survival
        self._closed: dict[str, set[bytes]] = {}  # by life: responses that ended with a connection
        self._interrupted: OrderedDict[str, _InterruptedServer] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        directory.on_replaced(self._on_replaced)

    def record_interruption(self, server: Server, traits: Iterable[bytes]) -> None:
        """Record the traits of a request that a server broke off or went silent on."""
        now_s = _now_s()
        life = server.instance.life
        found = self._interrupted.get(life)
        if found is None:
            found = self._interrupted[life] = _InterruptedServer(server=server, first_s=now_s)
            self._expire(now_s)
            self._start_check(life)
        elif now_s - found.first_s > BATCH_WINDOW_S:
            # it went silent before, or only some connections broke
            found.first_s = now_s
            self._interrupted.move_to_end(life)
            found.recent_traits(now_s)
            self._start_check(life)
        found.add(traits, now_s)

    def record_close(self, server: Server, traits: Iterable[bytes]) -> None:
        """Record the traits of a request whose response was ended by closing its connection."""
        life = server.instance.life
        if life in self._closed:
            self._closed[life].update(traits)
            return
        self._closed[life] = set(traits)
        self._add_task(self._check_survival(server), name="")

    async def stop(self) -> None:
        """Cancel all running checks."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._probe.stop()

    def _start_check(self, life: str) -> None:
        if any(task.get_name() == life for task in self._tasks):
            return
        self._add_task(self._check(life), name=life)

    def _add_task(self, work: Coroutine[Any, Any, None], *, name: str) -> None:
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_survival(self, server: Server) -> None:
        await asyncio.sleep(BATCH_WINDOW_S)
        refused = await self._probe.refusal(server.instance.address)
        traits = self._closed.pop(server.instance.life, None)
        if traits is None:
            return  # the end of the server was reported meanwhile
        if refused is Refusal.NONE:
            self._on_survival(server, traits)
        elif refused is Refusal.CERTAIN:
            self.record_interruption(server, traits)

    async def _check(self, life: str) -> None:
        for delay_s in (BATCH_WINDOW_S, *RECHECK_DELAYS_S):
            await asyncio.sleep(delay_s)
            found = self._interrupted.get(life)
            if found is None:
                return
            doubt = await self._reason_to_doubt(found)
            if doubt is None:
                self._report_end(life)
                return
            self._log_doubt(found, doubt)
            if not doubt.is_of_others:
                return

    def _log_doubt(self, found: _InterruptedServer, doubt: _Doubt) -> None:
        log.info(
            "end of a backend server not confirmed",
            instance=found.server.instance.instance,
            address=found.server.instance.address,
            reason=doubt.value,
            requests=count_requests(found.recent_traits(_now_s())),
        )

    async def _reason_to_doubt(self, found: _InterruptedServer) -> _Doubt | None:
        """Return why a server may not have ended; None if it has."""
        for attempt in range(CONNECT_ATTEMPTS):
            if attempt:
                await asyncio.sleep(CONNECT_RETRY_DELAY_S)
            refused = await self._probe.refusal(found.server.instance.address)
            if refused is not Refusal.CERTAIN:
                return _Doubt.ACCEPTS_CONNECTIONS
        if any(call.placed_s < found.first_s for call in found.server.calls):
            return _Doubt.CALLS_RUN  # only connections broke
        if self._is_simultaneous(found):
            return _Doubt.SIMULTANEOUS
        interrupted = {other.server.instance.address for other in self._interrupted.values()}
        domain = found.server.instance.failure_domain
        if not await self._probe.domain_accepts(domain, doubtful=interrupted):
            return _Doubt.NO_NEIGHBOUR
        return None

    def _is_simultaneous(self, found: _InterruptedServer) -> bool:
        """Return whether several servers broke off requests at the same time."""
        simultaneous = [
            other
            for other in self._interrupted.values()
            if abs(other.first_s - found.first_s) <= SIMULTANEOUS_S
        ]
        return len(simultaneous) >= SIMULTANEOUS_SERVERS

    def _on_replaced(self, instance: Instance) -> None:
        life = instance.life
        if life in self._interrupted:
            self._report_end(life)

    def _report_end(self, life: str) -> None:
        found = self._interrupted.pop(life, None)
        if found is None:
            return
        server, now_s = found.server, _now_s()
        present = found.recent_traits(now_s) | self._closed.pop(life, set())
        if server.instance.state is not InstanceState.READY or server.switching(now_s):
            return  # the server had announced that it leaves or changes its weights
        ran = {one for one in present if not self._successes.contains(one, now_s)}
        log.warning(
            "backend server ended while it ran requests",
            instance=server.instance.instance,
            address=server.instance.address,
            requests=count_requests(present),
            fingerprints=[short_fingerprint(one) for one in sorted(ran)[:MAX_LOGGED_FINGERPRINTS]],
        )
        if ran:
            self._on_server_end(ServerEnd(life=life, ran=ran, happened_s=found.first_s))

    def _expire(self, now_s: float) -> None:
        for life, found in list(self._interrupted.items()):
            if len(self._interrupted) <= MAX_SERVERS and now_s - found.first_s < MAX_AGE_S:
                return
            del self._interrupted[life]


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["ServerEndDetector"]
