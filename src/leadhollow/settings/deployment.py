"""Builds the settings of all processes of a deployment from a short plan.

Tools, tests, stand-in sites and benchmarks use this module.
"""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from enum import Enum

from leadhollow.settings.model import (
    BackendKind,
    BackendSettings,
    DomainSettings,
    EntrySettings,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    Role,
    Settings,
    StateSettings,
    WireSettings,
)


class Listener(Enum):
    """Purpose of a listener."""

    WIRE = "wire"
    CALLERS = "callers"
    OPERATORS = "operators"


LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000

_generator = random.SystemRandom()

AddressOf = Callable[[str, Listener], str]


class BackendPlacement:
    """A backend server and the failure domain in which it runs."""

    __slots__ = ("failure_domain", "kind", "name", "service", "slots", "url")

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        kind: BackendKind,
        url: str,
        slots: int,
        service: str = "",
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.kind = kind
        self.url = url
        self.slots = slots
        self.service = service


class DeploymentPlan:
    """Failure domains, entry VMs and backend servers of a deployment.

    Parameters
    ----------
    entries
        Number of entry VMs in each failure domain; the first of each is also a state replica.
    regions
        Region of each failure domain.
    """

    __slots__ = (
        "backends",
        "domain",
        "entries",
        "link_bytes_per_s",
        "log_level",
        "name",
        "operator_token",
        "regions",
        "state",
        "statsd",
        "wire_token",
    )

    def __init__(
        self,
        *,
        name: str,
        entries: dict[str, int],
        regions: dict[str, str],
        backends: list[BackendPlacement],
        wire_token: str,
        operator_token: str,
        link_bytes_per_s: int = 1_000_000_000,
        state: StateSettings | None = None,
        domain: DomainSettings | None = None,
        statsd: str | None = None,
        log_level: str = "info",
    ) -> None:
        self.name = name
        self.entries = entries
        self.regions = regions
        self.backends = backends
        self.wire_token = wire_token
        self.operator_token = operator_token
        self.link_bytes_per_s = link_bytes_per_s
        self.state = state or StateSettings()
        self.domain = domain or DomainSettings()
        self.statsd = statsd
        self.log_level = log_level

    def entry_names(self, failure_domain: str) -> list[str]:
        """Return the names of the entry VMs of a failure domain."""
        count = self.entries[failure_domain]
        return [f"{failure_domain}-entry-{number}" for number in range(1, count + 1)]


def build_settings(
    plan: DeploymentPlan, *, address_of: AddressOf, folder_of: Callable[[str], str]
) -> list[Settings]:
    """Build the settings of every process.

    Parameters
    ----------
    address_of
        Returns the address of a VM's listener.
    folder_of
        Returns the data folder of a VM.
    """
    state_replicas = []
    domain_replicas = []
    for failure_domain in plan.entries:
        for position, vm in enumerate(plan.entry_names(failure_domain)):
            peer = PeerSettings(
                vm=vm, failure_domain=failure_domain, address=address_of(vm, Listener.WIRE)
            )
            domain_replicas.append(peer)
            if position == 0:
                state_replicas.append(peer)
    builder = _Builder(
        plan=plan,
        state_replicas=tuple(state_replicas),
        domain_replicas=tuple(domain_replicas),
        address_of=address_of,
        folder_of=folder_of,
    )
    entries = [builder.entry(peer) for peer in domain_replicas]
    return entries + [builder.backend(placement) for placement in plan.backends]


class _Builder:
    __slots__ = ("address_of", "domain_replicas", "folder_of", "plan", "state_replicas")

    def __init__(
        self,
        *,
        plan: DeploymentPlan,
        state_replicas: tuple[PeerSettings, ...],
        domain_replicas: tuple[PeerSettings, ...],
        address_of: AddressOf,
        folder_of: Callable[[str], str],
    ) -> None:
        self.plan = plan
        self.state_replicas = state_replicas
        self.domain_replicas = domain_replicas
        self.address_of = address_of
        self.folder_of = folder_of

    def entry(self, peer: PeerSettings) -> Settings:
        """Build the settings of an entry VM."""
        is_state_replica = peer.vm in {replica.vm for replica in self.state_replicas}
        roles = [Role.ENTRY, Role.DOMAIN]
        operators = None
        if is_state_replica:
            roles.append(Role.STATE)
            operators = OperatorSettings(
                listen=self.address_of(peer.vm, Listener.OPERATORS),
                token=self.plan.operator_token,
            )
        return self._settings(
            vm=peer.vm,
            failure_domain=peer.failure_domain,
            roles=tuple(roles),
            data_folder=self.folder_of(peer.vm) if is_state_replica else None,
            entry=EntrySettings(listen=self.address_of(peer.vm, Listener.CALLERS)),
            operators=operators,
        )

    def backend(self, placement: BackendPlacement) -> Settings:
        """Build the settings of the process beside a backend server."""
        return self._settings(
            vm=placement.name,
            failure_domain=placement.failure_domain,
            roles=(Role.BACKEND,),
            data_folder=self.folder_of(placement.name),
            backend=BackendSettings(
                server=placement.name,
                kind=placement.kind,
                url=placement.url,
                slots=placement.slots,
                service=placement.service,
                link_bytes_per_s=self.plan.link_bytes_per_s,
            ),
        )

    def _settings(
        self,
        *,
        vm: str,
        failure_domain: str,
        roles: tuple[Role, ...],
        data_folder: str | None,
        entry: EntrySettings | None = None,
        operators: OperatorSettings | None = None,
        backend: BackendSettings | None = None,
    ) -> Settings:
        return Settings(
            vm=vm,
            region=self.plan.regions[failure_domain],
            failure_domain=failure_domain,
            roles=roles,
            wire=WireSettings(
                listen=self.address_of(vm, Listener.WIRE), token=self.plan.wire_token
            ),
            state_replicas=self.state_replicas,
            domain_replicas=self.domain_replicas,
            data_folder=data_folder,
            entry=entry,
            operators=operators,
            state=self.plan.state,
            domain=self.plan.domain,
            backend=backend,
            statsd=self.plan.statsd,
            logs=LogSettings(level=self.plan.log_level),
        )


class LoopbackAddresses:
    """Assigns a free loopback port to each listener, and returns the same one for later calls."""

    __slots__ = ("_addresses",)

    def __init__(self) -> None:
        self._addresses: dict[tuple[str, Listener], str] = {}

    def __call__(self, vm: str, listener: Listener) -> str:
        """Return the address of a VM's listener."""
        key = (vm, listener)
        if key not in self._addresses:
            taken = set(self._addresses.values())
            while (address := f"127.0.0.1:{_free_port()}") in taken:
                continue
            self._addresses[key] = address
        return self._addresses[key]


def _free_port() -> int:
    """Find a free port below the range of ephemeral ports.

    An outgoing connection could take a port of that range before the caller listens on it.
    """
    while True:
        port = _generator.randrange(LOWEST_PORT, HIGHEST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


__all__ = [
    "AddressOf",
    "BackendPlacement",
    "DeploymentPlan",
    "Listener",
    "LoopbackAddresses",
    "build_settings",
]
