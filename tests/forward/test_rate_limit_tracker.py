"""Limits at one entry: which answers and leases count, and what they hold it to."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import pytest

from leadhollow.decide.share_allocator import LEASE_S
from leadhollow.forward.dialect import ResponseMetadata
from leadhollow.forward.rate_limit_tracker import FORGET_S, RateLimitTracker
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.kernel import clocks
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.wire.generated.ttypes import LimitLease, LimitNews, LimitRecord, LimitShare


class Feed:
    """A feed that says what a test says."""

    source = ""
    entries = 4

    def on_limits(self, listener: Callable) -> None:
        self.tell = listener

    def on_limit_lease(self, listener: Callable) -> None:
        self.lease = listener


class Demand:
    def demand_per_s(self, service: str) -> float:
        return 10.0


class Entry:
    """A keeper with a board of one server."""

    def __init__(self) -> None:
        self.table = InstanceTable(forget_after_s=60.0)
        self.board = ServerDirectory(table=self.table, clock=asyncio.get_running_loop().time)
        self.feed = Feed()
        self.keeper = RateLimitTracker(
            vm="entry",
            failure_domain="d",
            directory=self.board,
            feed=self.feed,
            peers=None,
            demand=Demand(),
            seed=1,
        )
        self.announce("i-1", sequence=1)

    def announce(self, instance: str, *, sequence: int, born_ms: int = 0) -> None:
        self.table.merge(
            Instance(
                instance=instance,
                service="s",
                address="10.0.0.1:80",
                failure_domain="d",
                sequence=sequence,
                state=InstanceState.READY,
                slots=8,
                served=(),
                heard_s=asyncio.get_running_loop().time(),
                born_ms=born_ms,
            )
        )

    @property
    def server(self):
        return self.board.servers("s")[0]

    def answer(self, *, sent_s: float | None = None, **facts: object) -> None:
        said = ResponseMetadata(attempt_id=None, signed=True, not_executed=False, **facts)
        self.keeper.record_response(self.server, said, sent_s=sent_s)

    def lease(self, share: float | None, *, vm: str = "entry", asked_s: float = 0.0) -> None:
        asked_ms = int((clocks.elapsed_s() + asked_s) * 1000)
        shares = [LimitShare(self.server.instance.life, share)]
        self.feed.lease(LimitLease(vm, asked_ms, shares))

    @property
    def rate_per_s(self) -> float:
        assert self.server.send_limiter is not None
        return self.server.send_limiter.rate_per_s()


def with_entry(work: Callable[[Entry], None]) -> None:
    async def run() -> None:
        work(Entry())

    asyncio.run(run())


class TestAnswers:
    def test_that_name_a_limit_hold_the_server_to_it(self):
        def work(entry: Entry) -> None:
            entry.answer(limit_per_s=2.0, instance="i-1")
            assert entry.server.send_limiter.per_s == 2.0
            entry.answer(limit_per_s=3.0)
            assert entry.server.send_limiter.per_s == 3.0

        with_entry(work)

    def test_of_another_incarnation_say_nothing(self):
        def work(entry: Entry) -> None:
            entry.answer(limit_per_s=2.0, instance="i-9")
            assert entry.server.send_limiter is None

        with_entry(work)

    def test_without_a_limit_end_it_where_they_are_newer(self):
        def work(entry: Entry) -> None:
            before_s = clocks.elapsed_s()
            entry.answer(limit_per_s=2.0)
            entry.answer(sent_s=before_s)
            entry.answer(sent_s=None)
            assert entry.server.send_limiter is not None
            entry.answer(sent_s=clocks.elapsed_s() + 0.01)
            assert entry.server.send_limiter is None

        with_entry(work)

    def test_with_a_malformed_limit_leave_the_one_before(self):
        def work(entry: Entry) -> None:
            entry.answer(limit_per_s=2.0)
            entry.answer(limit_malformed=True, sent_s=clocks.elapsed_s() + 0.01)
            assert entry.server.send_limiter.per_s == 2.0
            assert entry.keeper.malformed == 1

        with_entry(work)

    def test_of_a_former_life_do_not_bind_the_next_one(self):
        def work(entry: Entry) -> None:
            entry.answer(limit_per_s=2.0)
            entry.announce("i-1", sequence=1, born_ms=7)
            assert entry.server.instance.born_ms == 7
            assert entry.server.send_limiter is None

        with_entry(work)


class TestNews:
    def test_hold_a_server_that_is_found_later(self):
        def work(entry: Entry) -> None:
            news = LimitNews("one", 0, [LimitRecord("i-2@0", 2.0, 0, -1)], [])
            entry.feed.tell(news, False)
            entry.announce("i-2", sequence=1)
            assert entry.server.send_limiter.per_s == 2.0

        with_entry(work)

    def test_that_are_malformed_change_nothing(self):
        def work(entry: Entry) -> None:
            entry.feed.tell(LimitNews("one", 0, [LimitRecord("i-1@0", math.nan, 0, -1)], []), False)
            assert entry.server.send_limiter is None

        with_entry(work)


class TestLeases:
    def test_count_from_when_they_were_asked_for(self):
        def work(entry: Entry) -> None:
            entry.answer(limit_per_s=10.0)
            entry.lease(0.5, asked_s=-LEASE_S - 0.1)
            assert not entry.server.send_limiter.leased
            entry.lease(0.5, asked_s=-0.1)
            assert entry.rate_per_s == pytest.approx(5.0)

        with_entry(work)

    @pytest.mark.parametrize("share", [math.nan, math.inf, -1.0, 1.5, None])
    def test_of_no_part_of_a_limit_are_worth_nothing(self, share):
        def work(entry: Entry) -> None:
            entry.answer(limit_per_s=10.0)
            entry.lease(share)
            assert entry.rate_per_s == 0.0

        with_entry(work)

    def test_of_another_entry_change_nothing(self):
        def work(entry: Entry) -> None:
            entry.answer(limit_per_s=10.0)
            entry.lease(0.9, vm="other")
            assert not entry.server.send_limiter.leased

        with_entry(work)

    def test_from_the_future_last_no_longer_than_others(self, monkeypatch):
        def work(entry: Entry) -> None:
            entry.answer(limit_per_s=10.0)
            entry.lease(0.9, asked_s=3_600.0)
            later_s = clocks.elapsed_s() + LEASE_S + 0.1
            monkeypatch.setattr(clocks, "elapsed_s", lambda: later_s)
            entry.server.send_limiter._clock = lambda: later_s
            assert not entry.server.send_limiter.leased

        with_entry(work)


class TestServersThatAreGone:
    def test_are_forgotten_after_a_while(self, monkeypatch):
        def work(entry: Entry) -> None:
            entry.answer(limit_per_s=2.0)
            entry.table.deregister("i-1")
            assert entry.keeper.needs_refresh()
            now_s = clocks.elapsed_s()
            entry.keeper._forget_old(now_s + FORGET_S / 2)
            assert entry.keeper.needs_refresh()
            entry.keeper._forget_old(now_s + FORGET_S + 1)
            assert not entry.keeper.needs_refresh()

        with_entry(work)
