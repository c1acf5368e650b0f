"""Access to the leader from any replica: proposals and linearizable reads."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import active_s, active_timeout
from leadhollow.state.commands import (
    AnyAnswer,
    Command,
    decode_answer,
    decode_command,
    encode,
    encode_bounded,
)
from leadhollow.state.replica import AppliedCommand, Replica, ReplicaRole
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import (
    ProposeReply,
    ProposeRequest,
    ReadIndexReply,
    ReadIndexRequest,
)
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

RETRY_PAUSE_S = 0.03
ROUND_TRIP_TIMEOUT_S = 0.5
APPLY_POLL_S = 0.005
_NOT_WRITTEN = (
    Code.NOT_LEADER,
    Code.NO_MAJORITY,
    Code.DISK_FAILED,
    Code.FRAME_TYPE_UNKNOWN,  # the leader has started again and has no handlers yet
)


class LeaderGateway:
    """Proposes commands and confirms reads through the current leader."""

    __slots__ = ("_peers", "_replica")

    def __init__(self, *, replica: Replica, peers: PeerPool, handlers: HandlerTable) -> None:
        self._replica = replica
        self._peers = peers
        handlers.on_call(ProposeRequest, self._on_propose)
        handlers.on_call(ReadIndexRequest, self._on_read_index)

    async def propose(self, command: Command, *, timeout_s: float) -> Result[AnyAnswer, Failure]:
        """Propose a command through the current leader and wait until it is committed.

        The command must be safe to repeat: it may be written more than once.

        Errors
        ------
        EDIT_UNKNOWN
            It may have been written, and may yet be committed.
        NO_MAJORITY, COMMAND_TOO_LARGE
            Nothing was written.
        """
        deadline_s = active_s() + timeout_s
        may_be_written = False
        while True:
            left_s = deadline_s - active_s()
            if left_s <= 0:
                code = Code.EDIT_UNKNOWN if may_be_written else Code.NO_MAJORITY
                return Err(Failure(code=code))
            answered = await self._propose_once(command, left_s)
            if answered.is_ok():
                return answered
            failure = answered.unwrap_err()
            if failure.code in (Code.PEER_LOST, Code.PEER_TIMEOUT, Code.EDIT_UNKNOWN):
                may_be_written = True
            elif failure.code not in _NOT_WRITTEN:
                return answered
            await asyncio.sleep(RETRY_PAUSE_S)

    async def confirm(self, *, timeout_s: float) -> Result[None, Failure]:
        """Wait until this replica has applied all that was acknowledged before the call.

        Errors
        ------
        READ_UNCONFIRMED
            No leader with a majority answered in time, or this replica did not catch up in time.
        """
        deadline_s = active_s() + timeout_s
        while active_s() < deadline_s:
            index = await self._read_index(deadline_s - active_s())
            if index is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            while self._replica.applied_index < index:
                if active_s() >= deadline_s:
                    return Err(Failure(code=Code.READ_UNCONFIRMED))
                await asyncio.sleep(APPLY_POLL_S)
            return Ok(None)
        return Err(Failure(code=Code.READ_UNCONFIRMED))

    def term(self) -> int:
        """Return the current term."""
        return self._replica.term

    def leads_since_s(self) -> float | None:
        """Return the time at which this replica was elected, None if it is not a ready leader."""
        return self._replica.leader_since_s if self._replica.ready() else None

    def leader_address(self) -> str | None:
        """Return the address of the leader, None if the leader is unknown."""
        for voter in self._replica.voters.voters:
            if voter.replica == self._replica.leader_vm:
                return voter.address
        return None

    async def _propose_once(self, command: Command, left_s: float) -> Result[AnyAnswer, Failure]:
        if self._replica.role is ReplicaRole.LEADER:
            applied = await self._propose_local(command, left_s)
            return Ok(applied.unwrap().answer) if applied.is_ok() else Err(applied.unwrap_err())
        leader = self.leader_address()
        if leader is None:
            return Err(Failure(code=Code.NO_MAJORITY, detail="no leader is known"))
        encoded = encode_bounded(command)
        if encoded.is_err():
            return Err(encoded.unwrap_err())
        began_s = active_s()
        try:
            async with active_timeout(left_s):
                connected = await self._peers.connection(leader)
        except TimeoutError:
            detail = f"the leader at {leader} was not reached in time"
            return Err(Failure(code=Code.NO_MAJORITY, detail=detail))
        if connected.is_err():
            return Err(Failure(code=Code.NO_MAJORITY, detail=str(connected.unwrap_err())))
        request = ProposeRequest(encoded.unwrap())
        left_s -= active_s() - began_s
        reply = await connected.unwrap().call(request, timeout_ms=max(0.0, left_s) * 1000)
        if reply.is_err():
            return Err(reply.unwrap_err())
        return decode_answer(reply.unwrap().answer)

    async def _propose_local(
        self, command: Command, left_s: float
    ) -> Result[AppliedCommand, Failure]:
        try:
            async with active_timeout(left_s):
                return await self._replica.propose(command)
        except TimeoutError:
            return Err(Failure(code=Code.EDIT_UNKNOWN, detail="no majority answered in time"))

    async def _read_index(self, left_s: float) -> int | None:
        timeout_s = min(left_s, ROUND_TRIP_TIMEOUT_S)
        if self._replica.role is ReplicaRole.LEADER:
            confirmed = await self._replica.leadership.confirm_leadership(timeout_s)
            return confirmed.unwrap() if confirmed.is_ok() else None
        leader = self.leader_address()
        if leader is None:
            return None
        request = ReadIndexRequest(self._replica.vm)
        reply = await self._peers.call(leader, request, timeout_ms=timeout_s * 1000)
        return int(reply.unwrap().index) if reply.is_ok() else None

    async def _on_propose(
        self, request: ProposeRequest, connection: Connection
    ) -> Result[ProposeReply, Failure]:
        decoded = decode_command(request.command or b"")
        if decoded.is_err():
            return Err(decoded.unwrap_err())
        applied = await self._replica.propose(decoded.unwrap())
        if applied.is_err():
            return Err(applied.unwrap_err())
        done = applied.unwrap()
        return Ok(ProposeReply(0, "", encode(done.answer), done.index, self._replica.vm))

    async def _on_read_index(
        self, request: ReadIndexRequest, connection: Connection
    ) -> Result[ReadIndexReply, Failure]:
        confirmed = await self._replica.leadership.confirm_leadership(ROUND_TRIP_TIMEOUT_S)
        if confirmed.is_err():
            return Err(confirmed.unwrap_err())
        return Ok(ReadIndexReply(confirmed.unwrap()))


__all__ = ["LeaderGateway"]
