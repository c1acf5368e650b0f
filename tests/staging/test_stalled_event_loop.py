"""A stager that was held up takes nobody for slow."""

from __future__ import annotations

import asyncio
import time

from leadhollow.kernel import active_time
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.staging.link_monitor import SLOW_PROBE_S, LinkMonitor
from leadhollow.staging.piece_source import PieceSource
from tests.other_loop import OtherLoop, hold_up
from tests.staging.test_exchange import PIECE_BYTES, PIECES, Node
from tests.staging.test_parts import FollowedFeed, SlowPeers
from tests.support import eventually

HOLD_S = 2.5  # above what a slice may take, and what a piece may


async def holder(address: str) -> Node:
    """Give a stager that holds all pieces."""
    node = Node(address, bytes_per_s=12 * PIECE_BYTES)
    await node.start()
    node.hold(*range(8))
    return node


class TestHeldUpFetch:
    # Guards against: holders of pieces are left alone, and the origin asked, for our own delay.
    async def test_avoids_no_source(self, monkeypatch):
        avoided: list[str] = []
        monkeypatch.setattr(
            PieceSource, "avoid", lambda self, now_s: avoided.append(self.stager.address)
        )
        take = LoopbackAddresses()
        empty = Node(take("empty", Listener.WIRE), bytes_per_s=12 * PIECE_BYTES)
        with OtherLoop() as elsewhere:
            one, two = (elsewhere.run(holder(take(name, Listener.WIRE))) for name in "ab")
            fetching = asyncio.create_task(empty.fetch(one, two).run())
            await eventually(lambda: one.pieces.bytes_sent > 0)
            await hold_up(HOLD_S)
            await fetching
            await empty.peers.stop()
            for node in (one, two):
                await asyncio.to_thread(elsewhere.run, node.stop())
        assert [empty.staged().piece(index) for index in range(8)] == PIECES
        assert avoided == []
        assert empty.origin.asked == []


class TestHeldUpGauge:
    # Guards against: a link counts as slow, and carries less, since we were held up.
    async def test_takes_its_link_for_no_slower(self):
        peers = SlowPeers()
        gauge = LinkMonitor(feed=FollowedFeed(), peers=peers, vm="v")
        active_time.clock()
        await gauge.start()
        await asyncio.wait_for(peers.asked.wait(), 2)
        time.sleep(SLOW_PROBE_S + 1.0)
        delay_s = gauge.delay_s()
        await gauge.stop()
        assert delay_s < SLOW_PROBE_S
