"""Virtual time for simulations."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from leadhollow.experiment.scenario import MS_PER_S


class VirtualClock:
    """A discrete-event scheduler that runs callbacks in the order of virtual time."""

    __slots__ = ("_events", "_sequence", "now_s")

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time; a time in the past means now."""
        self._sequence += 1
        heapq.heappush(self._events, (max(at_s, self.now_s), self._sequence, callback))

    def call_after_ms(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in milliseconds."""
        self.call_at(self.now_s + delay_ms / MS_PER_S, callback)

    def run_until(self, until_s: float) -> None:
        """Run all callbacks that are due up to a virtual time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()


__all__ = ["VirtualClock"]
