"""Virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from leadhollow.experiment.scenario import MS_PER_S


class VirtualClock:
    """Events in the order of virtual time."""

    __slots__ = ("_events", "_number", "now_s")

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, when_s: float, work: Callable[[], None]) -> None:
        """Call a function at a time."""
        self._number += 1
        heapq.heappush(self._events, (max(when_s, self.now_s), self._number, work))

    def after_ms(self, delay_ms: float, work: Callable[[], None]) -> None:
        """Call a function after some milliseconds."""
        self.at(self.now_s + delay_ms / MS_PER_S, work)

    def run(self, until_s: float) -> None:
        """Let everything happen up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, work = heapq.heappop(self._events)
            work()


__all__ = ["VirtualClock"]
