"""Proposals to a leader that cannot be reached."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from result import Err, Ok

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.commands import Answer, ReadBarrier, encode
from leadhollow.state.gateway import LeaderGateway
from leadhollow.state.replica import ReplicaRole
from leadhollow.wire.generated.ttypes import ProposeReply
from leadhollow.wire.handlers import HandlerTable

TIMEOUT_S = 0.2


class SilentPeers:
    """Connections that are neither accepted nor rejected."""

    def __init__(self) -> None:
        self.dials = 0

    async def connection(self, address: str):
        self.dials += 1
        await asyncio.Event().wait()


class StartingLeader:
    """Leader that has no handlers at first."""

    def __init__(self) -> None:
        self.calls = 0

    async def connection(self, address: str):
        return Ok(self)

    async def call(self, request, *, timeout_ms: float):
        self.calls += 1
        if self.calls == 1:
            return Err(Failure(code=Code.FRAME_TYPE_UNKNOWN))
        return Ok(ProposeReply(0, "", encode(Answer(code=0)), 1, "r-1"))


def follower_of(leader: str) -> SimpleNamespace:
    voter = SimpleNamespace(replica=leader, address="10.0.0.1:1")
    return SimpleNamespace(
        role=ReplicaRole.FOLLOWER,
        leader_vm=leader,
        voters=SimpleNamespace(voters=[voter]),
    )


class TestPropose:
    # Guards against a 400, which ends an operator's call, from a leader that has just started.
    async def test_is_repeated_while_the_leader_has_no_handlers_yet(self):
        peers = StartingLeader()
        gateway = LeaderGateway(replica=follower_of("r-1"), peers=peers, handlers=HandlerTable())
        assert (await gateway.propose(ReadBarrier(), timeout_s=5.0)).is_ok()
        assert peers.calls == 2

    # Guards against: no response to an operator, since connecting takes longer than the order may.
    async def test_is_given_up_in_time_while_the_leader_does_not_accept_connections(self):
        peers = SilentPeers()
        gateway = LeaderGateway(replica=follower_of("r-1"), peers=peers, handlers=HandlerTable())
        async with asyncio.timeout(30):
            proposed = await gateway.propose(ReadBarrier(), timeout_s=TIMEOUT_S)
        assert proposed.unwrap_err().code is Code.NO_MAJORITY
        assert peers.dials >= 1
