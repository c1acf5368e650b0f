"""The interface to an engine: its report, its stage and its load orders."""

from __future__ import annotations

from typing import Protocol

from result import Result

from leadhollow.failure import Failure
from leadhollow.http1.messages import ResponseHead
from leadhollow.membership.instances import ServedVersion


class EngineReport:
    """State of an engine as it reports it.

    Parameters
    ----------
    served
        Weight versions that it holds, with their layers.
    busy
        Whether a load order is in progress.
    sequence
        Number of load orders that it has begun since its start.
    active, queued
        Number of running and of waiting requests.
    memory_used_tokens, memory_tokens
        Memory in use that cannot be released, and all memory.
    pace
        Factor by which it is slower than declared; 1 means as declared.
    born_ms
        When it started, by its own clock; 0 if it does not report it.
    leaving
        Whether it reports that it is about to end.
    """

    __slots__ = (
        "active",
        "born_ms",
        "busy",
        "leaving",
        "memory_tokens",
        "memory_used_tokens",
        "pace",
        "queued",
        "sequence",
        "served",
    )

    def __init__(
        self,
        *,
        served: tuple[ServedVersion, ...],
        busy: bool,
        sequence: int,
        active: int,
        queued: int,
        memory_used_tokens: int,
        memory_tokens: int,
        pace: float,
        born_ms: int = 0,
        leaving: bool = False,
    ) -> None:
        self.leaving = leaving
        self.served = served
        self.born_ms = born_ms
        self.busy = busy
        self.sequence = sequence
        self.active = active
        self.queued = queued
        self.memory_used_tokens = memory_used_tokens
        self.memory_tokens = memory_tokens
        self.pace = pace


class LoadOrder:
    """An order to an engine to hold the staged weights.

    Parameters
    ----------
    end_layer
        The engine holds the layers before this one and drops all others; None for all layers.
    preempt
        Whether requests in progress are aborted; otherwise they finish first.
    expected_sequence
        The engine refuses the order if it has begun a different number of load orders.
    """

    __slots__ = ("end_layer", "expected_sequence", "model", "preempt", "version")

    def __init__(
        self,
        *,
        model: str,
        version: int,
        preempt: bool,
        expected_sequence: int,
        end_layer: int | None = None,
    ) -> None:
        self.end_layer = end_layer
        self.model = model
        self.version = version
        self.preempt = preempt
        self.expected_sequence = expected_sequence


class EngineDialect(Protocol):
    """Encodes requests to an engine and decodes its responses."""

    def report_target(self) -> str:
        """Return the path of the report."""
        ...

    def parse_report(self, head: ResponseHead, body: bytes) -> Result[EngineReport, Failure]:
        """Decode a report and the header fields that describe the engine."""
        ...

    def stage_piece_target(self, model: str, index: int) -> str:
        """Return the path and query to stage a piece."""
        ...

    def staged_piece_target(self, model: str, index: int) -> str:
        """Return the path and query to read a staged piece back."""
        ...

    def staged_list_target(self, model: str) -> str:
        """Return the path that lists the staged pieces."""
        ...

    def parse_staged_list(self, body: bytes) -> Result[list[int], Failure]:
        """Decode the list of staged pieces."""
        ...

    def order_target(self) -> str:
        """Return the path of load orders."""
        ...

    def encode_order(self, order: LoadOrder) -> bytes:
        """Encode a load order."""
        ...


__all__ = ["EngineDialect", "EngineReport", "LoadOrder"]
