"""Tests of what a stager reports to control about its engine besides the load."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.staging.engine_dialect import EngineReport
from leadhollow.staging.engine_monitor import EngineMonitor
from leadhollow.wire.generated.ttypes import LoadReport, ServerWords

ADDRESS = "10.0.0.1:80"


class FakeEngine:
    def __init__(self) -> None:
        self.leaving = False
        self.backoffs_cleared = 0
        self.answers = True
        self.sequence = 0
        self.born_ms = 7

    def clear_backoff(self) -> None:
        self.backoffs_cleared += 1

    async def report(self):
        if not self.answers:
            return Err(Failure(code=Code.PEER_ABSENT, detail="refused"))
        return Ok(
            EngineReport(
                served=(),
                busy=False,
                sequence=self.sequence,
                active=0,
                queued=0,
                memory_used_tokens=0,
                memory_tokens=1,
                pace=1.0,
                born_ms=self.born_ms,
                leaving=self.leaving,
            )
        )


class RecordingPeers:
    def __init__(self) -> None:
        self.sent: list[object] = []

    async def connection(self, address: str):
        return Ok(self)

    def oneway(self, body: object) -> None:
        self.sent.append(body)


class FakeFeed:
    source = "control"

    def __init__(self) -> None:
        self.table = InstanceTable(forget_after_s=60.0)


class Bench:
    def __init__(self) -> None:
        self.engine, self.peers, self.feed = FakeEngine(), RecordingPeers(), FakeFeed()
        self.monitor = EngineMonitor(
            address=ADDRESS,
            engine=self.engine,
            feed=self.feed,
            peers=self.peers,
            path_delay_s=lambda: 0.0,
            report_interval_s=lambda: 1.0,
        )

    def list_engine(self, born_ms: int) -> None:
        instance = Instance(
            instance="i-1",
            service="s",
            address=ADDRESS,
            failure_domain="d",
            sequence=1,
            state=InstanceState.READY,
            slots=1,
            served=(),
            heard_s=asyncio.get_running_loop().time(),
            born_ms=born_ms,
        )
        self.feed.table.merge(instance)

    async def publish_types(self) -> list[type]:
        self.peers.sent.clear()
        await self.monitor.refresh()
        await self.monitor.publish()
        return [type(body) for body in self.peers.sent]


class TestLeavingEngine:
    # Guards against: nobody learns that an engine leaves if it gets no requests.
    async def test_is_reported_as_leaving_by_its_life(self):
        bench = Bench()
        bench.list_engine(born_ms=7)
        assert await bench.publish_types() == [LoadReport]
        bench.engine.leaving = True
        assert await bench.publish_types() == [LoadReport, ServerWords]
        [leaving_report] = bench.peers.sent[1].words
        assert (leaving_report.life, leaving_report.leaving) == ("i-1@7", True)

    async def test_is_not_reported_under_another_life(self):
        bench = Bench()
        bench.list_engine(born_ms=6)
        bench.engine.leaving = True
        assert await bench.publish_types() == [LoadReport]


class TestRestartedEngine:
    async def test_clears_the_back_off_for_each_new_life(self):
        bench = Bench()
        for born_ms in (7, 7, 8):
            bench.list_engine(born_ms=born_ms)
            await bench.publish_types()
        assert bench.engine.backoffs_cleared == 2


class TestLifeNumber:
    @staticmethod
    def be_silent(bench: Bench) -> None:
        bench.engine.answers = False

    @staticmethod
    def forget_orders(bench: Bench) -> None:
        bench.engine.sequence = 0

    @staticmethod
    def be_born_again(bench: Bench) -> None:
        bench.engine.born_ms += 1

    @staticmethod
    def be_listed_again(bench: Bench) -> None:
        bench.list_engine(born_ms=9)

    # Guards against: a restart is not noticed, and what was checked before counts after it.
    @pytest.mark.parametrize(
        "change", ["be_silent", "forget_orders", "be_born_again", "be_listed_again"]
    )
    async def test_changes_when_the_engine_may_have_restarted(self, change):
        bench = Bench()
        bench.engine.sequence = 3
        await bench.monitor.refresh()
        before = bench.monitor.life_number
        getattr(self, change)(bench)
        await bench.monitor.refresh()
        bench.engine.answers = True
        await bench.monitor.refresh()
        assert bench.monitor.life_number > before

    async def test_stays_while_the_engine_accepts_orders(self):
        bench = Bench()
        await bench.monitor.refresh()
        before = bench.monitor.life_number
        bench.engine.sequence += 1
        await bench.monitor.refresh()
        assert bench.monitor.life_number == before
