"""Client of the replicated log for processes that are not replicas themselves."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.settings.model import PeerSettings
from leadhollow.state.commands import AnyAnswer, Command, decode_answer, encode
from leadhollow.wire.generated.ttypes import LeaseRenewal, LeaseRenewalReply, ProposeRequest
from leadhollow.wire.messages import Body
from leadhollow.wire.peers import PeerPool

ATTEMPT_TIMEOUT_MS = 1_500
RETRY_PAUSE_S = 0.05
_NOTHING_WRITTEN = (Code.NOT_LEADER, Code.NO_MAJORITY)


class ProposalReply:
    """Answer to a committed command, with its log index."""

    __slots__ = ("answer", "index")

    def __init__(self, *, answer: AnyAnswer, index: int) -> None:
        self.answer = answer
        self.index = index


class StateClient:
    """Finds the leader and retries a command until it is answered.

    Every command names its operation, key or lease, so a retry is safe.
    """

    __slots__ = ("_leader", "_peers", "_replicas")

    def __init__(self, *, replicas: tuple[PeerSettings, ...], peers: PeerPool) -> None:
        self._replicas = replicas
        self._peers = peers
        self._leader = ""

    async def propose(
        self, command: Command, *, timeout_ms: float
    ) -> Result[ProposalReply, Failure]:
        """Propose a command and wait until it is committed and applied.

        Errors
        ------
        NO_MAJORITY
            Nothing was written anywhere.
        EDIT_UNKNOWN
            It may have been written; the same command may be proposed again.
        """
        request = ProposeRequest(encode(command))
        reply = await self._ask_leader(request, timeout_ms=timeout_ms)
        if reply.is_err():
            return Err(reply.unwrap_err())
        answer = decode_answer(reply.unwrap().answer)
        if answer.is_err():
            return Err(answer.unwrap_err())
        return Ok(ProposalReply(answer=answer.unwrap(), index=reply.unwrap().index))

    async def renew_lease(
        self, *, name: str, holder: str, fence: int, timeout_ms: float
    ) -> Result[LeaseRenewalReply, Failure]:
        """Renew a lease, or try to acquire it with fence 0."""
        return await self._ask_leader(LeaseRenewal(name, holder, fence), timeout_ms=timeout_ms)

    async def _ask_leader(self, body: Body, *, timeout_ms: float) -> Result[Body, Failure]:
        deadline_s = asyncio.get_running_loop().time() + timeout_ms / 1000
        may_be_written = False
        while True:
            for replica in self._last_leader_first():
                left_ms = (deadline_s - asyncio.get_running_loop().time()) * 1000
                if left_ms <= 0:
                    return Err(_timeout_failure(may_be_written))
                connected = await self._peers.connection(replica.address)
                if connected.is_err():
                    continue
                reply = await connected.unwrap().call(
                    body, timeout_ms=min(left_ms, ATTEMPT_TIMEOUT_MS)
                )
                if reply.is_ok():
                    self._leader = replica.vm
                    return Ok(reply.unwrap())
                failure = reply.unwrap_err()
                if failure.code in (Code.PEER_LOST, Code.PEER_TIMEOUT, Code.EDIT_UNKNOWN):
                    may_be_written = True
                elif failure.code not in _NOTHING_WRITTEN:
                    return Err(failure)
            await asyncio.sleep(RETRY_PAUSE_S)

    def _last_leader_first(self) -> list[PeerSettings]:
        return sorted(self._replicas, key=lambda replica: replica.vm != self._leader)


def _timeout_failure(may_be_written: bool) -> Failure:
    return Failure(code=Code.EDIT_UNKNOWN if may_be_written else Code.NO_MAJORITY)


__all__ = ["ProposalReply", "StateClient"]
