"""Leases of origin reads over exact chunks, and neighbours for the exchange."""

from __future__ import annotations

import asyncio
import random

from result import Ok, Result

from leadhollow.failure import Failure
from leadhollow.observe.logs import log_decision
from leadhollow.settings.model import WeightsSettings
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.lease_policies import (
    LEASE_VALID_S,
    LeaseRequester,
    LeaseTable,
    lease_policy,
)
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import (
    Neighbour,
    OriginLease,
    OriginLeaseRequest,
    SwarmJoin,
    SwarmNeighbours,
)
from leadhollow.wire.handlers import HandlerTable

PARTICIPANT_VALID_S = 8.0
RETRY_MS = 500
MAX_SWARMS = 64


class _Participant:
    __slots__ = ("address", "failure_domain", "last_seen_s")

    def __init__(self, *, address: str, failure_domain: str, last_seen_s: float) -> None:
        self.address = address
        self.failure_domain = failure_domain
        self.last_seen_s = last_seen_s


class _Swarm:
    """Soft state of one version: who takes part, and who reads which chunk."""

    __slots__ = ("lease_table", "participants")

    def __init__(self, *, chunk_count: int) -> None:
        self.participants: dict[str, _Participant] = {}
        self.lease_table = LeaseTable(chunk_count=chunk_count)


class Tracker:
    """Decides who reads a chunk from the origin, and who exchanges with whom.

    All state is soft; a tracker that takes over learns what is held from the requests themselves.
    """

    __slots__ = ("_random", "_lease_policy", "_settings", "_swarms")

    def __init__(self, *, handlers: HandlerTable, settings: WeightsSettings, seed: int) -> None:
        self._swarms: dict[str, _Swarm] = {}
        self._settings = settings
        self._random = random.Random(seed)
        self._lease_policy = lease_policy(settings.lease_mode, seed=seed)
        handlers.on_call(SwarmJoin, self._on_join)
        handlers.on_call(OriginLeaseRequest, self._on_lease)

    async def start(self) -> Result[None, Failure]:
        """Nothing to begin."""
        return Ok(None)

    async def drain(self) -> None:
        """Nothing to finish."""

    async def stop(self) -> None:
        """Forget all swarms."""
        self._swarms.clear()

    async def _on_join(
        self, request: SwarmJoin, connection: Connection
    ) -> Result[SwarmNeighbours, Failure]:
        swarm = self._swarm(request.root, 0)
        now_s = _now_s()
        swarm.participants[request.server] = _Participant(
            address=request.address, failure_domain=request.failure_domain, last_seen_s=now_s
        )
        if not self._lease_policy.exchange:
            return Ok(SwarmNeighbours([]))
        return Ok(SwarmNeighbours(self._neighbours(swarm, request, now_s)))

    def _neighbours(self, swarm: _Swarm, request: SwarmJoin, now_s: float) -> list[Neighbour]:
        inside: list[Neighbour] = []
        across: list[Neighbour] = []
        for server, participant in list(swarm.participants.items()):
            if now_s - participant.last_seen_s > PARTICIPANT_VALID_S:
                del swarm.participants[server]
            elif server != request.server:
                near = participant.failure_domain == request.failure_domain
                (inside if near else across).append(
                    Neighbour(server, participant.address, participant.failure_domain)
                )
        limit = self._settings.neighbours_inside
        chosen = self._random.sample(inside, min(len(inside), limit))
        spare = limit - len(chosen)
        across_count = min(len(across), self._settings.neighbours_across + spare)
        return chosen + self._random.sample(across, across_count)

    async def _on_lease(
        self, request: OriginLeaseRequest, connection: Connection
    ) -> Result[OriginLease, Failure]:
        swarm = self._swarm(request.root, request.chunk_count)
        book = swarm.lease_table
        now_s = _now_s()
        held = Bitmap.from_bytes(request.held or b"", count=request.chunk_count)
        book.mark_delivered([*held.indexes(), *(request.done or ())])
        book.release_expired(now_s)
        book.release_stuck(list(request.stuck or ()))
        requester = LeaseRequester(
            server=request.server,
            capacity=request.window,
            held=held,
            participants=len(swarm.participants),
            is_lost=connection.closed.is_set,
        )
        given = self._lease_policy.grant(book, requester=requester, now_s=now_s)
        if not given and request.hedge:
            given = book.grant_hedged(requester=requester, now_s=now_s)
        if given:
            log_decision(
                "origin lease",
                root=request.root[:12],
                server=request.server,
                chunks=given,
                free=len(book.free),
            )
        return Ok(
            OriginLease(
                given,
                int(LEASE_VALID_S * 1000),
                len(book.free),
                RETRY_MS,
                self._settings.lease_window,
                book.revoked.pop(request.server, []),
            )
        )

    def _swarm(self, root: str, chunk_count: int) -> _Swarm:
        swarm = self._swarms.get(root)
        if swarm is None:
            swarm = _Swarm(chunk_count=chunk_count)
            self._swarms[root] = swarm
            while len(self._swarms) > MAX_SWARMS:
                del self._swarms[next(iter(self._swarms))]
        if swarm.lease_table.delivered.count == 0 and chunk_count:
            swarm.lease_table = LeaseTable(chunk_count=chunk_count)
        return swarm


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["Tracker"]
