"""What the leader tells of its followers."""

from __future__ import annotations

from leadhollow.state.status import follower_statuses
from tests.support import eventually


class TestFollowerStatuses:
    # Guards against a replica that never catches up and shows nowhere.
    async def test_name_a_follower_that_lacks_entries(self, replica_group):
        assert (await replica_group.accept("a", 1.0, "op-1")).code == 0
        await replica_group.wait_voters()
        leader = await replica_group.wait_leader()
        away = next(vm for vm in replica_group.nodes if vm != leader.vm)
        await replica_group.stop(away)
        assert (await replica_group.accept("a", 2.0, "op-2")).code == 0

        def behind() -> list[str]:
            statuses = follower_statuses(leader.replica)
            return [status.replica for status in statuses if status.bytes_behind]

        await eventually(lambda: behind() == [away], "only the stopped follower to be behind")
        status = next(each for each in follower_statuses(leader.replica) if each.replica == away)
        assert status.entries_behind >= 1
        await eventually(lambda: self.silent_ms(leader, away) > 100, "the silence to show")

    async def test_are_empty_at_a_follower(self, replica_group):
        leader = await replica_group.wait_leader()
        follower = next(node for node in replica_group.nodes.values() if node is not leader)
        assert follower_statuses(follower.replica) == []

    @staticmethod
    def silent_ms(leader, vm: str) -> int:
        statuses = {each.replica: each for each in follower_statuses(leader.replica)}
        return statuses[vm].silent_ms


class TestDistanceLog:
    # Guards against a replica that stays behind without a line in the log.
    async def test_follower_that_stays_behind_is_logged_until_it_has_caught_up(
        self, replica_group, caplog
    ):
        caplog.set_level("INFO", logger="absl")
        await replica_group.accept("a", 1.0, "op-1")
        await replica_group.wait_voters()
        leader = await replica_group.wait_leader()
        away = next(vm for vm in replica_group.nodes if vm != leader.vm)
        await replica_group.stop(away)
        await replica_group.accept("a", 2.0, "op-2")
        await eventually(lambda: logged(caplog, "follower is behind", away), "the line")
        assert (await replica_group.start(away)).is_ok()
        await eventually(lambda: logged(caplog, "follower has caught up", away), "the line")


def logged(caplog, message: str, replica: str) -> bool:
    return any(
        record.message == message and record.fields["replica"] == replica
        for record in caplog.records
    )
