"""How much more is asked of the engines of a service than they can do."""

from __future__ import annotations

MEMORY_S = 1.0  # after it a refusal counts half as much
FULL_SHARE = 0.2  # of new requests refused; from there on the engines are overloaded for certain
OBJECTIVE_MEMORY_S = 5.0  # a kind of request that was not seen for so long counts no more
LEAST_DECISIONS = 4.0  # fewer say nothing


class Pressure:
    """What became of the new requests of one service lately."""

    __slots__ = ("_decisions", "_noted_s", "_objectives", "_refusals")

    def __init__(self) -> None:
        self._decisions = 0.0
        self._refusals = 0.0
        self._noted_s = 0.0
        self._objectives: dict[float, float] = {}  # loop time at which each was seen last

    def note(self, *, refused: bool, now_s: float) -> None:
        """Count a new request that was placed or refused."""
        self._fade(now_s)
        self._decisions += 1.0
        self._refusals += 1.0 if refused else 0.0

    def level(self, now_s: float) -> float:
        """Give 0 while every request is placed, up to 1 while the engines are overloaded."""
        self._fade(now_s)
        share = self._refusals / max(LEAST_DECISIONS, self._decisions)
        return min(1.0, share / FULL_SHARE)

    def shortest_objective_s(self, objective_s: float, now_s: float) -> float:
        """Give the shortest objective of the requests of this service, this one's included."""
        self._objectives[objective_s] = now_s
        seen = {
            found: seen_s
            for found, seen_s in self._objectives.items()
            if now_s - seen_s < OBJECTIVE_MEMORY_S
        }
        self._objectives = seen
        return min(seen)

    def _fade(self, now_s: float) -> None:
        factor = 2.0 ** (-(now_s - self._noted_s) / MEMORY_S)
        self._decisions *= factor
        self._refusals *= factor
        self._noted_s = now_s


__all__ = ["Pressure"]
