"""Leases of the state leader: no two holders at the same time."""

from __future__ import annotations

from leadhollow.codes import Code
from leadhollow.state.leases import LeaseManager
from tests.support import eventually


class TestLeaseKeeper:
    async def test_lease_is_held_until_it_has_expired_on_every_clock(self, replica_group):
        leader = await replica_group.wait_leader()
        manager = LeaseManager(replica=leader.replica, ttl_ms=300)
        granted = (await manager.renew_or_acquire(name="domain/d", holder="a", fence=0)).unwrap()
        refused = await manager.renew_or_acquire(name="domain/d", holder="b", fence=0)
        assert refused.unwrap_err().code is Code.LEASE_HELD
        renewed = await manager.renew_or_acquire(name="domain/d", holder="a", fence=granted.fence)
        assert renewed.unwrap().fence == granted.fence

        async def acquire():
            answer = await manager.renew_or_acquire(name="domain/d", holder="b", fence=0)
            return answer.unwrap() if answer.is_ok() else None

        second = await eventually(acquire, "the lease to end")
        assert second.fence > granted.fence
        late = await manager.renew_or_acquire(name="domain/d", holder="a", fence=granted.fence)
        assert late.is_err()

    async def test_new_leader_waits_the_full_duration_of_a_lease(self, replica_group):
        leader = await replica_group.wait_leader()
        manager = LeaseManager(replica=leader.replica, ttl_ms=60_000)
        assert (await manager.renew_or_acquire(name="domain/d", holder="a", fence=0)).is_ok()
        await replica_group.stop(leader.vm)
        second = await replica_group.wait_leader(other_than=leader.vm)
        successor = LeaseManager(replica=second.replica, ttl_ms=60_000)
        refused = await successor.renew_or_acquire(name="domain/d", holder="b", fence=0)
        assert refused.unwrap_err().code is Code.LEASE_HELD

    async def test_follower_grants_no_lease(self, replica_group):
        leader = await replica_group.wait_leader()
        follower = next(node for vm, node in replica_group.nodes.items() if vm != leader.vm)
        manager = LeaseManager(replica=follower.replica, ttl_ms=300)
        refused = await manager.renew_or_acquire(name="domain/d", holder="a", fence=0)
        assert refused.unwrap_err().code is Code.NOT_LEADER
