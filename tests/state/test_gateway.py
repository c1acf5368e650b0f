"""Proposals to a leader that cannot be reached."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from leadhollow.codes import Code
from leadhollow.state.commands import ReadBarrier
from leadhollow.state.gateway import LeaderGateway
from leadhollow.state.replica import ReplicaRole
from leadhollow.wire.handlers import HandlerTable

TIMEOUT_S = 0.2


class SilentPeers:
    """Connections that are neither accepted nor rejected."""

    def __init__(self) -> None:
        self.dials = 0

    async def connection(self, address: str):
        self.dials += 1
        await asyncio.Event().wait()


class TestPropose:
    # Guards against: no response to an operator, since connecting takes longer than the order may.
    async def test_is_given_up_in_time_while_the_leader_does_not_accept_connections(self):
        voter = SimpleNamespace(replica="r-1", address="10.0.0.1:1")
        replica = SimpleNamespace(
            role=ReplicaRole.FOLLOWER,
            leader_vm="r-1",
            voters=SimpleNamespace(voters=[voter]),
        )
        peers = SilentPeers()
        gateway = LeaderGateway(replica=replica, peers=peers, handlers=HandlerTable())
        async with asyncio.timeout(30):
            proposed = await gateway.propose(ReadBarrier(), timeout_s=TIMEOUT_S)
        assert proposed.unwrap_err().code is Code.NO_MAJORITY
        assert peers.dials >= 1
