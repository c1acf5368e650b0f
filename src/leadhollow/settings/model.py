"""Classes of the settings file of one process, one for each section."""

from __future__ import annotations

from enum import Enum

import msgspec

from leadhollow.observe.logs import LogFormat


class Role(Enum):
    """Roles of a process. One process may have several."""

    ENTRY = "entry"
    STATE = "state"
    DOMAIN = "domain"
    BACKEND = "backend"


class BackendKind(Enum):
    """Kind of the backend server beside a process with the backend role."""

    ENGINE = "engine"
    SERVICE = "service"


class PeerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Address and failure domain of another process of the system."""

    vm: str
    failure_domain: str
    address: str


class WireSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Listener for the other processes of the deployment.

    Parameters
    ----------
    token
        Secret shared by all processes of one deployment.
    """

    listen: str
    token: str


class QueueOrder(Enum):
    """Order in which waiting requests are scheduled; ``arrival`` is for experiments."""

    FAIR = "fair"
    ARRIVAL = "arrival"


class Balance(Enum):
    """Policy that selects a backend server; all but ``affinity`` are for experiments."""

    AFFINITY = "affinity"
    ROUND_ROBIN = "round-robin"
    LEAST_CONNECTIONS = "least-connections"


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Listener for callers, and the limits on their requests.

    Parameters
    ----------
    retry_ratio, retry_slack, retry_window_s
        Repeats that all entries together may send for a model or service in a window: a share of
        its requests plus a fixed number.
    """

    listen: str
    body_limit_bytes: int = 4 * 1024 * 1024
    default_deadline_ms: int = 60_000
    balancer_grace_ms: int = 2_000
    retry_ratio: float = 0.2
    retry_slack: float = 1_000.0
    retry_window_s: float = 10.0
    queue_order: QueueOrder = QueueOrder.FAIR
    balance: Balance = Balance.AFFINITY


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Listener for operators."""

    listen: str
    token: str


class StateSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Timing of the replicated log."""

    heartbeat_ms: int = 200
    election_timeout_ms: int = 800
    snapshot_entries: int = 4_096
    claim_retention_ms: int = 86_400_000


class DomainSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Timing of membership, summaries and leases in a failure domain."""

    heartbeat_ms: int = 1_000
    suspect_after_ms: int = 2_500
    remove_after_ms: int = 5_000
    summary_ms: int = 1_000
    lease_ttl_ms: int = 3_000


class BackendSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The backend server beside this process, an engine or a plain service.

    Parameters
    ----------
    server
        Name of the backend server, unique in the deployment.
    service
        Name of the plain service; empty for an engine.
    link_bytes_per_s
        Speed of this VM's link in each direction.
    weights_share
        Share of the link, up to 1, that transfers of weights may use while requests run.
    """

    server: str
    kind: BackendKind
    url: str
    slots: int
    service: str = ""
    checks_fencing: bool = True
    link_bytes_per_s: int = 1_000_000_000
    weights_share: float = 0.8


class LeaseMode(Enum):
    """Policy that leases reads from the origin; all but ``exact`` are for experiments."""

    EXACT = "exact"
    WIDENED = "widened"
    NONE = "none"
    DIRECT = "direct"


class WeightsSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Distribution of versions of weights.

    Parameters
    ----------
    lease_window
        Number of chunks that one reader leases in advance.
    neighbours_inside, neighbours_across
        Number of exchange partners in the same failure domain and in other ones.
    """

    lease_mode: LeaseMode = LeaseMode.EXACT
    lease_window: int = 4
    neighbours_inside: int = 6
    neighbours_across: int = 3


class LogSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Format and level of the log."""

    format: LogFormat = LogFormat.JSON
    level: str = "info"


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All settings of one process."""

    vm: str
    region: str
    failure_domain: str
    roles: tuple[Role, ...]
    wire: WireSettings
    state_replicas: tuple[PeerSettings, ...]
    domain_replicas: tuple[PeerSettings, ...]
    data_folder: str | None = None
    drain_deadline_ms: int = 30_000
    entry: EntrySettings | None = None
    operators: OperatorSettings | None = None
    state: StateSettings = StateSettings()
    domain: DomainSettings = DomainSettings()
    weights: WeightsSettings = WeightsSettings()
    backend: BackendSettings | None = None
    statsd: str | None = None
    logs: LogSettings = LogSettings()

    def has_role(self, role: Role) -> bool:
        """Tell whether this process has a role."""
        return role in self.roles

    def own_domain_replicas(self) -> tuple[PeerSettings, ...]:
        """Return the domain replicas in the failure domain of this process."""
        return tuple(
            peer for peer in self.domain_replicas if peer.failure_domain == self.failure_domain
        )


__all__ = [
    "BackendKind",
    "BackendSettings",
    "Balance",
    "DomainSettings",
    "EntrySettings",
    "LeaseMode",
    "LogSettings",
    "OperatorSettings",
    "PeerSettings",
    "QueueOrder",
    "Role",
    "Settings",
    "StateSettings",
    "WeightsSettings",
    "WireSettings",
]
