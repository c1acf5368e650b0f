"""Tests that a stall of a stager's own event loop does not make others appear slow."""

from __future__ import annotations

import asyncio
import time

from leadhollow.kernel import active_time
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.staging.link_monitor import SLOW_PROBE_S, LinkMonitor
from leadhollow.staging.piece_source import PieceSource
from tests.other_loop import OtherLoop, hold_up
from tests.staging.test_piece_exchange import PIECE_BYTES, PIECES, Node
from tests.staging.test_staging_units import FollowedFeed, UnresponsivePeers
from tests.support import eventually

STALL_S = 2.5  # longer than the limits for a slice and for a piece


async def start_holder(address: str) -> Node:
    """Start a stager that holds all pieces."""
    node = Node(address, bytes_per_s=12 * PIECE_BYTES)
    await node.start()
    node.add_pieces(*range(8))
    return node


class TestStalledFetch:
    # Guards against: after a stall the stager avoids holders of pieces and reads from the origin.
    async def test_avoids_no_source_after_a_stall_of_its_own_loop(self, monkeypatch):
        avoided: list[str] = []
        monkeypatch.setattr(
            PieceSource, "avoid", lambda self, now_s: avoided.append(self.stager.address)
        )
        take = LoopbackAddresses()
        receiver = Node(take("empty", Listener.WIRE), bytes_per_s=12 * PIECE_BYTES)
        with OtherLoop() as other_loop:
            first, second = (
                other_loop.run(start_holder(take(name, Listener.WIRE))) for name in "ab"
            )
            fetch_task = asyncio.create_task(receiver.fetch(first, second).run())
            await eventually(lambda: first.pieces.bytes_sent > 0)
            await hold_up(STALL_S)
            await fetch_task
            await receiver.peers.stop()
            for node in (first, second):
                await asyncio.to_thread(other_loop.run, node.stop())
        assert [receiver.staged().piece(index) for index in range(8)] == PIECES
        assert avoided == []
        assert receiver.origin.asked == []


class TestStalledLinkMonitor:
    # Guards against: after a stall the link counts as slow and its share is reduced.
    async def test_does_not_count_a_stall_as_link_delay(self):
        peers = UnresponsivePeers()
        monitor = LinkMonitor(feed=FollowedFeed(), peers=peers, vm="v")
        active_time.clock()
        await monitor.start()
        await asyncio.wait_for(peers.asked.wait(), 2)
        time.sleep(SLOW_PROBE_S + 1.0)
        delay_s = monitor.delay_s()
        await monitor.stop()
        assert delay_s < SLOW_PROBE_S
