"""Writes the settings of both example deployments under examples/."""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec

from leadhollow.settings.deployment import (
    BackendPlacement,
    DeploymentPlan,
    Listener,
    build_settings,
)
from leadhollow.settings.model import BackendKind

PORTS = {Listener.WIRE: 7400, Listener.CALLERS: 8080, Listener.OPERATORS: 8081}
TOKEN = "replace-this-token-before-use"
ENGINE_SLOTS = 16


class Addresses:
    """One documentation address for each VM, in the order they are asked for."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._hosts: dict[str, str] = {}

    def __call__(self, vm: str, listener: Listener) -> str:
        """Give the address of a listener."""
        host = self._hosts.setdefault(vm, f"{self._prefix}.{len(self._hosts) + 11}")
        return f"{host}:{PORTS[listener]}"


def engines(domains: list[str], name: str, count: int) -> list[BackendPlacement]:
    """Spread engines over failure domains in turn."""
    return [
        BackendPlacement(
            name=f"{domains[number % len(domains)]}-{name}-{number + 1}",
            failure_domain=domains[number % len(domains)],
            kind=BackendKind.ENGINE,
            url="http://127.0.0.1:9000",
            slots=ENGINE_SLOTS,
        )
        for number in range(count)
    ]


def deployment(
    name: str, domains: list[str], drafting: str, status: str, service: str
) -> DeploymentPlan:
    """Describe a deployment of three failure domains, 7 entry VMs and 10 backend servers."""
    depot = BackendPlacement(
        name=f"{domains[0]}-{service}-1",
        failure_domain=domains[0],
        kind=BackendKind.SERVICE,
        url="http://127.0.0.1:9000",
        slots=32,
        service=service,
    )
    return DeploymentPlan(
        name=name,
        entries={domains[0]: 3, domains[1]: 2, domains[2]: 2},
        regions=dict.fromkeys(domains, name),
        backends=[*engines(domains, drafting, 6), *engines(domains, status, 3), depot],
        wire_token=TOKEN,
        operator_token=TOKEN,
    )


def write(folder: Path, plan: DeploymentPlan, prefix: str) -> None:
    """Write one file for each VM."""
    target = folder / plan.name
    target.mkdir(parents=True, exist_ok=True)
    for settings in build_settings(
        plan, address_of=Addresses(prefix), folder_of=lambda vm: "/var/lib/leadhollow"
    ):
        text = msgspec.json.format(msgspec.json.encode(settings), indent=2)
        (target / f"{settings.vm}.json").write_bytes(text + b"\n")


def main() -> None:
    """Write all examples below the folder named on the command line."""
    folder = Path(sys.argv[1])
    ifrane = deployment("ifrane", ["ifrane", "azrou", "midelt"], "dispatch", "road-status", "depot")
    valdadige = deployment(
        "valdadige", ["trento", "bolzano", "verona"], "drafting", "rsvp-portal", "registry-sync"
    )
    write(folder, ifrane, "192.0.2")
    write(folder, valdadige, "198.51.100")


main()
