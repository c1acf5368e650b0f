"""Which reports of engines are news, and how often reports come."""

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
from tests.control.test_feed_server import an_instance
from tests.support import TOKEN


def a_load(previous: Load | None = None, **changes: object) -> Load:
    values: dict[str, object] = {
        "address": "10.0.0.1:80",
        "active": 1,
        "models": [ServedModel("m", 1, 0, 16)],
        "switching": False,
        "staged_version": 0,
        "staged_pieces": 0,
    }
    return ReportedLoad(
        record=LoadRecord(**(values | changes)), heard_s=0.0, own=True, previous=previous
    )


class TestLoad:
    def test_the_first_report_is_news(self):
        assert a_load().news

    @pytest.mark.parametrize("changes", [{"active": 7}, {"queued": 3}, {"pace_permille": 4_000}])
    def test_requests_that_come_and_go_are_none_to_stagers(self, changes):
        assert not a_load(a_load(), **changes).news

    @pytest.mark.parametrize(
        "changes",
        [
            {"switching": True},
            {"staged_version": 2, "staged_pieces": 96},
            {"models": [ServedModel("m", 2, 0, 16)]},
            {"models": []},
        ],
    )
    def test_what_concerns_its_weights_is(self, changes):
        assert a_load(a_load(), **changes).news


class TestReportInterval:
    def test_stays_short_in_a_small_domain(self):
        assert report_interval_s(10) == MIN_REPORT_INTERVAL_S

    @pytest.mark.parametrize("engines", [20, 53, 93, 650])
    def test_bounds_what_all_engines_say_together(self, engines):
        assert engines / report_interval_s(engines) <= MAX_REPORTS_PER_S


class TestReportsOfManyEngines:
    @pytest.mark.parametrize("engines", [1, 53, 133, 200, 401, 650])
    def test_are_kept_for_as_long_as_entries_go_by_them(self, engines):
        assert load_valid_s(engines) >= VALID_INTERVALS * report_interval_s(engines)
        assert load_valid_s(engines) >= LOAD_VALID_S


class TestRareHeartbeats:
    """A deployment whose servers announce themselves each 6 s, five times as rarely as usual."""

    BEAT_S = 6.0

    async def test_are_passed_on_from_one_to_the_next(self):
        registry = a_registry(heartbeat_s=self.BEAT_S)
        now_s = asyncio.get_running_loop().time()
        registry.announce(an_instance(heard_s=now_s - self.BEAT_S - 1))
        assert [found.instance for found in registry._local_instances()] == ["i-1"]


def a_registry(*, heartbeat_s: float) -> Registry:
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
    """Announcements of another writer: they name no server to use, and the others hold."""

    async def test_take_no_address_of_a_server_in_use(self):
        registry = a_registry(heartbeat_s=1.2)
        now_s = asyncio.get_running_loop().time()
        registry.announce(an_instance(heard_s=now_s))
        registry.announce(an_instance("i-2", service="nobody", heard_s=now_s + 1))
        assert [found.instance for found in registry.table.instances()] == ["i-1"]

    async def test_do_not_keep_a_known_server_from_leaving(self):
        registry = a_registry(heartbeat_s=1.2)
        now_s = asyncio.get_running_loop().time()
        registry.announce(an_instance(heard_s=now_s))
        leaving = an_instance(service="renamed", heard_s=now_s + 1, sequence=2)
        leaving.state = InstanceState.DRAINING
        registry.announce(leaving)
        assert registry.table.get("i-1").state is InstanceState.DRAINING


class TestFormerLives:
    async def test_late_reports_of_load_change_nothing(self):
        registry = a_registry(heartbeat_s=1.2)
        registry._merge_load(a_load(active=0, born_ms=2_000).record, own=True)
        await asyncio.sleep(0.01)
        assert registry._merge_load(a_load(active=9, born_ms=1_000).record, own=True) is None
        assert registry.loads()[0].record.active == 0


class TestLeavingServers:
    # Guards against: an entry's word that a server leaves ends at the replica that it follows.
    async def test_that_an_entry_tells_of_are_told_like_heartbeats(self):
        registry = a_registry(heartbeat_s=1.2)
        registry.announce(an_instance(heard_s=asyncio.get_running_loop().time()))
        told: list[InstanceState] = []
        registry.on_change(lambda instances, _: told.extend(one.state for one in instances))
        for life in ("i-1@0", "i-9@0", "i-1@0"):
            registry.mark_leaving(life)
        assert told == [InstanceState.DRAINING]
        assert [one.state for one in registry._local_instances()] == [InstanceState.DRAINING]
