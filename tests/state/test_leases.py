"""Leases of the state leader: a holder stops before another may begin."""

from __future__ import annotations

from leadhollow.codes import Code
from leadhollow.state.leases import LeaseManager
from tests.support import eventually


class TestLeaseKeeper:
    async def test_is_held_until_it_surely_ended(self, replica_group):
        leader = await replica_group.wait_leader()
        keeper = LeaseManager(replica=leader.replica, ttl_ms=300)
        given = (await keeper.renew_or_acquire(name="domain/d", holder="a", fence=0)).unwrap()
        refused = await keeper.renew_or_acquire(name="domain/d", holder="b", fence=0)
        assert refused.unwrap_err().code is Code.LEASE_HELD
        renewed = await keeper.renew_or_acquire(name="domain/d", holder="a", fence=given.fence)
        assert renewed.unwrap().fence == given.fence

        async def taken_over():
            answer = await keeper.renew_or_acquire(name="domain/d", holder="b", fence=0)
            return answer.unwrap() if answer.is_ok() else None

        second = await eventually(taken_over, "the lease to end")
        assert second.fence > given.fence
        late = await keeper.renew_or_acquire(name="domain/d", holder="a", fence=given.fence)
        assert late.is_err()

    async def test_a_new_leader_waits_a_whole_lease_time(self, replica_group):
        leader = await replica_group.wait_leader()
        keeper = LeaseManager(replica=leader.replica, ttl_ms=60_000)
        assert (await keeper.renew_or_acquire(name="domain/d", holder="a", fence=0)).is_ok()
        await replica_group.stop(leader.vm)
        second = await replica_group.wait_leader(other_than=leader.vm)
        successor = LeaseManager(replica=second.replica, ttl_ms=60_000)
        refused = await successor.renew_or_acquire(name="domain/d", holder="b", fence=0)
        assert refused.unwrap_err().code is Code.LEASE_HELD

    async def test_a_follower_decides_nothing(self, replica_group):
        leader = await replica_group.wait_leader()
        follower = next(node for vm, node in replica_group.nodes.items() if vm != leader.vm)
        keeper = LeaseManager(replica=follower.replica, ttl_ms=300)
        refused = await keeper.renew_or_acquire(name="domain/d", holder="a", fence=0)
        assert refused.unwrap_err().code is Code.NOT_LEADER
