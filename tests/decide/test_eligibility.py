"""Tests of the rules on which servers a request may be sent to."""

from __future__ import annotations

import random

import pytest

from leadhollow.codes import Code
from leadhollow.decide.eligibility import FailureDomains, allowed_regions
from leadhollow.decide.server import Server
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.decide.server_load import OwnCall
from leadhollow.membership.instances import Instance, InstanceState

REGIONS = {"hall-a": "north", "hall-b": "south"}


def make_server(domains: FailureDomains, failure_domain: str = "hall-a") -> Server:
    instance = Instance(
        instance="i-0",
        service="s",
        address="10.0.0.1:80",
        failure_domain=failure_domain,
        sequence=1,
        state=InstanceState.READY,
        slots=4,
        served=(),
        heard_s=0.0,
    )
    return Server(instance=instance, domains=domains)


def make_call(regions: frozenset[str] | None = None) -> OwnCall:
    return OwnCall(
        prompt_tokens=1, output_tokens=1, placed_s=0.0, predicted_ms=1.0, regions=regions
    )


class TestAllowedRegions:
    # an empty bound was read as "nowhere", or one bound replaced the other
    @pytest.mark.parametrize(
        ("bounds", "expected"),
        [
            ((), None),
            (((), ()), None),
            ((("north",), ()), {"north"}),
            (((), ("south",)), {"south"}),
            ((("north", "south"), ("south",)), {"south"}),
            ((("north",), ("south",)), set()),
        ],
    )
    def test_all_bounds_hold(
        self, bounds: tuple[tuple[str, ...], ...], expected: set[str] | None
    ) -> None:
        found = allowed_regions(*bounds)
        assert found == (None if expected is None else frozenset(expected))


class TestPlacement:
    # a request bound to a region reached an engine of another one
    def test_bound_request_stays_in_its_regions(self) -> None:
        server = make_server(FailureDomains(regions=REGIONS))
        assert server.reason_against(None) is None
        assert server.reason_against(frozenset({"north"})) is None
        assert server.reason_against(frozenset({"south"})) is Code.OUTSIDE_REGIONS
        assert server.reason_against(frozenset()) is Code.OUTSIDE_REGIONS

    # a failure domain whose region is unknown was taken for one of every region
    def test_unknown_domain_belongs_to_no_region(self) -> None:
        server = make_server(FailureDomains(regions=REGIONS), "hall-c")
        assert server.reason_against(frozenset({"north"})) is Code.OUTSIDE_REGIONS
        assert server.reason_against(None) is None

    # new requests were placed in a failure domain that is evacuated
    def test_evacuated_domain_gets_nothing(self) -> None:
        domains = FailureDomains(regions=REGIONS)
        server = make_server(domains)
        domains.set_evacuated({"hall-a"})
        assert server.reason_against(None) is Code.DOMAIN_EVACUATED
        domains.set_evacuated(set())
        assert server.reason_against(None) is None


class TestSend:
    # a request that was placed before an evacuation was sent after it
    def test_rules_are_checked_when_the_request_is_sent(self) -> None:
        domains = FailureDomains(regions=REGIONS)
        server = make_server(domains)
        call = make_call()
        server.add_call(call)
        domains.set_evacuated({"hall-a"})
        assert server.claim_send(call) is Code.DOMAIN_EVACUATED
        assert not call.sent

    # a probe after a back-off was sent to a failure domain that had been evacuated meanwhile
    def test_a_probe_is_withheld_and_its_right_kept(self) -> None:
        domains = FailureDomains(regions=REGIONS)
        server = make_server(domains)
        times_s = [0.0]
        server.backoff = ServerBackoff(clock=lambda: times_s[0], source=random.Random(1))
        server.backoff.extend(1.0)
        times_s[0] = 2.0
        domains.set_evacuated({"hall-a"})
        assert server.claim_send(make_call()) is Code.DOMAIN_EVACUATED
        domains.set_evacuated(())
        assert server.claim_send(make_call()) is None

    # a bound request was sent because only the choice of its engine had looked at its regions
    def test_regions_are_checked_when_the_request_is_sent(self) -> None:
        server = make_server(FailureDomains(regions=REGIONS))
        call = make_call(frozenset({"south"}))
        server.add_call(call)
        assert server.claim_send(call) is Code.OUTSIDE_REGIONS


class TestListeners:
    # requests that waited for an engine were not tried again when an evacuation ended
    def test_a_change_is_told_once(self) -> None:
        domains = FailureDomains(regions=REGIONS)
        changes: list[frozenset[str]] = []
        domains.on_change(lambda: changes.append(domains.evacuated))
        domains.set_evacuated({"hall-a"})
        domains.set_evacuated(["hall-a"])
        domains.set_evacuated(())
        assert changes == [frozenset({"hall-a"}), frozenset()]
