"""Limits of cold servers at one entry: when they apply, with which leases, and when they end."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

import pytest

from leadhollow.decide.cold_servers import COLD_UNLEASED_SHARE, ColdServers
from leadhollow.decide.server_load import OwnCall
from leadhollow.forward.dialect import ResponseMetadata
from leadhollow.forward.rate_limit_tracker import RateLimitTracker
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.kernel import clocks
from leadhollow.membership.entry_count import ASSUMED_ENTRIES
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.routing.model import ServiceRecord
from leadhollow.settings.node import Bounds
from leadhollow.wire.generated.ttypes import LimitLease, LimitShare
from tests.forward.test_rate_limit_tracker import Demand, Feed
from tests.support import eventually

PACED = ServiceRecord(name="s", cold_start_s=3.0, cold_requests_per_s=18.0)
UNPACED = ServiceRecord(name="s")


class Entry:
    """A tracker, a directory and the cold servers, as an entry has them."""

    def __init__(self, service: ServiceRecord = PACED) -> None:
        clock = asyncio.get_running_loop().time
        self.table = InstanceTable(
            forget_after_s=60.0, tells_cold=lambda name: service.cold_requests_per_s > 0
        )
        self.cold = ColdServers(
            instances=self.table, service=lambda name: service, bounds=Bounds(), clock=clock
        )
        self.directory = ServerDirectory(table=self.table, clock=clock)
        self.feed = Feed()
        self.tracker = RateLimitTracker(
            vm="entry",
            failure_domain="d",
            directory=self.directory,
            feed=self.feed,
            peers=None,
            demand=Demand(),
            seed=1,
            cold_servers=self.cold,
        )

    def announce(self, sequence: int = 1, *, cold_s: float, born_ms: int = 1) -> None:
        now_s = asyncio.get_running_loop().time()
        self.table.merge(
            Instance(
                instance="i-1",
                service="s",
                address="10.0.0.1:80",
                failure_domain="d",
                sequence=sequence,
                state=InstanceState.READY,
                slots=8,
                served=(),
                heard_s=now_s,
                cold_until_s=now_s + cold_s,
                born_ms=born_ms,
            )
        )

    @property
    def server(self):
        return self.directory.servers("s")[0]

    def respond(self, **fields: object) -> None:
        metadata = ResponseMetadata(attempt_id=None, signed=True, not_executed=False, **fields)
        self.tracker.record_response(self.server, metadata, sent_s=None)

    def lease(self, shares: dict[str, float]) -> None:
        records = [LimitShare(life, share) for life, share in shares.items()]
        self.feed.lease(LimitLease("entry", int(clocks.elapsed_s() * 1000), records))


def with_entry(work: Callable[[Entry], Awaitable[None]], service: ServiceRecord = PACED) -> None:
    async def run() -> None:
        await work(Entry(service))

    asyncio.run(run())


class TestLimit:
    # Guards against: requests are placed at a new server before its limit applies.
    def test_applies_before_a_new_server_is_offered_to_requests(self):
        async def work(entry: Entry) -> None:
            seen = []
            entry.directory.on_change(
                lambda: seen.append([found.send_limiter for found in entry.directory.servers("s")])
            )
            entry.announce(cold_s=2.0)
            assert seen
            assert all(limiter is not None for found in seen for limiter in found)
            assert entry.server.send_limiter.per_s == 18.0
            assert entry.tracker.needs_refresh()

        with_entry(work)

    # Guards against: a request placed before the server became cold is sent without a token.
    def test_applies_to_requests_that_are_placed_but_not_sent(self):
        async def work(entry: Entry) -> None:
            entry.announce(cold_s=0.0)
            call = OwnCall(prompt_tokens=1, output_tokens=1, placed_s=0.0, predicted_ms=1.0)
            entry.server.add_call(call)
            entry.announce(2, cold_s=2.0)
            assert entry.server.claim_send(call) is not None

        with_entry(work)

    def test_ends_when_the_server_is_warm(self):
        async def work(entry: Entry) -> None:
            entry.announce(cold_s=0.3)

            async def unlimited() -> bool:
                return entry.server.send_limiter is None

            await eventually(unlimited, "the end of the cold time")
            assert not entry.tracker.needs_refresh()

        with_entry(work)

    def test_follows_later_announcements(self):
        async def work(entry: Entry) -> None:
            entry.announce(1, cold_s=3.0)
            entry.announce(2, cold_s=0.0)
            assert entry.server.send_limiter is None
            entry.announce(3, cold_s=3.0)
            assert entry.server.send_limiter is not None
            entry.announce(1, cold_s=0.0, born_ms=2)
            assert entry.server.send_limiter is None

        with_entry(work)

    # Guards against: each entry tries a server once that may have come back cold.
    def test_applies_after_a_connection_failed(self):
        async def work(entry: Entry) -> None:
            entry.announce(cold_s=0.0)
            entry.tracker.record_unreachable(entry.server)
            assert entry.server.send_limiter.per_s == 18.0

        with_entry(work)

    # Guards against: an entry that knows few of the others sends as if it were nearly alone.
    def test_counts_more_entries_while_replicas_may_not_know_all(self):
        async def work(entry: Entry) -> None:
            entry.announce(cold_s=3.0)
            unleased_per_s = COLD_UNLEASED_SHARE * 18.0
            expected = unleased_per_s / ASSUMED_ENTRIES
            assert entry.server.send_limiter.rate_per_s() == pytest.approx(expected)
            entry.feed.cautious_entries = entry.feed.entries
            expected = unleased_per_s / entry.feed.entries
            assert entry.server.send_limiter.rate_per_s() == pytest.approx(expected)

        with_entry(work)


class TestLeases:
    def test_give_the_leased_share(self):
        async def work(entry: Entry) -> None:
            entry.announce(cold_s=3.0)
            entry.lease({"i-1@1": 0.25})
            assert entry.server.send_limiter.rate_per_s() == pytest.approx(4.5)
            entry.lease({"i-1@1": 0.0})
            assert entry.server.send_limiter.rate_per_s() == 0.0

        with_entry(work)

    # Guards against: a server that only this entry takes as cold gets nothing at all from it.
    def test_that_do_not_name_a_cold_server_leave_the_unleased_share(self):
        async def work(entry: Entry) -> None:
            entry.announce(cold_s=0.0)
            entry.tracker.record_unreachable(entry.server)
            entry.lease({"i-2@1": 0.25})
            assert not entry.server.send_limiter.leased
            assert entry.server.send_limiter.rate_per_s() > 0

        with_entry(work)

    @pytest.mark.parametrize("share", [math.nan, math.inf, -1.0, 1.5])
    def test_of_an_invalid_share_allow_nothing(self, share):
        async def work(entry: Entry) -> None:
            entry.announce(cold_s=3.0)
            entry.lease({"i-1@1": share})
            assert entry.server.send_limiter.rate_per_s() == 0.0

        with_entry(work)


class TestResponses:
    def test_that_name_a_cold_time_apply_the_limit(self):
        async def work(entry: Entry) -> None:
            entry.announce(cold_s=0.0)
            entry.respond(cold_remaining_ms=2_000.0, instance="i-9")
            assert entry.server.send_limiter is None
            entry.respond(cold_remaining_ms=2_000.0, instance="i-1")
            assert entry.server.send_limiter.per_s == 18.0

        with_entry(work)

    def test_that_are_malformed_keep_what_was_known(self):
        async def work(entry: Entry) -> None:
            entry.announce(cold_s=3.0)
            entry.respond(cold_malformed=True)
            assert entry.server.send_limiter.per_s == 18.0
            assert entry.tracker.cold_malformed == 1

        with_entry(work)


class TestServicesWithoutARate:
    # Guards against: a deployment without a rate for cold servers is served otherwise than before.
    def test_have_no_limiter_and_ask_for_no_shares(self):
        async def work(entry: Entry) -> None:
            entry.announce(1, cold_s=3.0)
            entry.announce(2, cold_s=0.0)
            entry.announce(3, cold_s=3.0)
            entry.tracker.record_unreachable(entry.server)
            entry.respond(cold_remaining_ms=2_000.0)
            assert entry.server.send_limiter is None
            assert not entry.tracker.needs_refresh()
            assert not entry.tracker._wake.is_set()

        with_entry(work, UNPACED)
