"""What befell the entries from outside, and when."""

from __future__ import annotations

import time
from collections import defaultdict
from enum import Enum


class Befell(Enum):
    """What may befall an entry."""

    HOLD = "hold"
    KILL = "kill"
    STOP = "stop"
    LOG_BLOCKED = "log blocked"
    STARVED = "starved"  # ready to run, and no processor for it


class Span:
    """One such event.

    Attributes
    ----------
    to_s
        When it was over; infinite while it lasts.
    """

    __slots__ = ("from_s", "kind", "to_s")

    def __init__(self, *, kind: Befell, from_s: float, to_s: float = float("inf")) -> None:
        self.kind = kind
        self.from_s = from_s
        self.to_s = to_s

    def end(self) -> None:
        """Note that it is over."""
        self.to_s = time.monotonic()

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Tell whether it lasted at any moment of a time."""
        return self.from_s <= to_s and from_s <= self.to_s


class Timeline:
    """All spans, by entry."""

    __slots__ = ("_spans",)

    def __init__(self) -> None:
        self._spans: dict[str, list[Span]] = defaultdict(list)

    def note(self, vm: str, kind: Befell) -> Span:
        """Note that something begins now."""
        span = Span(kind=kind, from_s=time.monotonic())
        self._spans[vm].append(span)
        return span

    def begin(self, vm: str, gracefully: bool) -> Span:
        """Note that an entry is ended now."""
        return self.note(vm, Befell.STOP if gracefully else Befell.KILL)

    def add(self, vm: str, span: Span) -> None:
        """Note a span that is known."""
        self._spans[vm].append(span)

    def down(self, vm: str) -> bool:
        """Tell whether an entry is being ended now."""
        now_s = time.monotonic()
        ends = self.during(vm, now_s, now_s, Befell.KILL, Befell.STOP)
        return bool(ends)

    def during(self, vm: str, from_s: float, to_s: float, *kinds: Befell) -> list[Span]:
        """Give what befell an entry at any moment of a time."""
        spans = self._spans[vm]
        return [span for span in spans if span.kind in kinds and span.overlaps(from_s, to_s)]

    def count(self, kind: Befell) -> int:
        """Count the spans of a kind at all entries."""
        return sum(span.kind is kind for spans in self._spans.values() for span in spans)


__all__ = ["Befell", "Span", "Timeline"]
