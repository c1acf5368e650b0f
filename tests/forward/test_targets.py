"""Tests of the choice among the services of a route."""

from __future__ import annotations

from collections import Counter

from leadhollow.decide.eligibility import FailureDomains
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.forward.targets import TargetChooser
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.routing.model import CallKind, Route, Target


def make_route() -> Route:
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=CallKind.IDEMPOTENT,
        timeout_ms=1_000,
        objective_ms=500,
        targets=(Target(service="left", weight=1), Target(service="right", weight=1)),
    )


class TestTargetChooser:
    # Guards against: requests are refused although another service of their route has servers.
    def test_avoids_services_in_evacuated_domains(self):
        domains = FailureDomains(regions={})
        table = InstanceTable(forget_after_s=60.0)
        directory = ServerDirectory(table=table, clock=lambda: 0.0, domains=domains)
        chooser = TargetChooser(directory=directory, record_request=lambda name: None, seed=1)
        for place, service in enumerate(("left", "right")):
            table.merge(
                Instance(
                    instance=f"i-{service}",
                    service=service,
                    address=f"10.0.0.{place + 1}:80",
                    failure_domain=f"hall-{service}",
                    sequence=1,
                    state=InstanceState.READY,
                    slots=4,
                    served=(),
                    heard_s=0.0,
                )
            )

        def chosen() -> Counter[str]:
            return Counter(chooser.choose(make_route()) for _ in range(60))

        assert set(chosen()) == {"left", "right"}
        domains.set_evacuated({"hall-left"})
        assert set(chosen()) == {"right"}
        domains.set_evacuated({"hall-left", "hall-right"})
        assert set(chosen()) == {"left", "right"}
