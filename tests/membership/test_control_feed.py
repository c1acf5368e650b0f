"""How often a process looks for control replicas that it cannot reach."""

from __future__ import annotations

import asyncio

from leadhollow.membership.control_feed import (
    LONGEST_FIRST_PAUSE_S,
    LONGEST_PAUSE_S,
    PAUSE_SPREAD,
    ControlFeed,
)
from leadhollow.membership.instances import InstanceTable
from leadhollow.settings.node import NodeRole, NodeSettings
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from tests.support import TOKEN

ATTEMPTS = range(20)


def a_feed(vm: str = "vm") -> ControlFeed:
    settings = NodeSettings(
        vm=vm,
        region="r",
        failure_domain="d",
        role=NodeRole.ENTRY,
        host="127.0.0.1",
        ports=(7_400, 7_409),
        seeds=("127.0.0.1:1",),
        first_start=False,
    )
    peers = PeerPool(vm=vm, failure_domain="d", token=TOKEN, handlers=HandlerTable())
    return ControlFeed(settings=settings, peers=peers, table=InstanceTable(forget_after_s=60.0))


class TestPauses:
    def test_of_a_process_that_knows_nothing_stay_short(self):
        async def work() -> None:
            feed = a_feed()
            assert max(feed.pause_s(failed) for failed in ATTEMPTS) <= LONGEST_FIRST_PAUSE_S

        asyncio.run(work())

    def test_of_one_that_can_serve_grow_to_the_longest(self):
        async def work() -> None:
            feed = a_feed()
            feed.ready.set()
            pauses_s = [feed.pause_s(failed) for failed in ATTEMPTS]
            assert pauses_s[0] < pauses_s[3]
            assert (1 - PAUSE_SPREAD) * LONGEST_PAUSE_S <= max(pauses_s) <= LONGEST_PAUSE_S

        asyncio.run(work())

    def test_differ_between_processes(self):
        async def work() -> None:
            first = [a_feed("one").pause_s(failed) for failed in ATTEMPTS]
            second = [a_feed("two").pause_s(failed) for failed in ATTEMPTS]
            assert first != second

        asyncio.run(work())
