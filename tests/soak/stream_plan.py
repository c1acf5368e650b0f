"""What engines do with streams, by the seed's choice."""

from __future__ import annotations

import random
from collections import defaultdict

from tests.node.streaming import Script

LONG_PAUSE_S = (0.2, 3.0)
STEP_S = (0.01, 0.06)
PREEMPTED_S = (1.0, 3.5)
DRIP_S = (0.02, 0.3)
HANGS = 0.01
ENDS_SHORT = 0.02
BREAKS_OFF = 0.03
PREEMPTS = 0.1
PAUSES = 0.4
DRIPS = 0.15


class StreamPlan(Script):
    """A script that may also stop for good, or end in the middle.

    Attributes
    ----------
    head_first
        Whether the head of the answer comes at once, and not with the first event.
    hangs_at, short_at, torn_at
        Event before which the engine falls silent for good, ends the answer cleanly, or breaks off
        in its middle; 0 where it does not.
    """

    def __init__(self, *, pause_s: float, pauses_s: dict[int, float], drip_s: float) -> None:
        super().__init__(pause_s=pause_s, pauses_s=pauses_s, drip_s=drip_s)
        self.head_first = False
        self.hangs_at = 0
        self.short_at = 0
        self.torn_at = 0

    def pause_before_s(self, number: int) -> float:
        """Give the pause before an event."""
        return self.pauses_s.get(number, self.pause_s)


class Planner:
    """Makes a plan for each run of each request."""

    __slots__ = ("_runs", "_seed")

    def __init__(self, *, seed: int) -> None:
        self._seed = seed
        self._runs: dict[str, int] = defaultdict(int)

    def plan(self, request: str, first: int, events: int) -> StreamPlan:
        """Plan the next run of a request, whose first event has a number."""
        self._runs[request] += 1
        source = random.Random(f"{self._seed} {request} {self._runs[request]}")
        return _plan(source, range(first, events + 1))


def _plan(source: random.Random, numbers: range) -> StreamPlan:
    pauses_s: dict[int, float] = {}
    if source.random() < PAUSES:
        for _ in range(source.randint(1, 2)):
            pauses_s[_place(source, numbers)] = source.uniform(*LONG_PAUSE_S)
    if source.random() < PREEMPTS:
        pauses_s[_place(source, numbers)] = source.uniform(*PREEMPTED_S)
    drip_s = source.uniform(*DRIP_S) if source.random() < DRIPS else 0.0
    plan = StreamPlan(pause_s=source.uniform(*STEP_S), pauses_s=pauses_s, drip_s=drip_s)
    plan.head_first = source.random() < 0.3
    chance = source.random()
    if chance < HANGS:
        plan.hangs_at = _place(source, numbers)
    elif chance < HANGS + ENDS_SHORT:
        plan.short_at = _place(source, numbers)
    elif chance < HANGS + ENDS_SHORT + BREAKS_OFF:
        plan.torn_at = _place(source, numbers)
    return plan


def _place(source: random.Random, numbers: range) -> int:
    return source.choice(numbers) if numbers else 0


__all__ = ["Planner", "StreamPlan"]
