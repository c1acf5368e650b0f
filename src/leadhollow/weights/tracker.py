"""Tracker of model versions: leases reads from the origin and assigns neighbours."""

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
    """Soft state of one version: its participants and the leases of its chunks."""

    __slots__ = ("lease_table", "participants")

    def __init__(self, *, chunk_count: int) -> None:
        self.participants: dict[str, _Participant] = {}
        self.lease_table = LeaseTable(chunk_count=chunk_count)


class Tracker:
    """Decides which server reads a chunk from the origin and which servers are neighbours.

    All state is soft. A tracker that takes over learns from the requests which chunks are held.
    """

    __slots__ = ("_lease_policy", "_random", "_settings", "_swarms")

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
        """Discard all swarms."""
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
        return Ok(SwarmNeighbours(self._choose_neighbours(swarm, request, now_s)))

    def _choose_neighbours(
        self, swarm: _Swarm, request: SwarmJoin, now_s: float
    ) -> list[Neighbour]:
        local: list[Neighbour] = []
        remote: list[Neighbour] = []
        for server, participant in list(swarm.participants.items()):
            if now_s - participant.last_seen_s > PARTICIPANT_VALID_S:
                del swarm.participants[server]
            elif server != request.server:
                is_local = participant.failure_domain == request.failure_domain
                (local if is_local else remote).append(
                    Neighbour(server, participant.address, participant.failure_domain)
                )
        limit = self._settings.neighbours_inside
        chosen = self._random.sample(local, min(len(local), limit))
        spare = limit - len(chosen)
        remote_count = min(len(remote), self._settings.neighbours_across + spare)
        return chosen + self._random.sample(remote, remote_count)

    async def _on_lease(
        self, request: OriginLeaseRequest, connection: Connection
    ) -> Result[OriginLease, Failure]:
        swarm = self._swarm(request.root, request.chunk_count)
        table = swarm.lease_table
        now_s = _now_s()
        held = Bitmap.from_bytes(request.held or b"", count=request.chunk_count)
        table.mark_delivered([*held.indexes(), *(request.done or ())])
        table.release_expired(now_s)
        table.release_stuck(list(request.stuck or ()))
        requester = LeaseRequester(
            server=request.server,
            capacity=request.window,
            held=held,
            participants=len(swarm.participants),
            is_lost=connection.closed.is_set,
        )
        granted = self._lease_policy.grant(table, requester=requester, now_s=now_s)
        if not granted and request.hedge:
            granted = table.grant_hedged(requester=requester, now_s=now_s)
        if granted:
            log_decision(
                "origin lease",
                root=request.root[:12],
                server=request.server,
                chunks=granted,
                free=len(table.free),
            )
        return Ok(
            OriginLease(
                granted,
                int(LEASE_VALID_S * 1000),
                len(table.free),
                RETRY_MS,
                self._settings.lease_window,
                table.revoked.pop(request.server, []),
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
