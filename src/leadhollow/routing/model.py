"""What a route table consists of."""

from __future__ import annotations

from enum import Enum

import msgspec


class CallKind(Enum):
    """What may be repeated.

    A stream may be repeated only on a route that lets it be resumed.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A service that a route leads to, and its part of the route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True, tag="route"):
    """Where the requests of one host and path prefix go.

    Parameters
    ----------
    path_prefix
        Begins and ends with a slash.
    timeout_ms
        Longest time that a caller is kept waiting.
    objective_ms
        Time within which an answer, or the first event of a stream, is on time.
    pause_objective_ms
        Longest pause between events of a stream that is on time; 0 where none is declared.
    priority
        0 is the most urgent.
    attempts
        Most backend servers on which one request may run.
    public
        Whether no key is asked for.
    affinity
        Whether requests name prompt parts that some backend server may hold.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """How a model engine spends its time, as its operator declares it.

    Parameters
    ----------
    slots
        Requests of a batch.
    memory_tokens
        Prompt and output tokens that its memory holds.
    stride_steps
        Steps of one pass, so tokens of one event.
    step_ms, sequence_ms, context_ms_per_k
        Time of a step: fixed, for each running request, for each 1,000 tokens of context.
    read_tokens_per_s, pair_ms_per_million, chunk_tokens
        Reading of prompts: speed, cost of attention, most tokens in one step.
    load_s
        Seconds that a whole model takes to load, by its name.
    layers, chunks, chunk_bytes
        How a model's weights are divided.
    report_lag_ms
        Age of what an engine reports over the network.
    usual_prompt_tokens, usual_answer_tokens
        Mean sizes.
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


class ServiceRecord(msgspec.Struct, frozen=True, kw_only=True, tag="service"):
    """A service and what its backend servers can bear.

    Parameters
    ----------
    connections
        Most connections that one backend server accepts from all callers together.
    origin
        Address of an origin of weights; None for a service that answers requests.
    origin_link_mbit_per_s
        Speed of the origin's link, 0 where it is not known.
    """

    name: str
    connections: int = 100
    health_path: str = ""
    origin: str | None = None
    origin_link_mbit_per_s: float = 0.0
    engine: EngineSpec | None = None


class Organisation(msgspec.Struct, frozen=True, kw_only=True, tag="organisation"):
    """A group of callers, known by the hashes of its keys."""

    name: str
    key_sha256s: tuple[str, ...] = ()
    priority: int | None = None
    weight: float = 1.0


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True, tag="caller-limits"):
    """What callers may send, and how long they may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


MIN_TABLE_NUMBER = 0  # of a route table


class TableNumber(msgspec.Struct, frozen=True, kw_only=True, tag="table-number"):
    """Number of the route table in force, and whether it knows groups at all."""

    number: int
    keyed: bool


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """One whole table; the highest number is in force."""

    number: int
    routes: tuple[Route, ...]
    services: tuple[ServiceRecord, ...]
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()
    keyed: bool = False


__all__ = [
    "LOWEST_NUMBER",
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
