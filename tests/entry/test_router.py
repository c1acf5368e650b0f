"""Tests of the router's choice of a backend server, and of the retry budget."""

from __future__ import annotations

from collections import Counter

from leadhollow.codes import Code
from leadhollow.entry.router import Router, RoutingRequest
from leadhollow.membership.summary import ENGINE_KIND, SERVICE_KIND
from leadhollow.membership.view import DomainView
from leadhollow.wire.generated.ttypes import (
    CapacityLine,
    DomainSummary,
    MemberView,
    ServingVersion,
    ViewUpdate,
)

REQUEST = RoutingRequest(kind=ENGINE_KIND, names=("new", "old"), affinity=b"")


def engine(name: str, root: str = "new", *, in_flight: int = 0, slots: int = 4, handle: int = 0):
    serving = [ServingVersion("m", "v", root)]
    return MemberView(
        name, 1, f"{name}:1", "d", ENGINE_KIND, "", slots, in_flight, False, serving, handle
    )


def router_of(*members: MemberView, summaries: tuple[DomainSummary, ...] = ()) -> Router:
    view = DomainView()
    view.apply(ViewUpdate(True, list(members), [], list(summaries), [], []))
    return Router(view=view, seed=1)


def remote_summary(member: MemberView) -> DomainSummary:
    line = CapacityLine(ENGINE_KIND, "m", "new", 4, 4, [member])
    return DomainSummary("far", 1, [line], 1, "far-1", 1, False)


def choose(router: Router, request: RoutingRequest = REQUEST, excluded=(), now_s: float = 0.0):
    reservation = router.choose(request, excluded=excluded, now_s=now_s)
    return None if reservation is None else reservation.member.server


class TestVersionOrder:
    def test_prefers_the_named_version_even_if_the_old_one_has_more_free_slots(self):
        router = router_of(engine("a", in_flight=3), engine("b", "old"))
        assert choose(router) == "a"

    def test_uses_the_previous_version_when_the_named_one_is_full(self):
        router = router_of(engine("a", in_flight=4), engine("b", "old"))
        assert choose(router) == "b"

    def test_never_uses_a_version_that_was_not_requested(self):
        assert choose(router_of(engine("a", "third"))) is None


class TestLoad:
    def test_counts_own_dispatches_before_they_are_reported(self):
        router = router_of(engine("a", slots=2))
        assert [choose(router) for _ in range(3)] == ["a", "a", None]

    def test_a_released_slot_can_be_reserved_again(self):
        router = router_of(engine("a", slots=1))
        reservation = router.choose(REQUEST, excluded=(), now_s=0.0)
        assert choose(router) is None
        router.release(reservation)
        assert choose(router) == "a"

    def test_spreads_requests_evenly(self):
        router = router_of(*(engine(name, slots=100) for name in "abcd"))
        counts = Counter(choose(router) for _ in range(200))
        assert max(counts.values()) - min(counts.values()) <= 20

    def test_a_delayed_report_of_own_requests_leaves_no_slot_idle(self):
        view = DomainView()
        view.apply(ViewUpdate(True, [engine("a", slots=4, handle=1)], [], [], [], []))
        router = Router(view=view, seed=1)
        reservations = [router.choose(REQUEST, excluded=(), now_s=0.0) for _ in range(4)]
        view.apply(ViewUpdate(False, [], [], [], [1], [4]))
        for reservation in reservations[:3]:
            router.release(reservation)
        assert [choose(router) for _ in range(4)] == ["a", "a", "a", None]

    def test_requests_of_other_entries_occupy_slots(self):
        view = DomainView()
        view.apply(ViewUpdate(True, [engine("a", slots=4, handle=1)], [], [], [], []))
        router = Router(view=view, seed=1)
        router.choose(REQUEST, excluded=(), now_s=0.0)
        view.apply(ViewUpdate(False, [], [], [], [1], [3]))
        assert [choose(router) for _ in range(2)] == ["a", None]

    def test_a_full_server_is_paused_briefly(self):
        router = router_of(engine("a"))
        router.record_refusal("a", Code.SLOTS_FULL, now_s=10.0)
        assert choose(router, now_s=10.005) is None
        assert choose(router, now_s=10.05) == "a"

    def test_repeated_refusals_by_a_full_server_double_its_pause_until_a_success(self):
        router = router_of(engine("a"))
        for _ in range(4):
            router.record_refusal("a", Code.SLOTS_FULL, now_s=10.0)
        assert choose(router, now_s=10.07) is None
        assert choose(router, now_s=10.09) == "a"
        router.record_success("a")
        router.record_refusal("a", Code.SLOTS_FULL, now_s=11.0)
        assert choose(router, now_s=11.02) == "a"

    def test_a_server_that_refused_for_stale_data_is_paused(self):
        router = router_of(engine("a"))
        router.record_refusal("a", Code.BACKEND_REFUSED, now_s=10.0)
        assert choose(router, now_s=10.05) is None
        assert choose(router, now_s=10.15) == "a"

    def test_applies_load_reports_by_handle(self):
        view = DomainView()
        members = [engine("a", handle=1), engine("b", handle=2)]
        view.apply(ViewUpdate(True, members, [], [], [], []))
        view.apply(ViewUpdate(False, [], [], [], [1], [4]))
        router = Router(view=view, seed=1)
        assert [choose(router) for _ in range(3)] == ["b"] * 3


class TestAffinity:
    def test_sends_a_prefix_to_one_engine_while_its_load_is_low(self):
        router = router_of(*(engine(name, slots=1_000) for name in "abcd"))
        request = RoutingRequest(kind=ENGINE_KIND, names=("new",), affinity=b"prefix")
        chosen = []
        for _ in range(20):
            reservation = router.choose(request, excluded=(), now_s=0.0)
            chosen.append(reservation.member.server)
            router.release(reservation)
        assert len(set(chosen)) == 1

    def test_a_frequent_prefix_spills_over_to_other_engines(self):
        router = router_of(*(engine(name, slots=1_000) for name in "abcd"))
        request = RoutingRequest(kind=ENGINE_KIND, names=("new",), affinity=b"prefix")
        counts = Counter(choose(router, request) for _ in range(400))
        assert max(counts.values()) <= 400 / 4 * 1.5


class TestOtherDomains:
    def test_are_used_when_the_own_domain_is_full(self):
        far = remote_summary(engine("far"))
        assert choose(router_of(engine("a", in_flight=4), summaries=(far,))) == "far"

    def test_are_not_used_while_the_own_domain_has_free_slots(self):
        far = remote_summary(engine("far"))
        assert choose(router_of(engine("a"), summaries=(far,))) == "a"

    def test_are_used_for_a_service_that_only_they_have(self):
        member = MemberView("s", 1, "s:1", "far", SERVICE_KIND, "depot", 4, 0, False, [], 0)
        line = CapacityLine(SERVICE_KIND, "depot", "", 4, 4, [member])
        summary = DomainSummary("far", 1, [line], 1, "far-1", 1, False)
        request = RoutingRequest(kind=SERVICE_KIND, names=("depot",), affinity=b"")
        assert choose(router_of(summaries=(summary,)), request) == "s"


class TestEjection:
    def test_a_failed_server_is_ejected_temporarily(self):
        router = router_of(engine("a"), engine("b", slots=1))
        router.record_failure("a", now_s=10.0)
        assert [choose(router, now_s=10.5) for _ in range(2)] == ["b", None]
        assert choose(router, now_s=11.5) == "a"

    def test_ejected_servers_are_used_if_there_is_no_other(self):
        router = router_of(engine("a"))
        router.record_failure("a", now_s=10.0)
        assert choose(router, now_s=10.1) == "a"

    def test_each_failure_in_a_row_doubles_the_ejection_time(self):
        router = router_of(engine("a"), engine("b", slots=1))
        choose(router, excluded=("a",))
        for _ in range(3):
            router.record_failure("a", now_s=10.0)
        assert choose(router, now_s=13.5) is None
        assert choose(router, now_s=14.5) == "a"

    def test_excluded_servers_are_not_chosen(self):
        assert choose(router_of(engine("a"), engine("b")), excluded=("a",)) == "b"
