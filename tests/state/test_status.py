"""What the leader tells of its followers."""

from __future__ import annotations

from leadhollow.state import follower_metrics
from leadhollow.state.follower_metrics import FollowerMetrics
from leadhollow.state.records import CatalogItem
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


class Gauges:
    """Keeps the newest value of each gauge."""

    def __init__(self) -> None:
        self.values: dict[str, float] = {}

    def gauge(self, name: str, value: float) -> None:
        self.values[name] = value


class TestCatalogGauges:
    # Guards against: a catalog that grows with each change and shows nowhere
    async def test_tell_items_and_floor(self, replica_group, monkeypatch):
        monkeypatch.setattr(follower_metrics, "INTERVAL_S", 0.01)
        leader = await replica_group.wait_leader()
        replica = leader.replica
        gauges = Gauges()
        metrics = FollowerMetrics(metrics=gauges, replica=replica)
        await metrics.start()
        items = [
            CatalogItem(key=f"route/{revision}-{number}", revision=revision, value=None)
            for revision in range(1_000, 1_010)
            for number in range(600)
        ]
        replica.machine.catalog.apply(items, revision=1_010)
        await eventually(lambda: gauges.values.get("state.catalog.floor") == 1_007, "the floor")
        await metrics.stop()
        assert gauges.values["state.catalog.removed_items"] == 1_200
        assert gauges.values["state.catalog.items"] == len(replica.machine.catalog.whole_view())


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
