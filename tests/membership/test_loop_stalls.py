"""A stall of the event loop must not make replicas or failure domains appear lost."""

from __future__ import annotations

import asyncio
import time

import pytest
from result import Ok

from leadhollow.kernel import active_time
from leadhollow.membership import summaries
from leadhollow.membership.replica_selector import ReplicaSelector
from leadhollow.membership.summaries import Summaries
from leadhollow.settings.address import Address
from leadhollow.settings.node import NodeRole, NodeSettings
from leadhollow.wire.generated.ttypes import DomainSummary, FeedProbe, FeedProbeReply
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.other_loop import LOOPS, OtherLoop, hold_up, run_on
from tests.support import TOKEN

STALL_S = 1.5


class TestReplicaSelector:
    # Guards against: no control replica is found although its answer is unread in the socket.
    @pytest.mark.parametrize("loop_name", LOOPS)
    def test_accepts_answers_that_arrived_during_a_stall(self, loop_name):
        async def answer(request, connection):
            await asyncio.sleep(0.1)
            return Ok(FeedProbeReply(0, 1, []))

        handlers = HandlerTable()
        handlers.on_call(FeedProbe, answer)
        server = WireServer(
            address=Address(host="127.0.0.1", port=0), token=TOKEN, handlers=handlers
        )

        async def work(address: str) -> None:
            settings = NodeSettings(
                vm="a",
                region="r",
                failure_domain="d",
                role=NodeRole.ENTRY,
                host="127.0.0.1",
                ports=(1, 10),
                seeds=(address,),
                callers="127.0.0.1:2",
                readiness="127.0.0.1:3",
            )
            peers = PeerPool(vm="a", failure_domain="d", token=TOKEN, handlers=HandlerTable())
            selector = ReplicaSelector(settings=settings, peers=peers, had_view=lambda: True)
            selector.update_replicas([f"{address} d"])
            assert (await peers.connection(address)).is_ok()
            pending = asyncio.create_task(selector.choose())
            await hold_up(STALL_S)
            assert await pending == address
            await peers.stop()

        with OtherLoop() as elsewhere:
            assert elsewhere.run(server.start()).is_ok()
            run_on(loop_name, lambda: work(str(server.address)))
            elsewhere.run(server.stop())


class TestSummaries:
    # Guards against: a failure domain counts as silent while its summary is unread in the socket.
    async def test_stay_valid_during_a_stall_and_then_expire(self, monkeypatch):
        monkeypatch.setattr(summaries, "VALID_S", 0.8)
        monkeypatch.setattr(summaries, "CHECK_S", 0.02)
        received = Summaries(handlers=HandlerTable())
        await received.start()
        active_time.clock()
        await received._on_summary(DomainSummary("d", 1, [], 1, "s", 0, False), None)
        time.sleep(STALL_S)
        await asyncio.sleep(0.1)
        after_stall = [summary.failure_domain for summary in received.fresh()]
        await asyncio.sleep(1.0)
        later = [summary.failure_domain for summary in received.fresh()]
        await received.stop()
        assert (after_stall, later) == (["d"], [])
