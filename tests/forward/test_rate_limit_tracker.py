"""Rate limits at one entry: which responses and leases count, and the rate that results."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import pytest

from leadhollow.decide.send_limiter import UNLEASED_SHARE
from leadhollow.decide.share_allocator import LEASE_S
from leadhollow.forward.dialect import ResponseMetadata
from leadhollow.forward.rate_limit_tracker import EXPIRY_S, RateLimitTracker
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.kernel import clocks
from leadhollow.membership.entry_count import ASSUMED_ENTRIES
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.wire.generated.ttypes import LimitLease, LimitNews, LimitRecord, LimitShare


class Feed:
    """Control feed that the test drives."""

    source = ""
    entries = 4
    cautious_entries = ASSUMED_ENTRIES

    def on_limits(self, listener: Callable) -> None:
        self.update = listener

    def on_limit_lease(self, listener: Callable) -> None:
        self.lease = listener


class Demand:
    def demand_per_s(self, service: str) -> float:
        return 10.0


class Entry:
    """A rate limit tracker with a directory of one server."""

    def __init__(self) -> None:
        self.table = InstanceTable(forget_after_s=60.0)
        self.directory = ServerDirectory(table=self.table, clock=asyncio.get_running_loop().time)
        self.feed = Feed()
        self.tracker = RateLimitTracker(
            vm="entry",
            failure_domain="d",
            directory=self.directory,
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
        return self.directory.servers("s")[0]

    def respond(self, *, sent_s: float | None = None, **fields: object) -> None:
        metadata = ResponseMetadata(attempt_id=None, signed=True, not_executed=False, **fields)
        self.tracker.record_response(self.server, metadata, sent_s=sent_s)

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


class TestResponses:
    def test_that_state_a_limit_apply_it(self):
        def work(entry: Entry) -> None:
            entry.respond(limit_per_s=2.0, instance="i-1")
            assert entry.server.send_limiter.per_s == 2.0
            entry.respond(limit_per_s=3.0)
            assert entry.server.send_limiter.per_s == 3.0

        with_entry(work)

    def test_of_another_instance_are_ignored(self):
        def work(entry: Entry) -> None:
            entry.respond(limit_per_s=2.0, instance="i-9")
            assert entry.server.send_limiter is None

        with_entry(work)

    def test_without_a_limit_remove_it_if_they_are_newer(self):
        def work(entry: Entry) -> None:
            before_s = clocks.elapsed_s()
            entry.respond(limit_per_s=2.0)
            entry.respond(sent_s=before_s)
            entry.respond(sent_s=None)
            assert entry.server.send_limiter is not None
            entry.respond(sent_s=clocks.elapsed_s() + 0.01)
            assert entry.server.send_limiter is None

        with_entry(work)

    def test_with_a_malformed_limit_keep_the_previous_one(self):
        def work(entry: Entry) -> None:
            entry.respond(limit_per_s=2.0)
            entry.respond(limit_malformed=True, sent_s=clocks.elapsed_s() + 0.01)
            assert entry.server.send_limiter.per_s == 2.0
            assert entry.tracker.malformed == 1

        with_entry(work)

    def test_of_a_former_life_do_not_limit_the_next_one(self):
        def work(entry: Entry) -> None:
            entry.respond(limit_per_s=2.0)
            entry.announce("i-1", sequence=1, born_ms=7)
            assert entry.server.instance.born_ms == 7
            assert entry.server.send_limiter is None

        with_entry(work)


class TestUpdates:
    def test_apply_to_a_server_that_is_found_later(self):
        def work(entry: Entry) -> None:
            update = LimitNews("one", 0, [LimitRecord("i-2@0", 2.0, 0, -1)], [])
            entry.feed.update(update, False)
            entry.announce("i-2", sequence=1)
            assert entry.server.send_limiter.per_s == 2.0

        with_entry(work)

    def test_that_are_malformed_are_ignored(self):
        def work(entry: Entry) -> None:
            entry.feed.update(
                LimitNews("one", 0, [LimitRecord("i-1@0", math.nan, 0, -1)], []), False
            )
            assert entry.server.send_limiter is None

        with_entry(work)


class TestUnleasedShare:
    # Guards against: entries that start behind a replica that knows few of the others exceed a
    # limit together.
    def test_counts_more_entries_while_replicas_may_not_know_all(self):
        def work(entry: Entry) -> None:
            entry.respond(limit_per_s=10.0)
            unleased_per_s = UNLEASED_SHARE * 10.0
            assert entry.rate_per_s == pytest.approx(unleased_per_s / ASSUMED_ENTRIES)
            entry.feed.cautious_entries = entry.feed.entries
            assert entry.rate_per_s == pytest.approx(unleased_per_s / entry.feed.entries)

        with_entry(work)


class TestLeases:
    def test_are_valid_from_when_they_were_requested(self):
        def work(entry: Entry) -> None:
            entry.respond(limit_per_s=10.0)
            entry.lease(0.5, asked_s=-LEASE_S - 0.1)
            assert not entry.server.send_limiter.leased
            entry.lease(0.5, asked_s=-0.1)
            assert entry.rate_per_s == pytest.approx(5.0)

        with_entry(work)

    @pytest.mark.parametrize("share", [math.nan, math.inf, -1.0, 1.5, None])
    def test_of_an_invalid_share_allow_nothing(self, share):
        def work(entry: Entry) -> None:
            entry.respond(limit_per_s=10.0)
            entry.lease(share)
            assert entry.rate_per_s == 0.0

        with_entry(work)

    def test_of_another_entry_are_ignored(self):
        def work(entry: Entry) -> None:
            entry.respond(limit_per_s=10.0)
            entry.lease(0.9, vm="other")
            assert not entry.server.send_limiter.leased

        with_entry(work)

    def test_from_the_future_last_no_longer_than_others(self, monkeypatch):
        def work(entry: Entry) -> None:
            entry.respond(limit_per_s=10.0)
            entry.lease(0.9, asked_s=3_600.0)
            later_s = clocks.elapsed_s() + LEASE_S + 0.1
            monkeypatch.setattr(clocks, "elapsed_s", lambda: later_s)
            entry.server.send_limiter._clock = lambda: later_s
            assert not entry.server.send_limiter.leased

        with_entry(work)


class TestLimitsOfGoneServers:
    def test_expire(self, monkeypatch):
        def work(entry: Entry) -> None:
            entry.respond(limit_per_s=2.0)
            entry.table.deregister("i-1")
            assert entry.tracker.needs_refresh()
            now_s = clocks.elapsed_s()
            entry.tracker._expire(now_s + EXPIRY_S / 2)
            assert entry.tracker.needs_refresh()
            entry.tracker._expire(now_s + EXPIRY_S + 1)
            assert not entry.tracker.needs_refresh()

        with_entry(work)
