"""Settings of a process that discovers the others from seed addresses."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.settings.address import MAXIMUM_PORT, Address
from leadhollow.settings.load import field_failure
from leadhollow.settings.model import LogSettings, StateSettings

WIRE_PORT_OFFSET = 0  # added to the first port of the range
METRICS_PORT_OFFSET = 1
PORTS_NEEDED = 2
MIN_MEMORY_MB = 64
MIN_DESCRIPTORS = 64


class NodeRole(Enum):
    """Role of a process; each process has one."""

    ENTRY = "entry"
    CONTROL = "control"
    STAGER = "stager"


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The engine on the VM of a stager."""

    address: str
    service: str


class Bounds(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits on times and shares that the operator requires of the system.

    Parameters
    ----------
    contact_ms
        Time without a fault after which the other bounds apply to a VM.
    acknowledge_ms, configuration_ms
        Time until a command is acknowledged, and until it is in force on every VM.
    drain_ms
        Time until a leaving backend server gets no more requests.
    stop_grace_s
        Time from SIGTERM to SIGKILL.
    version_ms
        Time until no request starts on older weights.
    pass_ms
        Longest delay that the system may add to an event of a stream.
    retry_ratio, retry_slack, retry_window_s
        Repeated deliveries of requests to backend servers that are allowed in a window: a share
        of the requests plus a fixed number.
    address_reuse_s
        Time after which the address of a stopped backend server may be given to another one.
    cold_overshoot, cold_slack
        Requests that a cold backend server may get in any second: a multiple of the rate that its
        service declares plus a fixed number.
    """

    contact_ms: float = 3_000
    acknowledge_ms: float = 4_000
    configuration_ms: float = 2_000
    drain_ms: float = 2_000
    stop_grace_s: float = 8.0
    version_ms: float = 8_000
    pass_ms: float = 120
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window_s: float = 10.0
    address_reuse_s: float = 2.0
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All settings of one process.

    Parameters
    ----------
    host
        IP number of this VM.
    ports
        First and last port that the system's own processes may use, the same on every VM.
    seeds
        Control addresses of some replicas; all have the same port.
    first_start
        Whether the whole system starts for the first time, with empty disks.
    tolerated_losses
        Replicas that may be lost at once; the log keeps twice as many voters and one more.
    callers, readiness, operators
        Listeners of an entry and of a control process.
    link_mbit_per_s
        Speed of this VM's link.
    memory_mb
        Memory that this process may use, in 2**20 bytes; by default that of the VM.
    max_descriptors
        File descriptors that this process may have open; by default, and at most, the limit that
        the operating system sets for it.
    statsd
        Address that metrics are sent to; none are sent without it.
    regions
        Region of each failure domain. The one of this VM need not be listed.
    """

    vm: str
    region: str
    failure_domain: str
    role: NodeRole
    host: str
    ports: tuple[int, int]
    seeds: tuple[str, ...]
    first_start: bool = False
    tolerated_losses: int = 1
    data_folder: str | None = None
    callers: str | None = None
    readiness: str | None = None
    operators: str | None = None
    engine: EngineSettings | None = None
    heartbeat_ms: float = 1_200
    link_mbit_per_s: float = 1_000.0
    memory_mb: int | None = None
    max_descriptors: int | None = None
    regions: dict[str, str] = {}
    token: str = "leadhollow"
    bounds: Bounds = Bounds()
    state: StateSettings = StateSettings(
        heartbeat_ms=100, election_timeout_ms=500, snapshot_entries=256
    )
    logs: LogSettings = LogSettings()
    statsd: str | None = None

    @property
    def region_by_domain(self) -> dict[str, str]:
        """Region of each failure domain, with that of this VM."""
        return self.regions | {self.failure_domain: self.region}

    @property
    def wire_port(self) -> int:
        """Port on which this process listens for the others, the same on every VM."""
        return self.ports[0] + WIRE_PORT_OFFSET

    @property
    def wire_address(self) -> str:
        """Address at which other processes of the system connect to this one."""
        return f"{self.host}:{self.wire_port}"

    @property
    def metrics_address(self) -> str:
        """Address of the metrics listener."""
        return f"{self.host}:{self.ports[0] + METRICS_PORT_OFFSET}"

    @property
    def seed_wire_addresses(self) -> tuple[str, ...]:
        """Addresses at which processes of the system connect to the seeds."""
        hosts = [Address.parse(seed).unwrap().host for seed in self.seeds]
        return tuple(f"{host}:{self.wire_port}" for host in hosts)


def load_node_settings(path: Path) -> Result[NodeSettings, Failure]:
    """Read, decode and validate a settings file.

    Errors
    ------
    SETTINGS_UNREADABLE, SETTINGS_NOT_JSON, SETTINGS_FIELD, SETTINGS_COMBINATION
        The failure names the field and the expected value.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return Err(Failure(code=Code.SETTINGS_UNREADABLE, detail=error.strerror or str(error)))
    return parse_node_settings(data)


def parse_node_settings(data: bytes) -> Result[NodeSettings, Failure]:
    """Decode and validate settings from JSON."""
    try:
        settings = msgspec.json.decode(data, type=NodeSettings)
    except msgspec.ValidationError as error:
        return Err(field_failure(str(error)))
    except msgspec.DecodeError as error:
        return Err(Failure(code=Code.SETTINGS_NOT_JSON, detail=str(error)))
    failure = check_node_settings(settings)
    return Ok(settings) if failure is None else Err(failure)


def check_node_settings(settings: NodeSettings) -> Failure | None:
    """Check the rules that the field types do not express.

    Returns
    -------
    Failure or None
        The first rule that is broken; None if the settings are valid.
    """
    addresses = {
        "callers": settings.callers,
        "readiness": settings.readiness,
        "operators": settings.operators,
        "statsd": settings.statsd,
        "engine.address": settings.engine.address if settings.engine else None,
        **{f"seeds[{position}]": seed for position, seed in enumerate(settings.seeds)},
    }
    for field, text in addresses.items():
        parsed = Ok(None) if text is None else Address.parse(text)
        if parsed.is_err():
            return Failure(code=Code.SETTINGS_FIELD, detail=parsed.unwrap_err().detail, field=field)
    first, last = settings.ports
    if not 0 < first <= last <= MAXIMUM_PORT or last - first + 1 < PORTS_NEEDED:
        detail = f"expected a range of {PORTS_NEEDED} ports or more, found {first} to {last}"
        return Failure(code=Code.SETTINGS_FIELD, detail=detail, field="ports")
    if settings.tolerated_losses < 0:
        return Failure(
            code=Code.SETTINGS_FIELD, detail="expected 0 or more", field="tolerated_losses"
        )
    minimums = {
        "memory_mb": (settings.memory_mb, MIN_MEMORY_MB),
        "max_descriptors": (settings.max_descriptors, MIN_DESCRIPTORS),
    }
    for field, (value, least) in minimums.items():
        if value is not None and value < least:
            detail = f"expected {least} or more, found {value}"
            return Failure(code=Code.SETTINGS_FIELD, detail=detail, field=field)
    return _check_role(settings)


def _check_role(settings: NodeSettings) -> Failure | None:
    required_fields = {
        NodeRole.ENTRY: ("callers", "readiness"),
        NodeRole.CONTROL: ("operators", "data_folder"),
        NodeRole.STAGER: ("engine",),
    }
    for field in required_fields[settings.role]:
        if getattr(settings, field) is None:
            detail = f"role {settings.role.value} needs {field}"
            return Failure(code=Code.SETTINGS_COMBINATION, detail=detail, field=field)
    if not settings.seeds:
        return Failure(code=Code.SETTINGS_COMBINATION, detail="no seed is named", field="seeds")
    return None


__all__ = [
    "Bounds",
    "EngineSettings",
    "NodeRole",
    "NodeSettings",
    "check_node_settings",
    "load_node_settings",
    "parse_node_settings",
]
