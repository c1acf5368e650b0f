"""A control replica that was held up takes nobody for silent."""

from __future__ import annotations

import asyncio
import socket
import time

from leadhollow.control.suspect_relay import SuspectRelay
from leadhollow.control.use_aggregator import VALID_S
from leadhollow.kernel import active_time
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from tests.control.test_engine_uses import FIRST, tell, use, with_nodes
from tests.control.test_registry import a_load, a_registry, an_instance
from tests.support import TOKEN, eventually

FORGET_AFTER_S = 1.0
HOLD_S = 1.5


class TestHeldUpRegistry:
    # Guards against: servers whose heartbeats lay in the socket are forgotten, by watchers too.
    async def test_forgets_no_server(self):
        registry = a_registry(heartbeat_s=0.3)
        registry.table.forget_after_s = FORGET_AFTER_S
        silent: list[str] = []
        registry.on_silence(silent.extend)
        active_time.clock()
        registry.announce(an_instance(heard_s=asyncio.get_running_loop().time()))
        time.sleep(HOLD_S)
        registry._expire()
        assert registry.table.get("i-1") is not None
        assert silent == []

    async def test_forgets_one_that_is_silent(self):
        registry = a_registry(heartbeat_s=0.3)
        registry.table.forget_after_s = FORGET_AFTER_S
        registry.announce(an_instance(heard_s=asyncio.get_running_loop().time() - HOLD_S))
        registry._expire()
        assert registry.table.get("i-1") is None

    # Guards against: a report is told as younger than it is, since its replica was held up.
    async def test_tells_true_ages(self):
        registry = a_registry(heartbeat_s=0.3)
        active_time.clock()
        load = registry._merge_load(a_load(active=0).record, own=True)
        time.sleep(HOLD_S)
        assert load.message(asyncio.get_running_loop().time()).age_ms >= HOLD_S * 1000


class TestHeldUpUses:
    # Guards against: engines seem empty after a hold, though entries go on telling what they have.
    def test_count_on(self):
        async def work(one, two) -> None:
            peers = await tell(one, "entry-1", {FIRST: use(2)})
            await eventually(lambda: one.uses.total(FIRST) == use(2))
            changes: list[set[str]] = []
            one.uses.on_change(lambda engines, vm: changes.append(engines))
            time.sleep(VALID_S + 0.4)
            await one.uses._publish(whole=True)
            assert one.uses.total(FIRST) == use(2)
            assert changes == []
            await peers.stop()

        with_nodes(work)


class TestHeldUpJudge:
    # Guards against: a request is convicted before news that speak for it are read.
    async def test_reads_what_arrived_before_it_judges(self, monkeypatch):
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
        ours, peer = socket.socketpair()
        ours.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=ours)

        async def take_news() -> None:
            await reader.read(1)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            order.append("heard")

        taking = asyncio.create_task(take_news())
        await asyncio.sleep(0.02)
        peer.send(b"x")
        relay._judge_later()
        time.sleep(HOLD_S)
        await eventually(lambda: len(order) == 2, "news and a judgement")
        assert order == ["heard", "judged"]
        await taking
        writer.close()
        peer.close()
