"""Data model of route tables."""

from __future__ import annotations

from enum import Enum

import msgspec

NEVER_COLD = 0.0
"""Default of both fields about cold servers. Encoders leave out this object, but no equal one."""


class CallKind(Enum):
    """Kind of the requests of a route, which decides whether they may be repeated.

    A stream may be repeated only if its route allows resuming it.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Service that a route sends requests to, with the weight of its share."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True, gc=False, omit_defaults=True, tag="route"):
    """Rule that sends the requests of one host and path prefix to services.

    Parameters
    ----------
    path_prefix
        Begins and ends with a slash.
    timeout_ms
        Maximum time that a caller waits.
    objective_ms
        Time within which a response, or the first event of a stream, is on time.
    pause_objective_ms
        Maximum pause between the events of a stream that is on time; 0 if none is declared.
    priority
        0 is the most urgent.
    attempts
        Maximum number of backend servers on which one request may run.
    public
        Whether requests need no key.
    affinity
        Whether requests name parts of their prompt that a backend server may have cached.
    allowed_regions
        Regions in which requests may be served; all regions if empty.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout_ms: int
    objective_ms: int
    targets: tuple[Target, ...]
    priority: int = 0
    attempts: int = 1
    public: bool = False
    affinity: bool = False
    resumable: bool = False
    pause_objective_ms: int = 0
    allowed_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Performance model of an engine, as declared by its operator.

    Parameters
    ----------
    slots
        Maximum number of requests in a batch.
    memory_tokens
        Number of prompt and output tokens that fit in its memory.
    stride_steps
        Steps of one pass, which is also the number of tokens of one event.
    step_ms, sequence_ms, context_ms_per_k
        Time of a step: fixed part, per running request, and per 1,000 tokens of context.
    read_tokens_per_s, pair_ms_per_million, chunk_tokens
        Prefill of prompts: speed, cost of attention, and maximum tokens in one step.
    load_s
        Time to load a whole model, in seconds, by model name.
    layers, chunks, chunk_bytes
        How the weights of a model are divided.
    report_lag_ms
        Age of the reports of an engine when they arrive.
    usual_prompt_tokens, usual_answer_tokens
        Mean sizes of prompts and responses.
    """

    slots: int
    memory_tokens: int = 1_000_000
    stride_steps: int = 1
    step_ms: float = 10.0
    sequence_ms: float = 0.0
    context_ms_per_k: float = 0.0
    read_tokens_per_s: float = 10_000.0
    pair_ms_per_million: float = 0.0
    chunk_tokens: int = 2_048
    load_s: dict[str, float] = {}
    layers: int = 1
    chunks: int = 0
    chunk_bytes: int = 0
    report_lag_ms: float = 0.0
    usual_prompt_tokens: float = 1_000.0
    usual_answer_tokens: float = 100.0


class ServiceRecord(msgspec.Struct, frozen=True, kw_only=True, tag="service", omit_defaults=True):
    """A service and the capacity of its backend servers.

    Parameters
    ----------
    connections
        Maximum connections that one backend server accepts from all callers together.
    origin
        Address of an origin of weights; None for a service that handles requests.
    origin_link_mbit_per_s
        Speed of the link of the origin; 0 if unknown.
    cold_start_s
        Time for which a server is cold after its start.
    cold_requests_per_s
        Requests per second that a cold server takes from all entries together; 0 if not limited.
    """

    name: str
    connections: int = 100
    health_path: str = ""
    origin: str | None = None
    origin_link_mbit_per_s: float = 0.0
    engine: EngineSpec | None = None
    cold_start_s: float = NEVER_COLD
    cold_requests_per_s: float = NEVER_COLD


class Organisation(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="organisation"
):
    """A group of callers, identified by the hashes of its keys.

    Parameters
    ----------
    allowed_regions
        Regions in which its requests may be served; all regions if empty.
    """

    name: str
    key_sha256s: tuple[str, ...] = ()
    priority: int | None = None
    weight: float = 1.0
    allowed_regions: tuple[str, ...] = ()


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True, tag="caller-limits"):
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


MIN_TABLE_NUMBER = 0


class TableNumber(msgspec.Struct, frozen=True, kw_only=True, tag="table-number"):
    """Number of the route table in force, and whether it has groups with keys."""

    number: int
    keyed: bool


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """A complete route table; the table with the highest number is in force."""

    number: int
    routes: tuple[Route, ...]
    services: tuple[ServiceRecord, ...]
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()
    keyed: bool = False


__all__ = [
    "MIN_TABLE_NUMBER",
    "CallKind",
    "CallerLimits",
    "EngineSpec",
    "Organisation",
    "Route",
    "RouteTable",
    "ServiceRecord",
    "TableNumber",
    "Target",
]
