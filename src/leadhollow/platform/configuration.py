"""Decodes the operator's configuration document into a route table.

Unknown fields are ignored, because later versions of the platform may add some.
"""

from __future__ import annotations

import hashlib

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.routing.model import (
    NEVER_COLD,
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
    """Base of documents with names in camel case. Unknown fields are ignored."""


class BackendDocument(_PlatformDocument, frozen=True):
    """A service of a route with its share of the route's requests."""

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
    allowed_regions: tuple[str, ...] | None = None


class ModelDocument(_PlatformDocument, frozen=True):
    """A model of an engine; ``warm_s`` is the time to load weights that are staged."""

    name: str
    warm_s: float = 0.0


class MeanTokensDocument(_PlatformDocument, frozen=True):
    """Mean token counts of prompts and generated answers."""

    prompt: float = 1_000.0
    answer: float = 100.0


class EngineDocument(msgspec.Struct, frozen=True):
    """Figures of an engine. The platform mixes snake case and camel case in its names."""

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
    """A service; one with an ``origin`` distributes weights and gets no requests of callers."""

    name: str
    health_path: str = ""
    max_connections: int = 100
    origin: str | None = None
    link_mbps: float = 0.0
    engine: EngineDocument | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class LimitsDocument(_PlatformDocument, frozen=True):
    """Limits on requests of callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class TenantDocument(_PlatformDocument, frozen=True):
    """An organisation with its API keys."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] | None = None


class ConfigurationDocument(_PlatformDocument, frozen=True):
    """The whole configuration document."""

    version: int
    routes: tuple[RouteDocument, ...]
    services: tuple[ServiceDocument, ...]
    limits: LimitsDocument = LimitsDocument()
    tenants: tuple[TenantDocument, ...] | None = None


_decoder = msgspec.json.Decoder(ConfigurationDocument)


def read_configuration(body: bytes) -> Result[RouteTable, Failure]:
    """Decode a configuration into a route table.

    The caller checks with `check_table` whether the table is valid.

    Errors
    ------
    TABLE_UNREADABLE
        The body is not JSON, a field is missing, or a field has a wrong type.
    """
    try:
        document = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.TABLE_UNREADABLE, detail=str(error)))
    routes = []
    for route_document in document.routes:
        route = _route(route_document)
        if route.is_err():
            return Err(route.unwrap_err())
        routes.append(route.unwrap())
    return Ok(
        RouteTable(
            number=document.version,
            routes=tuple(routes),
            services=tuple(_service(each) for each in document.services),
            organisations=tuple(_organisation(each) for each in document.tenants or ()),
            limits=_limits(document.limits),
            keyed=document.tenants is not None,
        )
    )


def _route(document: RouteDocument) -> Result[Route, Failure]:
    kind = CALL_KINDS.get(document.type)
    if kind is None:
        detail = f"unknown type {document.type!r}"
        return Err(
            Failure(code=Code.TABLE_UNREADABLE, detail=detail, field=f"routes.{document.name}")
        )
    targets = [Target(service=each.service, weight=each.weight) for each in document.backends]
    if not targets and document.service is not None:
        targets = [Target(service=document.service, weight=1.0)]
    return Ok(
        Route(
            name=document.name,
            host=document.host,
            path_prefix=document.path_prefix,
            kind=kind,
            timeout_ms=int(document.timeout_ms),
            objective_ms=int(document.target_latency_ms or document.timeout_ms),
            targets=tuple(targets),
            priority=document.priority,
            attempts=max(1, document.max_attempts),
            public=document.public,
            affinity=document.sticky,
            resumable=document.resumable,
            pause_objective_ms=int(document.gap_target_ms),
            allowed_regions=document.allowed_regions or (),
        )
    )


def _service(document: ServiceDocument) -> ServiceRecord:
    return ServiceRecord(
        name=document.name,
        connections=document.max_connections,
        health_path=document.health_path,
        origin=document.origin,
        origin_link_mbit_per_s=document.link_mbps if document.origin is not None else 0.0,
        engine=None if document.engine is None else _engine(document.engine),
        cold_start_s=document.cold_start_s or NEVER_COLD,
        cold_requests_per_s=document.cold_per_s or NEVER_COLD,
    )


def _engine(document: EngineDocument) -> EngineSpec:
    return EngineSpec(
        slots=document.slots,
        memory_tokens=document.kv_capacity,
        stride_steps=max(1, document.stride),
        step_ms=document.step_ms,
        sequence_ms=document.per_seq_ms,
        context_ms_per_k=document.context_per_k,
        read_tokens_per_s=document.read_per_s,
        pair_ms_per_million=document.pairs_per_m,
        chunk_tokens=document.chunk,
        load_s={model.name: model.warm_s for model in document.models},
        layers=max(1, document.layers),
        chunks=document.chunks,
        chunk_bytes=document.chunk_bytes,
        report_lag_ms=document.report_lag_ms,
        usual_prompt_tokens=document.usual.prompt,
        usual_answer_tokens=document.usual.answer,
    )


def _organisation(document: TenantDocument) -> Organisation:
    keys = tuple(hashlib.sha256(key.encode()).hexdigest() for key in document.api_keys)
    return Organisation(
        name=document.name,
        key_sha256s=keys,
        priority=document.priority,
        allowed_regions=document.allowed_regions or (),
    )


def _limits(document: LimitsDocument) -> CallerLimits:
    return CallerLimits(
        header_bytes=document.max_header_bytes,
        body_bytes=document.max_body_bytes,
        header_timeout_ms=int(document.header_timeout_ms),
        idle_timeout_ms=int(document.idle_timeout_ms),
    )


__all__ = ["read_configuration"]
