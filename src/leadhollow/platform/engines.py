"""Calls of a stager to the engine on its VM, in the platform's format.

The stager reads the engine's report, stages pieces of weights, and orders the engine to load them.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.messages import ResponseHead
from leadhollow.platform.control import MAX_TIME_MS, LoadedLayers, LoadedModel, served_versions
from leadhollow.platform.leaving import announces_leaving
from leadhollow.staging.engine_dialect import EngineReport, LoadOrder


class ReportDocument(msgspec.Struct, frozen=True, rename="camel"):
    """State of an engine.

    ``kv_used`` is the part of its key-value memory, in tokens, that cannot be evicted. ``born`` is
    the start time of the engine in Unix milliseconds.
    """

    models: tuple[LoadedModel, ...] = ()
    layers: tuple[LoadedLayers, ...] | LoadedLayers | None = None
    busy: bool = False
    sequence: int = 0
    queued: int = 0
    active: int = 0
    kv_used: int = 0
    kv_total: int = 0
    pace: float = 1.0
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)] = 0


class StagedPiecesDocument(msgspec.Struct, frozen=True):
    """Indices of the staged pieces of a model."""

    held: tuple[int, ...] = ()


class OrderDocument(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    """Order to hold the staged weights of the layers in a range, of all if there is none.

    ``precondition`` is the sequence expected in the report.
    """

    op: str
    model: str
    version: int
    start_mode: str
    precondition: int
    first: int | None = msgspec.field(default=None, name="from")
    target: int | None = None


_reports = msgspec.json.Decoder(ReportDocument)
_staged_pieces = msgspec.json.Decoder(StagedPiecesDocument)


class PlatformEngine:
    """Builds and decodes the calls of reports, staging and load orders."""

    __slots__ = ()

    def report_target(self) -> str:
        """Return the path of the report."""
        return "/-/report"

    def parse_report(self, head: ResponseHead, body: bytes) -> Result[EngineReport, Failure]:
        """Decode a report."""
        try:
            document = _reports.decode(body)
        except msgspec.MsgspecError as error:
            return Err(Failure(code=Code.ENGINE_FAILED, detail=f"report: {error}"))
        return Ok(
            EngineReport(
                served=served_versions(document.models, document.layers),
                busy=document.busy,
                sequence=document.sequence,
                active=document.active,
                queued=document.queued,
                memory_used_tokens=document.kv_used,
                memory_tokens=document.kv_total,
                pace=document.pace,
                born_ms=document.born,
                leaving=announces_leaving(head.headers),
            )
        )

    def stage_piece_target(self, model: str, index: int) -> str:
        """Return path and query of the call that stages a piece."""
        return f"/-/stage-put/{model}?pieceIndex={index}"

    def staged_piece_target(self, model: str, index: int) -> str:
        """Return path and query of the call that reads a staged piece."""
        return f"/-/stage-get/{model}?pieceIndex={index}"

    def staged_list_target(self, model: str) -> str:
        """Return the path of the list of staged pieces."""
        return f"/-/stage-get/{model}"

    def parse_staged_list(self, body: bytes) -> Result[list[int], Failure]:
        """Decode the list of staged pieces."""
        try:
            return Ok(list(_staged_pieces.decode(body).held))
        except msgspec.MsgspecError as error:
            return Err(Failure(code=Code.ENGINE_FAILED, detail=f"staged pieces: {error}"))

    def order_target(self) -> str:
        """Return the path of load orders."""
        return "/-/order"

    def encode_order(self, order: LoadOrder) -> bytes:
        """Encode a load order."""
        return msgspec.json.encode(
            OrderDocument(
                op="start",
                model=order.model,
                version=order.version,
                start_mode="preempt" if order.preempt else "wait",
                precondition=order.expected_sequence,
                first=None if order.end_layer is None else 0,
                target=order.end_layer,
            )
        )


__all__ = ["PlatformEngine"]
