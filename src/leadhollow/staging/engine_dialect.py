"""What the product asks of an engine's interface."""

from __future__ import annotations

from typing import Protocol

from result import Result

from leadhollow.failure import Failure
from leadhollow.http1.messages import ResponseHead
from leadhollow.membership.instances import ServedVersion


class EngineReport:
    """State of an engine as it says itself.

    Parameters
    ----------
    served
        Weights that it holds.
    busy
        Whether an order is in progress.
    sequence
        Orders that it has begun since its start.
    active, queued
        Requests that run and that wait.
    memory_used_tokens, memory_tokens
        Memory that cannot be given up, and all of it.
    pace
        How much slower than declared it is; 1 is as declared.
    born_ms
        When it started, by its own clock; 0 where it does not say.
    leaving
        Whether it says that it is about to end.
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
    """Makes an engine load what lies in its stage.

    Parameters
    ----------
    preempt
        Whether requests in progress are broken off instead of finished first.
    expected_sequence
        The order is refused where the engine has begun another number of orders.
    """

    __slots__ = ("expected_sequence", "model", "preempt", "version")

    def __init__(self, *, model: str, version: int, preempt: bool, expected_sequence: int) -> None:
        self.model = model
        self.version = version
        self.preempt = preempt
        self.expected_sequence = expected_sequence


class EngineDialect(Protocol):
    """How an engine is spoken to by the process beside it."""

    def report_target(self) -> str:
        """Give the path of the report."""
        ...

    def parse_report(self, head: ResponseHead, body: bytes) -> Result[EngineReport, Failure]:
        """Decode a report and what its header fields say of the engine."""
        ...

    def stage_piece_target(self, model: str, index: int) -> str:
        """Give path and query under which a piece is staged."""
        ...

    def staged_piece_target(self, model: str, index: int) -> str:
        """Give path and query under which a staged piece is read back."""
        ...

    def staged_list_target(self, model: str) -> str:
        """Give the path under which staged pieces are listed."""
        ...

    def parse_staged_list(self, body: bytes) -> Result[list[int], Failure]:
        """Decode the list of staged pieces."""
        ...

    def order_target(self) -> str:
        """Give the path of orders."""
        ...

    def encode_order(self, order: LoadOrder) -> bytes:
        """Encode an order."""
        ...


__all__ = ["EngineDialect", "EngineReport", "LoadOrder"]
