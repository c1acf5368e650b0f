"""What a stager tells control of its engine beside its load."""

from __future__ import annotations

import asyncio

from result import Ok

from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.staging.engine_dialect import EngineReport
from leadhollow.staging.engine_monitor import EngineMonitor
from leadhollow.wire.generated.ttypes import LoadReport, ServerWords

ADDRESS = "10.0.0.1:80"


class Engine:
    def __init__(self) -> None:
        self.leaving = False
        self.rests_forgotten = 0

    def clear_backoff(self) -> None:
        self.rests_forgotten += 1

    async def report(self):
        return Ok(
            EngineReport(
                served=(),
                busy=False,
                sequence=0,
                active=0,
                queued=0,
                memory_used_tokens=0,
                memory_tokens=1,
                pace=1.0,
                born_ms=7,
                leaving=self.leaving,
            )
        )


class Peers:
    def __init__(self) -> None:
        self.sent: list[object] = []

    async def connection(self, address: str):
        return Ok(self)

    def oneway(self, body: object) -> None:
        self.sent.append(body)


class Feed:
    source = "control"

    def __init__(self) -> None:
        self.table = InstanceTable(forget_after_s=60.0)


class Bench:
    def __init__(self) -> None:
        self.engine, self.peers, self.feed = Engine(), Peers(), Feed()
        self.watch = EngineMonitor(
            address=ADDRESS,
            engine=self.engine,
            feed=self.feed,
            peers=self.peers,
            path_delay_s=lambda: 0.0,
            report_interval_s=lambda: 1.0,
        )

    def announce(self, born_ms: int) -> None:
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

    async def told(self) -> list[type]:
        self.peers.sent.clear()
        await self.watch.refresh()
        await self.watch.publish()
        return [type(body) for body in self.peers.sent]


class TestEngineThatLeaves:
    # Guards against: nobody hears that an engine leaves which gets no requests.
    async def test_is_told_of_by_its_name(self):
        bench = Bench()
        bench.announce(born_ms=7)
        assert await bench.told() == [LoadReport]
        bench.engine.leaving = True
        assert await bench.told() == [LoadReport, ServerWords]
        [word] = bench.peers.sent[1].words
        assert (word.life, word.leaving) == ("i-1@7", True)

    async def test_is_not_told_of_as_another_life(self):
        bench = Bench()
        bench.announce(born_ms=6)
        bench.engine.leaving = True
        assert await bench.told() == [LoadReport]


class TestLife:
    async def test_that_is_new_inherits_no_rest(self):
        bench = Bench()
        for born_ms in (7, 7, 8):
            bench.announce(born_ms=born_ms)
            await bench.told()
        assert bench.engine.rests_forgotten == 2
