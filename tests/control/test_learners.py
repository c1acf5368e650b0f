"""Control replicas without a vote get the soft state that any other replica receives."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.control.registry import Registry
from leadhollow.membership.naming_times import NamingTimes
from tests.control.test_feed_server import make_instance
from tests.state.seeded_group import SeededGroup, SeededNode
from tests.support import eventually

LEARNERS = ("127.0.0.14", "127.0.0.15")


def registry_of(node: SeededNode) -> Registry:
    return Registry(
        own_address=node.settings.wire_address,
        replicas=node.service.addresses,
        directory=node.service.directory,
        peers=node.peers,
        handlers=node.handlers,
        forget_after_s=60.0,
        heartbeat_s=1.2,
        naming_times=NamingTimes(clock=asyncio.get_running_loop().time),
        accepts_service=lambda name: True,
    )


class Group(SeededGroup):
    """Three voters and two replicas without a vote, each with a registry."""

    async def start_registries(self) -> None:
        await self.start_all()
        await eventually(self.leader, "a leader")
        for host in LEARNERS:
            await self.start(host, first_start=True)
        self.registries = {host: registry_of(node) for host, node in self.nodes.items()}
        for registry in self.registries.values():
            assert (await registry.start()).is_ok()

    async def stop_registries(self) -> None:
        for registry in self.registries.values():
            await registry.stop()
        await self.stop_all()

    async def other_voters(self) -> list[str]:
        """Return the voters that do not lead."""
        leader = await eventually(self.leader, "a leader with a lease")
        return [host for host in self.seeds if host != leader.host]


@pytest.fixture
async def group(tmp_path):
    made = Group(folder=tmp_path)
    await made.start_registries()
    yield made
    await made.stop_registries()


class TestLearner:
    # Guards against: entries that follow a replica without a vote send requests to a deregistered
    # server.
    async def test_learner_gets_changes_received_by_a_non_leading_voter(self, group):
        voter_host = (await group.other_voters())[0]
        instance = make_instance(heard_s=asyncio.get_running_loop().time())
        group.registries[voter_host].announce(instance)
        for host in LEARNERS:
            table = group.registries[host].table
            await eventually(lambda table=table: table.get(instance.instance), "the server")
        group.registries[voter_host].deregister(instance.instance)
        for host in LEARNERS:
            table = group.registries[host].table
            await eventually(
                lambda table=table: table.get(instance.instance) is None, "its farewell"
            )

    async def test_learner_gets_changes_received_by_another_learner(self, group):
        instance = make_instance(heard_s=asyncio.get_running_loop().time())
        group.registries[LEARNERS[0]].announce(instance)
        table = group.registries[LEARNERS[1]].table
        await eventually(lambda: table.get(instance.instance), "the server")

    async def test_stopped_learner_is_removed_from_addresses(self, group):
        voter = group.nodes[(await group.other_voters())[0]]
        address = group.nodes[LEARNERS[0]].settings.wire_address
        await eventually(lambda: address in voter.service.addresses(), "its address")
        await group.registries[LEARNERS[0]].stop()
        await eventually(lambda: address not in voter.service.addresses(), "a shorter list")
