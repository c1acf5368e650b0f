"""Test groups of control replicas on loopback, found from seeds, with injected faults."""

from __future__ import annotations

import shutil
from pathlib import Path

from leadhollow.control.replica_service import STATE_FOLDER, ReplicaService
from leadhollow.settings.address import Address
from leadhollow.settings.model import StateSettings
from leadhollow.settings.node import NodeRole, NodeSettings
from leadhollow.state.commands import NameVersion
from leadhollow.state.log_store import LogStore
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.support import TOKEN, eventually, free_ports

PORTS = 10  # per replica
HOST_NUMBERS = range(11, 40)  # last bytes of the addresses that replicas may use
MODEL = "model"


class SeededNode:
    """One replica; all use the same port, each on its own address of 127.0.0.0/8."""

    def __init__(self, group: SeededGroup, host: str, *, first_start: bool) -> None:
        self.host = host
        self.folder = group.folder / host
        self.settings = NodeSettings(
            vm=host,
            region="r",
            failure_domain=f"domain-{host}",
            role=NodeRole.CONTROL,
            host=host,
            ports=(group.port, group.port + PORTS - 1),
            seeds=tuple(f"{seed}:1" for seed in group.configured_seeds),
            first_start=first_start,
            data_folder=str(self.folder),
            state=StateSettings(heartbeat_ms=40, election_timeout_ms=200, snapshot_entries=32),
        )
        self.handlers = HandlerTable()
        self.peers = PeerPool(vm=host, failure_domain="d", token=TOKEN, handlers=self.handlers)
        address = Address.parse(self.settings.wire_address).unwrap()
        self.server = WireServer(address=address, token=TOKEN, handlers=self.handlers)
        self.service = ReplicaService(
            settings=self.settings, peers=self.peers, handlers=self.handlers
        )

    @property
    def replica(self):
        return self.service.replica

    async def start(self) -> None:
        assert (await self.server.start()).is_ok()
        assert (await self.service.start()).is_ok()

    async def stop(self) -> None:
        await self.peers.stop()
        await self.service.stop()
        await self.server.stop()


class SeededGroup:
    """Three seed replicas and the replicas that join them."""

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.seeds = [f"127.0.0.{number}" for number in (11, 12, 13)]
        self.port = free_ports([f"127.0.0.{number}" for number in HOST_NUMBERS], count=PORTS)
        self.configured_seeds = list(
            self.seeds
        )  # seeds in the settings of new replicas; tests may change them
        self.nodes: dict[str, SeededNode] = {}
        self._number = 0

    async def start_all(self) -> None:
        for host in self.seeds:
            await self.start(host, first_start=True)

    async def start(self, host: str, *, first_start: bool = False) -> SeededNode:
        node = SeededNode(self, host, first_start=first_start)
        self.nodes[host] = node
        await node.start()
        return node

    async def stop(self, host: str) -> None:
        await self.nodes.pop(host).stop()

    async def stop_all(self) -> None:
        for host in list(self.nodes):
            await self.stop(host)

    def wipe(self, host: str) -> None:
        shutil.rmtree(self.folder / host)

    def cut(self, *hosts: str) -> None:
        """Disconnect some replicas from all others, in both directions."""
        for name, node in self.nodes.items():
            apart = {
                other.settings.wire_address
                for other_name, other in self.nodes.items()
                if (other_name in hosts) != (name in hosts)
            }
            node.peers.cut(apart)

    def heal(self) -> None:
        for node in self.nodes.values():
            node.peers.cut(set())

    def leader(self) -> SeededNode | None:
        ready = [node for node in self.nodes.values() if node.replica.ready()]
        return max(ready, key=lambda node: node.replica.term, default=None)

    async def wait_leader(self) -> SeededNode:
        return await eventually(self.leader, "a leader")

    async def wait_voters(self, *hosts: str) -> None:
        """Wait until the leader's voter set is committed and consists of exactly these hosts."""
        wanted = sorted(f"{host}:{self.port}" for host in hosts)

        def settled() -> bool:
            leader = self.leader()
            if leader is None or leader.replica.commit_index < leader.replica.voters.index:
                return False
            found = sorted(voter.address for voter in leader.replica.voters.voters)
            identities = {node.replica.vm for node in self.nodes.values() if node.host in hosts}
            return found == wanted and identities == {
                voter.replica for voter in leader.replica.voters.voters
            }

        await eventually(settled, f"voters {hosts}")

    async def accept(self) -> int:
        """Name one more version and return its number once it is acknowledged."""
        self._number += 1
        while True:
            leader = await self.wait_leader()
            command = NameVersion(model=MODEL, number=self._number)
            done = await leader.service.gateway.propose(command, timeout_s=2.0)
            if done.is_ok():
                return self._number

    def newest(self, host: str) -> int:
        """Return the newest version that a replica has applied."""
        catalog = self.nodes[host].replica.machine.catalog
        numbers = [
            int(key.rpartition("/")[2])
            for key, item in catalog.items().items()
            if key.startswith(f"weights/{MODEL}/") and item.value is not None
        ]
        return max(numbers, default=0)

    def store_of(self, host: str) -> LogStore:
        return LogStore(folder=self.folder / host / STATE_FOLDER)
