"""How a replica that is no voter finds the leader, and what replicas answer those that look."""

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
LEADER_SILENT_S = 1.0  # a voter hears from its leader several times in it

log = get_logger("joining")


class JoinService(TaskService):
    """Asks for a place among the replicas for as long as ours gets nothing of the log.

    Parameters
    ----------
    own
        Identity and address under which others reach us.
    known
        Gives addresses at which replicas may be found.
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
        """Tell whether nobody sends us the log: we vote no more, perhaps without knowing it."""
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
        leads = replica.role is ReplicaRole.LEADER
        if leads:
            replica.leadership.add_learner(peer)
        voters = replica.voters
        leader = next(
            (voter.address for voter in voters.voters if voter.replica == replica.leader_vm), ""
        )
        return Ok(
            JoinReply(
                self._own.address if leads else leader,
                [voter.address for voter in voters.voters],
                request.replica in voters,
            )
        )


__all__ = ["Joining"]
