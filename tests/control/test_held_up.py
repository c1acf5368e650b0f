"""A control replica whose event loop stalled does not treat others as silent."""

from __future__ import annotations

import asyncio
import socket
import time

from leadhollow.control.suspect_relay import SuspectRelay
from leadhollow.control.use_aggregator import VALID_S
from leadhollow.kernel import active_time
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from tests.control.test_registry import make_instance, make_load, make_registry
from tests.control.test_use_aggregator import FIRST, run_with_nodes, send_use_report, use
from tests.support import TOKEN, eventually

FORGET_AFTER_S = 1.0
STALL_S = 1.5


class TestStalledRegistry:
    # Guards against: servers are dropped, by subscribers too, while their heartbeats wait unread in
    # the socket.
    async def test_keeps_server_after_a_stall(self):
        registry = make_registry(heartbeat_s=0.3)
        registry.table.forget_after_s = FORGET_AFTER_S
        silent: list[str] = []
        registry.on_silence(silent.extend)
        active_time.clock()
        registry.announce(make_instance(heard_s=asyncio.get_running_loop().time()))
        time.sleep(STALL_S)
        registry._expire()
        assert registry.table.get("i-1") is not None
        assert silent == []

    async def test_drops_silent_server_without_a_stall(self):
        registry = make_registry(heartbeat_s=0.3)
        registry.table.forget_after_s = FORGET_AFTER_S
        registry.announce(make_instance(heard_s=asyncio.get_running_loop().time() - STALL_S))
        registry._expire()
        assert registry.table.get("i-1") is None

    # Guards against: a report is sent with too low an age because the replica stalled meanwhile.
    async def test_sent_age_includes_the_stall(self):
        registry = make_registry(heartbeat_s=0.3)
        active_time.clock()
        load = registry._merge_load(make_load(active=0).record, reported_here=True)
        time.sleep(STALL_S)
        assert load.to_record(asyncio.get_running_loop().time()).age_ms >= STALL_S * 1000


class TestStalledUseAggregator:
    # Guards against: engines look idle after a stall although entries keep reporting their use.
    def test_reports_stay_valid_after_a_stall(self):
        async def work(one, two) -> None:
            peers = await send_use_report(one, "entry-1", {FIRST: use(2)})
            await eventually(lambda: one.uses.total(FIRST) == use(2))
            changes: list[set[str]] = []
            one.uses.on_change(lambda engines, vm: changes.append(engines))
            time.sleep(VALID_S + 0.4)
            await one.uses._publish(whole=True)
            assert one.uses.total(FIRST) == use(2)
            assert changes == []
            await peers.stop()

        run_with_nodes(work)


class TestStalledSuspectRelay:
    # Guards against: a request is put in quarantine before reports that clear it are read.
    async def test_reads_pending_input_before_judging(self, monkeypatch):
        order: list[str] = []
        monkeypatch.setattr(SuspectRelay, "_judge", lambda self: order.append("judged"))
        handlers = HandlerTable()
        relay = SuspectRelay(
            own_address="127.0.0.1:1",
            replicas=lambda: [],
            peers=PeerPool(vm="r", failure_domain="d", token=TOKEN, handlers=handlers),
            handlers=handlers,
            folder=None,
        )
        own_end, peer_end = socket.socketpair()
        own_end.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=own_end)

        async def read_news() -> None:
            await reader.read(1)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            order.append("heard")

        reading = asyncio.create_task(read_news())
        await asyncio.sleep(0.02)
        peer_end.send(b"x")
        relay._schedule_judge()
        time.sleep(STALL_S)
        await eventually(lambda: len(order) == 2, "news and a judgement")
        assert order == ["heard", "judged"]
        await reading
        writer.close()
        peer_end.close()
