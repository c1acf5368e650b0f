"""The operator's configuration document, field by field, and what it means to the product.

Unknown fields are ignored, because new ones may come.
"""

from __future__ import annotations

import hashlib

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.routing.model import (
    CallerLimits,
    CallKind,
    EngineSpec,
    Organisation,
    Route,
    RouteTable,
    ServiceRecord,
    Target,
)

CALL_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}


class _PlatformDocument(msgspec.Struct, frozen=True, rename="camel"):
    """Base of the platform's messages: names in camel case, unknown fields ignored."""


class BackendDocument(_PlatformDocument, frozen=True):
    """A service and its weight among those of a route."""

    service: str
    weight: float


class RouteDocument(_PlatformDocument, frozen=True):
    """One route."""

    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    backends: tuple[BackendDocument, ...] = ()
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class ModelDocument(_PlatformDocument, frozen=True):
    """A model of an engine; ``warm_s`` is the time to load what is staged already."""

    name: str
    warm_s: float = 0.0


class MeanTokensDocument(_PlatformDocument, frozen=True):
    """Mean token counts."""

    prompt: float = 1_000.0
    answer: float = 100.0


class EngineDocument(msgspec.Struct, frozen=True):
    """What the operator says of an engine; the names come in two spellings."""

    slots: int
    kv_capacity: int = msgspec.field(name="kvCapacity", default=1_000_000)
    stride: int = 1
    models: tuple[ModelDocument, ...] = ()
    step_ms: float = 10.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 10_000.0
    pairs_per_m: float = 0.0
    chunk: int = 2_048
    report_lag_ms: float = 0.0
    usual: MeanTokensDocument = MeanTokensDocument()
    layers: int = 1
    chunks: int = 0
    chunk_bytes: int = msgspec.field(name="chunkBytes", default=0)


class ServiceDocument(_PlatformDocument, frozen=True):
    """A service; one with an ``origin`` hands out weights and answers no requests."""

    name: str
    health_path: str = ""
    max_connections: int = 100
    origin: str | None = None
    link_mbps: float = 0.0
    engine: EngineDocument | None = None


class LimitsDocument(_PlatformDocument, frozen=True):
    """What callers may send."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class TenantDocument(_PlatformDocument, frozen=True):
    """An organisation with its keys."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class ConfigurationDocument(_PlatformDocument, frozen=True):
    """A whole configuration."""

    version: int
    routes: tuple[RouteDocument, ...]
    services: tuple[ServiceDocument, ...]
    limits: LimitsDocument = LimitsDocument()
    tenants: tuple[TenantDocument, ...] | None = None


_decoder = msgspec.json.Decoder(ConfigurationDocument)


def read_configuration(body: bytes) -> Result[RouteTable, Failure]:
    """Decode a configuration into a route table; whether it is valid is judged elsewhere.

    Errors
    ------
    TABLE_UNREADABLE
        It is no JSON, or lacks a field, or one has another type.
    """
    try:
        document = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.TABLE_UNREADABLE, detail=str(error)))
    routes = []
    for found in document.routes:
        route = _route(found)
        if route.is_err():
            return Err(route.unwrap_err())
        routes.append(route.unwrap())
    return Ok(
        RouteTable(
            number=document.version,
            routes=tuple(routes),
            services=tuple(_service(found) for found in document.services),
            organisations=tuple(_organisation(found) for found in document.tenants or ()),
            limits=_limits(document.limits),
            keyed=document.tenants is not None,
        )
    )


def _route(found: RouteDocument) -> Result[Route, Failure]:
    kind = CALL_KINDS.get(found.type)
    if kind is None:
        detail = f"unknown type {found.type!r}"
        return Err(Failure(code=Code.TABLE_UNREADABLE, detail=detail, field=f"routes.{found.name}"))
    targets = [Target(service=each.service, weight=each.weight) for each in found.backends]
    if not targets and found.service is not None:
        targets = [Target(service=found.service, weight=1.0)]
    return Ok(
        Route(
            name=found.name,
            host=found.host,
            path_prefix=found.path_prefix,
            kind=kind,
            timeout_ms=int(found.timeout_ms),
            objective_ms=int(found.target_latency_ms or found.timeout_ms),
            targets=tuple(targets),
            priority=found.priority,
            attempts=max(1, found.max_attempts),
            public=found.public,
            affinity=found.sticky,
            resumable=found.resumable,
            pause_objective_ms=int(found.gap_target_ms),
        )
    )


def _service(found: ServiceDocument) -> ServiceRecord:
    return ServiceRecord(
        name=found.name,
        connections=found.max_connections,
        health_path=found.health_path,
        origin=found.origin,
        origin_link_mbit_per_s=found.link_mbps if found.origin is not None else 0.0,
        engine=None if found.engine is None else _engine(found.engine),
    )


def _engine(found: EngineDocument) -> EngineSpec:
    return EngineSpec(
        slots=found.slots,
        memory_tokens=found.kv_capacity,
        stride_steps=max(1, found.stride),
        step_ms=found.step_ms,
        sequence_ms=found.per_seq_ms,
        context_ms_per_k=found.context_per_k,
        read_tokens_per_s=found.read_per_s,
        pair_ms_per_million=found.pairs_per_m,
        chunk_tokens=found.chunk,
        load_s={model.name: model.warm_s for model in found.models},
        layers=max(1, found.layers),
        chunks=found.chunks,
        chunk_bytes=found.chunk_bytes,
        report_lag_ms=found.report_lag_ms,
        usual_prompt_tokens=found.usual.prompt,
        usual_answer_tokens=found.usual.answer,
    )


def _organisation(found: TenantDocument) -> Organisation:
    keys = tuple(hashlib.sha256(key.encode()).hexdigest() for key in found.api_keys)
    return Organisation(name=found.name, key_sha256s=keys, priority=found.priority)


def _limits(found: LimitsDocument) -> CallerLimits:
    return CallerLimits(
        header_bytes=found.max_header_bytes,
        body_bytes=found.max_body_bytes,
        header_timeout_ms=int(found.header_timeout_ms),
        idle_timeout_ms=int(found.idle_timeout_ms),
    )


__all__ = ["read_configuration"]
