"""Join requests: how a replica without a leader finds one, and how replicas answer it.

Used where the log itself changes the voter set, that is where replicas are found from seeds.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from result import Ok, Result

from leadhollow.failure import Failure
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger
from leadhollow.state.replica import Replica, ReplicaRole
from leadhollow.state.voters import Voter
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import JoinReply, JoinRequest
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

JOIN_INTERVAL_S = 0.4
JOIN_TIMEOUT_MS = 800
LEADER_SILENT_S = 1.0  # several heartbeats of a leader

log = get_logger("joining")


class JoinService(TaskService):
    """Sends join requests while no leader replicates the log to this replica.

    Parameters
    ----------
    own
        Identity, address and failure domain of this replica.
    known
        Returns addresses at which replicas may run.
    """

    __slots__ = ("_known_addresses", "_own", "_peers", "_replica")

    def __init__(
        self,
        *,
        replica: Replica,
        own: Voter,
        known_addresses: Callable[[], list[str]],
        peers: PeerPool,
        handlers: HandlerTable,
    ) -> None:
        self._replica = replica
        self._own = own
        self._known_addresses = known_addresses
        self._peers = peers
        super().__init__()
        handlers.on_call(JoinRequest, self._on_join)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(JOIN_INTERVAL_S * random.uniform(0.5, 1.0))
            if self._needs_leader():
                await self._request_join()

    def _needs_leader(self) -> bool:
        """Return whether no leader replicates to this replica.

        A removed voter may not have the entry that removed it, but it hears no leader any more.
        """
        if self._own.replica not in self._replica.voters:
            return True
        return self._replica.leader_silence_s > LEADER_SILENT_S

    async def _request_join(self) -> None:
        request = JoinRequest(self._own.replica, self._own.address, self._own.failure_domain)
        leaders: list[str] = []
        for address in self._known_addresses():
            if address == self._own.address:
                continue
            reply = await self._peers.call(address, request, timeout_ms=JOIN_TIMEOUT_MS)
            if reply.is_err():
                continue
            leader = reply.unwrap().leader_address
            if leader and leader != address:
                leaders.append(leader)
            if leader == address:
                return
        for address in dict.fromkeys(leaders):
            await self._peers.call(address, request, timeout_ms=JOIN_TIMEOUT_MS)

    async def _on_join(
        self, request: JoinRequest, connection: Connection
    ) -> Result[JoinReply, Failure]:
        replica = self._replica
        peer = Voter(
            replica=request.replica,
            address=request.address,
            failure_domain=request.failure_domain,
        )
        is_leader = replica.role is ReplicaRole.LEADER
        if is_leader:
            replica.leadership.add_learner(peer)
        voters = replica.voters
        leader = next(
            (voter.address for voter in voters.voters if voter.replica == replica.leader_vm), ""
        )
        return Ok(
            JoinReply(
                self._own.address if is_leader else leader,
                [voter.address for voter in voters.voters],
                request.replica in voters,
            )
        )


__all__ = ["JoinService"]
