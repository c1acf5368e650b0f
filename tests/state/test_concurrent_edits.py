"""Two operators edit the same row revision concurrently and resend commands after lost replies."""

from __future__ import annotations

import asyncio

from leadhollow.state.client import StateClient
from tests.support import ReplicaGroup, edit, eventually

ROUNDS = 1_000
STEP_DOWNS = (300, 600)
"""Rounds before which the leader steps down. The former leader then lags behind the new one.
The current revision is that of the last accepted edit, not the one that any single replica has."""

DROPPED = 3  # every third reply is lost


class Operator:
    """Edits through the state client; resends a command after each lost reply."""

    def __init__(self, name: str, client: StateClient) -> None:
        self.name = name
        self.client = client
        self.sent = 0
        self.accepted: dict[str, int] = {}

    async def edit(self, expected: int) -> None:
        self.sent += 1
        operation_id = f"{self.name}-{self.sent}"
        command = edit("a", weight=float(self.sent), expected=expected, operation_id=operation_id)
        answer = await self.client.propose(command, timeout_ms=20_000)
        if self.sent % DROPPED == 0:
            again = await self.client.propose(command, timeout_ms=20_000)
            assert again.unwrap().answer == answer.unwrap().answer
        if answer.unwrap().answer.code == 0:
            self.accepted[operation_id] = answer.unwrap().answer.revision


class TestConcurrentEdits:
    async def test_each_accepted_edit_is_applied_once_and_in_one_order_on_every_replica(
        self, tmp_path
    ):
        group = ReplicaGroup(folder=tmp_path, count=3, snapshot_entries=400)
        await group.start_all()
        await group.wait_leader()
        register_proposals(group)
        operators = [
            Operator(node.vm, StateClient(replicas=group.peers, peers=node.peers))
            for node in list(group.nodes.values())[:2]
        ]
        accepted: dict[str, int] = {}
        for turn in range(ROUNDS):
            if turn in STEP_DOWNS:
                await step_down(group)
            expected = max(accepted.values(), default=0)
            await asyncio.gather(*(operator.edit(expected) for operator in operators))
            accepted = {**operators[0].accepted, **operators[1].accepted}
            assert len(accepted) == turn + 1  # exactly one of two edits at the same revision
        for node in group.nodes.values():
            machine = node.replica.machine
            await eventually(lambda: len(machine.history(None)) == ROUNDS)  # noqa: B023
            history = machine.history(None)
            assert {entry.operation_id: entry.revision for entry in history} == accepted
            assert [entry.revision for entry in history] == sorted(accepted.values())
        await group.stop_all()


async def step_down(group: ReplicaGroup) -> None:
    """Let the leader step down; the next leader, perhaps the same replica, starts a new term."""
    leader = await group.wait_leader()
    leader.replica._state.become_follower("")


def register_proposals(group: ReplicaGroup) -> None:
    """Serve proposals on every replica, as the state role does."""
    from result import Err, Ok

    from leadhollow.state.commands import decode_command, encode
    from leadhollow.wire.generated.ttypes import ProposeReply, ProposeRequest

    def serve(node):
        async def on_propose(request, connection):
            applied = await node.replica.propose(decode_command(request.command).unwrap())
            if applied.is_err():
                return Err(applied.unwrap_err())
            done = applied.unwrap()
            return Ok(ProposeReply(0, "", encode(done.answer), done.index, node.vm))

        node.handlers.on_call(ProposeRequest, on_propose)

    for node in group.nodes.values():
        serve(node)
