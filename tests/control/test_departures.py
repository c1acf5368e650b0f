"""Departures of servers that one replica accepts and others must know."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from leadhollow.control.departures import Departures
from leadhollow.control.registry import Registry
from leadhollow.control.replica_directory import ReplicaDirectory
from leadhollow.membership.instances import InstanceState
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.settings.address import Address
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.control.test_feed_server import make_instance
from tests.support import TOKEN, free_ports

HOSTS = ("127.0.90.1", "127.0.90.2", "127.0.90.3")


class Replicas:
    """Registries of three replicas; their own services do not run, so nothing is pushed later."""

    async def __aenter__(self) -> Replicas:
        port = free_ports(HOSTS, count=1)
        addresses = [f"{host}:{port}" for host in HOSTS]
        self.parts = []
        for address in addresses:
            handlers = HandlerTable()
            peers = PeerPool(vm=address, failure_domain="d", token=TOKEN, handlers=handlers)
            server = WireServer(
                address=Address.parse(address).unwrap(), token=TOKEN, handlers=handlers
            )
            clock = asyncio.get_running_loop().time
            registry = Registry(
                own_address=address,
                replicas=lambda: addresses,
                directory=ReplicaDirectory(clock=clock),
                peers=peers,
                handlers=handlers,
                forget_after_s=60.0,
                heartbeat_s=1.0,
                naming_times=NamingTimes(clock=clock),
                accepts_service=lambda name: name == "s",
            )
            departures = Departures(
                table=registry.table,
                describe=registry.describe,
                others=registry.other_replicas,
                peers=peers,
                tolerated_losses=1,
            )
            assert (await server.start()).is_ok()
            self.parts.append(
                SimpleNamespace(
                    registry=registry, departures=departures, peers=peers, server=server
                )
            )
        return self

    async def __aexit__(self, *_: object) -> None:
        for part in self.parts:
            await part.peers.stop()
            await part.server.stop()

    def known(self) -> list[bool]:
        """Return which replicas would still send requests to the server."""
        found = [part.registry.table.get("i-1") for part in self.parts]
        return [each is not None and each.state is InstanceState.READY for each in found]

    def announce(self, *, state: InstanceState = InstanceState.READY, sequence: int = 1) -> None:
        for part in self.parts if state is InstanceState.READY else self.parts[:1]:
            instance = make_instance(heard_s=asyncio.get_running_loop().time(), sequence=sequence)
            instance.state = state
            part.registry.announce(instance)


class TestConfirmedDeparture:
    # Guards against an acknowledged deregistration that is lost with the replica that accepted it.
    async def test_of_a_deregistered_server_is_known_to_another_replica(self):
        async with Replicas() as replicas:
            replicas.announce()
            first = replicas.parts[0].registry
            first.deregister("i-1")
            assert await replicas.parts[0].departures.confirm("i-1")
            assert replicas.known().count(False) >= 2

    # Guards against the same for a server that says that it drains.
    async def test_of_a_draining_server_is_known_to_another_replica(self):
        async with Replicas() as replicas:
            replicas.announce()
            replicas.announce(state=InstanceState.DRAINING, sequence=2)
            assert await replicas.parts[0].departures.confirm("i-1")
            assert replicas.known().count(False) >= 2

    # Guards against a deregistration at a replica that has just started and knows no sequence.
    async def test_of_a_server_that_this_replica_does_not_know_reaches_the_others(self):
        async with Replicas() as replicas:
            replicas.announce(sequence=7)
            first = replicas.parts[0].registry
            first.table.forget("i-1")
            first.deregister("i-1")
            assert await replicas.parts[0].departures.confirm("i-1")
            assert replicas.known().count(False) >= 2

    async def test_is_refused_while_no_other_replica_confirms_it(self):
        async with Replicas() as replicas:
            replicas.announce()
            for part in replicas.parts[1:]:
                await part.server.stop()
            first = replicas.parts[0].registry
            first.deregister("i-1")
            assert not await replicas.parts[0].departures.confirm("i-1")

    async def test_is_confirmed_while_one_other_replica_is_away(self):
        async with Replicas() as replicas:
            replicas.announce()
            await replicas.parts[2].server.stop()
            first = replicas.parts[0].registry
            first.deregister("i-1")
            assert await replicas.parts[0].departures.confirm("i-1")
            assert replicas.known()[:2] == [False, False]

    async def test_of_a_ready_server_asks_nobody(self):
        async with Replicas() as replicas:
            replicas.announce()
            for part in replicas.parts[1:]:
                await part.server.stop()
            assert await replicas.parts[0].departures.confirm("i-1")
