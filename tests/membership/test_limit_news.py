"""Wire encoding of rate limits: lossless, validated and small."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.codes import Code
from leadhollow.control.use_updates import LOCAL_DOMAIN_BYTES_PER_S, REMOTE_DOMAINS_BYTES_PER_S
from leadhollow.decide.limit_table import MAX_LIMITS, NEVER_S, LimitTable, ServerLimit
from leadhollow.decide.share_allocator import LEASE_S, EntryDemand, LimitedServer, ShareAllocator
from leadhollow.membership.limit_news import (
    decode_limits,
    decode_request,
    encode_limits,
    encode_request,
)
from leadhollow.wire.codec import Frame, encode_frame
from leadhollow.wire.generated.ttypes import (
    FeedUpdate,
    LimitLease,
    LimitNews,
    LimitRecord,
    LimitShare,
    ServiceRate,
    ShareRequest,
)
from leadhollow.wire.messages import FrameKind

NOW_S = 1_000.0
ENTRIES = 98
LIMITED = 60
ASKS_PER_S = 4
DAEMON_BYTES_PER_S = 4_000


class TestLimits:
    @given(
        st.floats(0, 1e6),
        st.integers(0, 60_000),
        st.one_of(st.none(), st.integers(0, 60_000)),
    )
    def test_survive_encoding_and_decoding(self, per_s, named_ms, lifted_ms):
        sent = ServerLimit(
            life="i-1@5",
            per_s=per_s,
            advertised_s=NOW_S - named_ms / 1000,
            lifted_s=NEVER_S if lifted_ms is None else NOW_S - lifted_ms / 1000,
        )
        news = LimitNews("", 0, encode_limits([sent], NOW_S), [])
        received = decode_limits(news, NOW_S + 7.0).unwrap()[0]
        assert (received.life, received.per_s) == (sent.life, sent.per_s)
        assert received.advertised_s - 7.0 == pytest.approx(sent.advertised_s, abs=1e-3)
        assert (received.in_force is None) == (sent.in_force is None)

    @pytest.mark.parametrize("per_s", [None, -1.0, math.nan, math.inf])
    def test_invalid_rates_are_refused(self, per_s):
        news = LimitNews("", 0, [LimitRecord("i-1@0", per_s, 0, -1)], [])
        assert decode_limits(news, NOW_S).unwrap_err().code is Code.FRAME_MALFORMED

    def test_missing_life_or_too_many_limits_are_refused(self):
        for records in (
            [LimitRecord("", 1.0, 0, -1)],
            [LimitRecord(f"i-{number}@0", 1.0, 0, -1) for number in range(MAX_LIMITS + 1)],
        ):
            decoded = decode_limits(LimitNews("", 0, records, []), NOW_S)
            assert decoded.unwrap_err().code is Code.FRAME_MALFORMED


class TestRequests:
    def test_survive_encoding_and_decoding(self):
        demand = EntryDemand(
            vm="entry-1", failure_domain="d", per_s={"s": 2.5, "t": 0.0}, heard_s=0.0
        )
        received = decode_request(encode_request(demand, asked_ms=5), NOW_S).unwrap()
        assert (received.vm, received.failure_domain, received.per_s) == (
            "entry-1",
            "d",
            demand.per_s,
        )
        assert received.heard_s == NOW_S

    @pytest.mark.parametrize(
        "request_",
        [
            ShareRequest("", "d", 0, []),
            ShareRequest("e", "d", 0, [ServiceRate("s", math.nan)]),
            ShareRequest("e", "d", 0, [ServiceRate("s", -1.0)]),
            ShareRequest("e", "d", 0, [ServiceRate("s", None)]),
        ],
    )
    def test_invalid_requests_are_refused(self, request_):
        assert decode_request(request_, NOW_S).unwrap_err().code is Code.FRAME_MALFORMED


class TestSize:
    def test_leases_of_many_limits_fit_into_the_bandwidth_to_an_entry(self):
        now_s = [NOW_S]
        ledger = ShareAllocator(clock=lambda: now_s[0], entries=lambda: ENTRIES)
        servers = [
            LimitedServer(
                life=f"i-{number:010x}@1771657612084",
                service="dispatch-model",
                failure_domain=f"d{number % 5}",
                per_s=1.3,
            )
            for number in range(LIMITED)
        ]
        leased: dict[str, dict[str, float]] = {}
        for _ in range(math.ceil(2 * LEASE_S * ASKS_PER_S)):
            now_s[0] += 1 / ASKS_PER_S
            for number in range(ENTRIES):
                demand = EntryDemand(
                    vm=f"front-hall-{number}",
                    failure_domain=f"d{number % 5}",
                    per_s={"dispatch-model": 25.0},
                    heard_s=now_s[0],
                )
                leased[demand.vm] = ledger.lease_shares(demand, servers)
        sizes = [self.lease_bytes(vm, shares) for vm, shares in leased.items()]
        remaining_bytes_per_s = (
            DAEMON_BYTES_PER_S - LOCAL_DOMAIN_BYTES_PER_S - REMOTE_DOMAINS_BYTES_PER_S
        )
        assert max(sizes) * ASKS_PER_S < remaining_bytes_per_s

    @staticmethod
    def lease_bytes(vm: str, shares: dict[str, float]) -> int:
        lease = LimitLease(
            vm, 86_400_000, [LimitShare(life, share) for life, share in shares.items()]
        )
        news = LimitNews("10.1.0.40:7380", LimitTable().checksum(), [], [])
        with_lease = FeedUpdate(limits=news, limit_lease=lease)
        frame = Frame(kind=FrameKind.ITEM, call_id=1, body=with_lease)
        return len(encode_frame(frame))
