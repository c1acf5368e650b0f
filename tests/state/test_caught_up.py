"""When a state replica that has started again streams its catalog."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path

from leadhollow.codes import Code
from leadhollow.settings.address import Address
from leadhollow.settings.model import Role, Settings, WireSettings
from leadhollow.state.service import STATE_FOLDER, StateService
from leadhollow.wire.generated.ttypes import CatalogWatch
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.support import TOKEN, ReplicaGroup, eventually

SNAPSHOT_ENTRIES = 8
GROUP = "g"


def with_group(folder: Path, work: Callable[[ReplicaGroup], Awaitable[None]]) -> None:
    async def run() -> None:
        group = ReplicaGroup(folder=folder, count=3, snapshot_entries=SNAPSHOT_ENTRIES)
        await group.start_all()
        await group.wait_voters()
        try:
            await work(group)
        finally:
            await group.stop_all()

    asyncio.run(asyncio.wait_for(run(), 60))


async def behind_after_a_restart(group: ReplicaGroup) -> None:
    """Stop all replicas and start s0, whose snapshot lacks the last edits."""
    for number in range(2 * SNAPSHOT_ENTRIES):
        await group.accept(GROUP, float(number), f"first-{number}")
    await eventually(lambda: group.nodes["s0"].replica.store.snapshot.last_index > 0, "a snapshot")
    await group.stop("s0")
    await group.accept(GROUP, 100.0, "last")
    await group.stop_all()
    await group.start("s0")


class TestCaughtUp:
    # Guards against a gate that lets in what was taken away, because a state replica is behind.
    def test_a_replica_that_has_just_started_is_not(self, tmp_path):
        async def work(group: ReplicaGroup) -> None:
            await behind_after_a_restart(group)
            replica = group.nodes["s0"].replica
            assert group.weights("s0") != {GROUP: 100.0}
            await asyncio.sleep(0.5)
            assert not replica.caught_up()
            await group.start("s1")
            await group.start("s2")
            await eventually(replica.caught_up, "a replica that has caught up")
            assert group.weights("s0") == {GROUP: 100.0}

        with_group(tmp_path, work)

    # Guards against a failure domain without a catalog because it is cut off.
    def test_a_replica_that_loses_the_others_stays_so(self, tmp_path):
        async def work(group: ReplicaGroup) -> None:
            await group.accept(GROUP, 1.0, "first")
            replica = group.nodes["s0"].replica
            await eventually(replica.caught_up, "a replica that has caught up")
            await group.stop("s1")
            await group.stop("s2")
            await asyncio.sleep(1.0)
            assert replica.caught_up()

        with_group(tmp_path, work)

    # Guards against a replica that starts alone and takes the term of its snapshot for the newest.
    def test_a_replica_that_starts_beside_a_leader_gets_what_it_missed(self, tmp_path):
        async def work(group: ReplicaGroup) -> None:
            for number in range(2 * SNAPSHOT_ENTRIES):
                await group.accept(GROUP, float(number), f"first-{number}")
            leader = await group.wait_leader()
            other = next(vm for vm in group.nodes if vm != leader.vm)
            await group.stop(other)
            await group.accept(GROUP, 100.0, "last")
            await group.start(other)
            replica = group.nodes[other].replica
            await eventually(replica.caught_up, "a replica that has caught up")
            assert group.weights(other) == {GROUP: 100.0}

        with_group(tmp_path, work)


class TestWatch:
    # Guards against a catalog stream that shows an old snapshot as the present state.
    def test_a_replica_that_is_behind_sends_no_catalog(self, tmp_path):
        async def work(group: ReplicaGroup) -> None:
            await behind_after_a_restart(group)
            await group.stop("s0")
            shutil.copytree(group.folder / "s0", tmp_path / "service" / STATE_FOLDER)
            peer = group.peers[0]
            settings = Settings(
                vm=peer.vm,
                region="r",
                failure_domain=peer.failure_domain,
                roles=(Role.STATE,),
                wire=WireSettings(listen=peer.address, token=TOKEN),
                state_replicas=group.peers,
                domain_replicas=(),
                data_folder=str(tmp_path / "service"),
                state=group.timing,
            )
            handlers = HandlerTable()
            peers, watcher = (
                PeerPool(vm=vm, failure_domain="d0", token=TOKEN, handlers=HandlerTable())
                for vm in (peer.vm, "watcher")
            )
            service = StateService(settings=settings, peers=peers, handlers=handlers)
            address = Address.parse(peer.address).unwrap()
            server = WireServer(address=address, token=TOKEN, handlers=handlers)
            assert (await server.start()).is_ok()
            assert (await service.start()).is_ok()
            assert service.replica.machine.catalog.revision > 0
            stream = (await watcher.connection(peer.address)).unwrap().stream(CatalogWatch(0))
            received = await stream.next()
            assert received.unwrap_err().code is Code.READ_UNCONFIRMED
            for pool in (watcher, peers):
                await pool.stop()
            await service.stop()
            await server.stop()

        with_group(tmp_path, work)
