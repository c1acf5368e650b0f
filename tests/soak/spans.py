"""Spans of time in which something was disturbed."""

from __future__ import annotations

import math


class Spans:
    """Begins and ends as they come; a span that has no end yet goes on."""

    __slots__ = ("_found",)

    def __init__(self) -> None:
        self._found: list[tuple[float, float]] = []

    def begin(self, now_s: float) -> None:
        """Note that a span begins."""
        self._found.append((now_s, math.inf))

    def end(self, now_s: float) -> None:
        """Note that all open spans end."""
        self._found = [
            (begin_s, now_s if math.isinf(end_s) else end_s) for begin_s, end_s in self._found
        ]

    def add(self, from_s: float, to_s: float) -> None:
        """Note a span whose end is known."""
        self._found.append((from_s, to_s))

    def touch(self, from_s: float, to_s: float) -> bool:
        """Tell whether a span lies in a stretch of time, or reaches into it."""
        return any(begin_s <= to_s and end_s >= from_s for begin_s, end_s in self._found)

    def clear_after(self, moment_s: float, lead_s: float) -> float:
        """Give the first moment from which on nothing is disturbed for some time."""
        while True:
            ends_s = [
                end_s
                for begin_s, end_s in self._found
                if begin_s <= moment_s + lead_s and end_s > moment_s
            ]
            if not ends_s:
                return moment_s
            moment_s = max(ends_s)
            if math.isinf(moment_s):
                return moment_s


__all__ = ["Spans"]
