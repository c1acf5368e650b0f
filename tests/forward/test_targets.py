"""Tests of the service that a request goes to."""

from __future__ import annotations

from types import SimpleNamespace

from leadhollow.decide.eligibility import FailureDomains
from leadhollow.decide.server import Server
from leadhollow.forward.targets import TargetChooser
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.routing.model import CallKind, Route, Target

NORTH = frozenset({"north"})
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=CallKind.IDEMPOTENT,
    timeout_ms=1_000,
    objective_ms=500,
    targets=(Target(service="one", weight=9.0), Target(service="two", weight=1.0)),
)


def make_server(domains: FailureDomains, failure_domain: str) -> Server:
    instance = Instance(
        instance=f"i-{failure_domain}",
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


def chosen(domains: FailureDomains, regions: frozenset[str] | None, **places: str) -> set[str]:
    """Return all services that requests go to.

    Parameters
    ----------
    places
        Failure domain of the only server of each service.
    """
    servers = {name: [make_server(domains, domain)] for name, domain in places.items()}
    chooser = TargetChooser(
        directory=SimpleNamespace(servers=lambda service: servers.get(service, [])),
        record_request=lambda _: None,
        seed=1,
    )
    return {chooser.choose(ROUTE, regions) for _ in range(200)}


class TestTargetChooser:
    # a bound request went to a service that has servers, but none where it may be served
    def test_prefers_a_service_with_a_server_in_an_allowed_region(self):
        domains = FailureDomains(regions={"a": "south", "b": "north"})
        assert chosen(domains, NORTH, one="a", two="b") == {"two"}
        assert chosen(domains, None, one="a", two="b") == {"one", "two"}

    # requests went to a service whose servers are all evacuated
    def test_prefers_a_service_with_a_server_that_is_not_evacuated(self):
        domains = FailureDomains(regions={})
        domains.set_evacuated({"a"})
        assert chosen(domains, None, one="a", two="b") == {"two"}

    def test_uses_all_services_if_none_has_a_server_in_reach(self):
        domains = FailureDomains(regions={"a": "south", "b": "south"})
        assert chosen(domains, NORTH, one="a", two="b") == {"one", "two"}
        assert chosen(domains, None) == {"one", "two"}
