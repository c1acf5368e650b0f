"""Load reports and announcements at the registry of one control replica."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.control.registry import LOAD_VALID_S, Registry, ReportedLoad, load_valid_s
from leadhollow.control.replica_directory import ReplicaDirectory
from leadhollow.membership.instances import InstanceState
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.membership.reporting import (
    MAX_REPORTS_PER_S,
    MIN_REPORT_INTERVAL_S,
    VALID_INTERVALS,
    report_interval_s,
)
from leadhollow.wire.generated.ttypes import (
    LoadRecord,
    ServedModel,
)
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from tests.control.test_feed_server import make_instance
from tests.support import TOKEN


def make_load(previous: ReportedLoad | None = None, **changes: object) -> ReportedLoad:
    values: dict[str, object] = {
        "address": "10.0.0.1:80",
        "active": 1,
        "models": [ServedModel("m", 1, 0, 16)],
        "switching": False,
        "staged_version": 0,
        "staged_pieces": 0,
    }
    return ReportedLoad(
        record=LoadRecord(**(values | changes)),
        reported_s=0.0,
        reported_here=True,
        previous=previous,
    )


class TestReportedLoad:
    def test_first_report_counts_as_changed_weights(self):
        assert make_load().weights_changed

    @pytest.mark.parametrize("changes", [{"active": 7}, {"queued": 3}, {"pace_permille": 4_000}])
    def test_changed_requests_are_not_changed_weights(self, changes):
        assert not make_load(make_load(), **changes).weights_changed

    @pytest.mark.parametrize(
        "changes",
        [
            {"switching": True},
            {"staged_version": 2, "staged_pieces": 96},
            {"models": [ServedModel("m", 2, 0, 16)]},
            {"models": []},
        ],
    )
    def test_changed_weights_are_detected(self, changes):
        assert make_load(make_load(), **changes).weights_changed


class TestReportInterval:
    def test_interval_is_shortest_in_a_small_domain(self):
        assert report_interval_s(10) == MIN_REPORT_INTERVAL_S

    @pytest.mark.parametrize("engines", [20, 53, 93, 650])
    def test_interval_bounds_the_total_report_rate(self, engines):
        assert engines / report_interval_s(engines) <= MAX_REPORTS_PER_S


class TestReportsOfManyEngines:
    @pytest.mark.parametrize("engines", [1, 53, 133, 200, 401, 650])
    def test_reports_are_kept_as_long_as_entries_use_them(self, engines):
        assert load_valid_s(engines) >= VALID_INTERVALS * report_interval_s(engines)
        assert load_valid_s(engines) >= LOAD_VALID_S


class TestRareHeartbeats:
    """Servers announce themselves every 6 s, five times less often than usual."""

    HEARTBEAT_S = 6.0

    async def test_announcement_is_relayed_until_the_next_one(self):
        registry = make_registry(heartbeat_s=self.HEARTBEAT_S)
        now_s = asyncio.get_running_loop().time()
        registry.announce(make_instance(heard_s=now_s - self.HEARTBEAT_S - 1))
        assert [found.instance for found in registry._local_instances()] == ["i-1"]


def make_registry(*, heartbeat_s: float) -> Registry:
    handlers = HandlerTable()
    return Registry(
        own_address="127.0.0.1:1",
        replicas=lambda: [],
        directory=ReplicaDirectory(clock=asyncio.get_running_loop().time),
        peers=PeerPool(vm="r", failure_domain="d", token=TOKEN, handlers=handlers),
        handlers=handlers,
        forget_after_s=60.0,
        heartbeat_s=heartbeat_s,
        naming_times=NamingTimes(clock=asyncio.get_running_loop().time),
        accepts_service=lambda name: name == "s",
    )


class TestUnknownServices:
    """Announcements of a service that the route table does not have."""

    async def test_unknown_service_does_not_take_over_an_address(self):
        registry = make_registry(heartbeat_s=1.2)
        now_s = asyncio.get_running_loop().time()
        registry.announce(make_instance(heard_s=now_s))
        registry.announce(make_instance("i-2", service="nobody", heard_s=now_s + 1))
        assert [found.instance for found in registry.table.instances()] == ["i-1"]

    async def test_known_server_of_an_unknown_service_can_drain(self):
        registry = make_registry(heartbeat_s=1.2)
        now_s = asyncio.get_running_loop().time()
        registry.announce(make_instance(heard_s=now_s))
        leaving = make_instance(service="renamed", heard_s=now_s + 1, sequence=2)
        leaving.state = InstanceState.DRAINING
        registry.announce(leaving)
        assert registry.table.get("i-1").state is InstanceState.DRAINING


class TestEarlierLives:
    async def test_late_report_of_an_earlier_life_is_ignored(self):
        registry = make_registry(heartbeat_s=1.2)
        registry._merge_load(make_load(active=0, born_ms=2_000).record, reported_here=True)
        await asyncio.sleep(0.01)
        assert (
            registry._merge_load(make_load(active=9, born_ms=1_000).record, reported_here=True)
            is None
        )
        assert registry.loads()[0].record.active == 0


class TestLeavingServers:
    # Guards against: a report that a server leaves is not relayed beyond the replica that got it.
    async def test_reported_leaving_server_is_relayed_like_an_announcement(self):
        registry = make_registry(heartbeat_s=1.2)
        registry.announce(make_instance(heard_s=asyncio.get_running_loop().time()))
        states: list[InstanceState] = []
        registry.on_change(lambda instances, _: states.extend(one.state for one in instances))
        for life in ("i-1@0", "i-9@0", "i-1@0"):
            registry.mark_leaving(life)
        assert states == [InstanceState.DRAINING]
        assert [one.state for one in registry._local_instances()] == [InstanceState.DRAINING]
