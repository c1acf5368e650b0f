"""Tests which servers count as cold, and which limit follows from the rate of a service."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.decide.cold_servers import (
    MARGIN_S,
    SPARE_PER_HOLDER,
    ColdServers,
    cold_limit,
)
from leadhollow.decide.eligibility import FailureDomains
from leadhollow.decide.limit_table import LimitTable
from leadhollow.decide.rate_source import StrictestRate
from leadhollow.decide.send_limiter import PROBE_RATE_PER_S
from leadhollow.membership.instances import InstanceState
from leadhollow.routing.model import ServiceRecord
from leadhollow.settings.node import Bounds
from leadhollow.wire.generated.ttypes import LoadRecord
from tests.decide.cold_fleet import SERVICE, Instances, make_instance

PACED = ServiceRecord(name=SERVICE, cold_start_s=3.0, cold_requests_per_s=18.0)


class Known:
    """Cold servers with a clock and announcements that the test sets."""

    def __init__(self, service: ServiceRecord | None = PACED) -> None:
        self.now_s = 10.0
        self.table = Instances()
        self.cold = ColdServers(
            instances=self.table,
            service=lambda name: service if name == SERVICE else None,
            bounds=Bounds(),
            clock=lambda: self.now_s,
        )
        self.changes: list[str] = []
        self.cold.on_change(self.changes.append)

    def announce(self, *, cold_s: float, born_ms: int = 1):
        instance = make_instance(born_ms=born_ms, cold_until_s=self.now_s + cold_s)
        self.table.merge(instance)
        return instance

    def is_cold(self, life: str = "i-0@1") -> bool:
        return self.cold.rate_limit(life) is not None


class TestStatements:
    def test_make_a_server_cold_until_then(self):
        known = Known()
        known.announce(cold_s=2.0)
        assert known.is_cold()
        known.now_s += 1.9
        assert known.is_cold()
        assert known.cold.limited_lives() == ["i-0@1"]
        known.now_s += 0.1 + MARGIN_S
        assert not known.is_cold()
        assert not known.cold.limited_lives()

    # Guards against: servers that were there before any traffic are slowed for nothing.
    def test_of_no_cold_time_limit_nothing(self):
        known = Known()
        known.announce(cold_s=0.0)
        assert not known.is_cold()
        assert not known.changes

    def test_that_are_newer_extend_shorten_end_and_restart_it(self):
        known = Known()
        for cold_s in (2.0, 5.0, 1.0):
            known.announce(cold_s=cold_s)
            assert known.cold.until_s("i-0@1") == known.now_s + cold_s + MARGIN_S
        known.announce(cold_s=0.0)
        assert not known.is_cold()
        known.announce(cold_s=1.0)
        assert known.is_cold()
        assert len(known.changes) == 5

    def test_of_a_response_are_used_until_then(self):
        known = Known()
        instance = known.announce(cold_s=0.0)
        known.cold.record_statement(instance, 500.0)
        assert known.is_cold()
        known.now_s += 0.5 + MARGIN_S
        assert not known.is_cold()

    def test_of_a_server_that_is_gone_are_dropped(self):
        known = Known()
        gone = known.announce(cold_s=2.0)
        gone.state = InstanceState.GONE
        known.table.merge(gone)
        assert not known.is_cold()


class TestPresumption:
    def restore(self, known: Known, domain: str) -> None:
        domains = FailureDomains(regions={})
        domains.set_evacuated({domain})
        known.cold.watch(domains)
        domains.set_evacuated(())

    # Guards against: a burst at servers that became cold while their domain was evacuated.
    def test_begins_when_a_domain_is_restored(self):
        known = Known()
        known.announce(cold_s=0.0)
        self.restore(known, "b")
        assert not known.is_cold()
        self.restore(known, "a")
        assert known.is_cold()
        known.now_s += PACED.cold_start_s + MARGIN_S
        assert not known.is_cold()

    # Guards against: an announcement from before the restore that arrives late ends it.
    def test_is_not_ended_by_a_statement_of_the_same_life(self):
        known = Known()
        known.announce(cold_s=0.0)
        self.restore(known, "a")
        known.announce(cold_s=0.0)
        assert known.is_cold()
        known.announce(cold_s=0.0, born_ms=2)
        assert not known.is_cold("i-0@2")

    def test_begins_with_a_load_report_of_a_later_life(self):
        known = Known()
        known.announce(cold_s=0.0, born_ms=5)
        known.cold.record_load(LoadRecord(address="10.0.0.0:80", born_ms=5), 0.0)
        assert not known.is_cold("i-0@5")
        known.cold.record_load(LoadRecord(address="10.0.0.9:80", born_ms=6), 0.0)
        known.cold.record_load(LoadRecord(address="10.0.0.0:80", born_ms=6), 0.0)
        assert known.is_cold("i-0@5")


class TestServicesWithoutARate:
    @pytest.mark.parametrize("service", [None, ServiceRecord(name=SERVICE, cold_start_s=3.0)])
    def test_have_no_limits_and_notify_nobody(self, service):
        known = Known(service)
        instance = known.announce(cold_s=0.0)
        known.cold.presume_cold(instance)
        known.cold.record_statement(instance, 500.0)
        assert not known.is_cold()
        assert not known.changes
        known.announce(cold_s=2.0)
        assert not known.is_cold()
        assert not known.cold.limited_lives()


class TestLimit:
    def test_is_the_rate_where_the_bound_leaves_room_for_saved_tokens(self):
        assert cold_limit(18.0, Bounds()).per_s == 18.0
        assert cold_limit(1.0, Bounds()).per_s == 1.0

    def test_is_lower_where_the_bound_leaves_none(self):
        strict = Bounds(cold_overshoot=1.0, cold_slack=0.0)
        assert cold_limit(18.0, strict).per_s == 18.0 - SPARE_PER_HOLDER
        assert cold_limit(18.0, strict).max_holders == 1

    @given(
        st.floats(1e-9, 1e9),
        st.floats(0.5, 3.0),
        st.floats(0.0, 50.0),
    )
    def test_with_one_token_of_each_holder_stays_within_the_bound(self, rate_per_s, over, slack):
        bounds = Bounds(cold_overshoot=over, cold_slack=slack)
        limit = cold_limit(rate_per_s, bounds)
        assert limit.per_s <= max(rate_per_s, PROBE_RATE_PER_S)
        if limit.per_s > PROBE_RATE_PER_S:
            assert limit.per_s + limit.max_holders <= (over * rate_per_s + slack) * (1 + 1e-9)


class TestStrictestRate:
    def test_is_the_lower_limit_with_the_lower_unleased_rate(self):
        known, table = Known(), LimitTable()
        rates = StrictestRate([table, known.cold])
        known.announce(cold_s=2.0)
        table.record_limit("i-0@1", per_s=30.0, received_s=1.0)
        limit = rates.rate_limit("i-0@1")
        assert (limit.per_s, limit.source) == (18.0, "cold")
        assert limit.unleased_share * limit.per_s == pytest.approx(0.3 * 30.0)
        table.record_limit("i-0@1", per_s=2.0, received_s=2.0)
        assert (rates.rate_limit("i-0@1").per_s, rates.rate_limit("i-0@1").source) == (
            2.0,
            "response",
        )
        known.now_s += 5.0
        table.record_limit("i-0@1", per_s=30.0, received_s=3.0)
        assert rates.rate_limit("i-0@1").per_s == 30.0
        assert rates.limited_lives() == {"i-0@1"}
