"""Measures how far the demand on the engines of a service exceeds their capacity."""

from __future__ import annotations

HALF_LIFE_S = 1.0  # of the weight of a decision
OVERLOAD_REFUSED_SHARE = 0.2  # of new requests; from here on the engines are certainly overloaded
OBJECTIVE_VALID_S = 5.0  # objectives of requests that were not seen for this long do not count
MIN_DECISIONS = 4.0  # fewer decisions do not give a meaningful share

BALANCE_GAIN = 8.0
"""Increase of the level for a difference of 1 between the refused share of all entries and the own
one. If the others refuse a tenth more, this entry asks for nearly as much certainty as under
overload."""

MAX_LEVEL = 2.0  # level of an entry that refuses far less than the others


class DecisionCounts:
    """Recent decisions on new requests, weighted by age.

    Parameters
    ----------
    made
        All decisions.
    refused
        Those that were refusals.
    """

    __slots__ = ("made", "refused")

    def __init__(self, *, made: float = 0.0, refused: float = 0.0) -> None:
        self.made = made
        self.refused = refused

    @property
    def refused_share(self) -> float:
        """Share of refusals; lowered if there are only a few decisions."""
        return self.refused / max(MIN_DECISIONS, self.made)

    def add(self, other: DecisionCounts) -> None:
        """Add other counts."""
        self.made += other.made
        self.refused += other.refused

    def decayed(self, age_s: float) -> DecisionCounts:
        """Return the counts with the weights that they have after some time."""
        factor = 2.0 ** (-age_s / HALF_LIFE_S)
        return DecisionCounts(made=self.made * factor, refused=self.refused * factor)


class Pressure:
    """Recent decisions on new requests of one service, by this entry and by the others.

    All entries share the same engines. If an entry went by its own refusals alone and refused a
    little more than the others, it would ask for more certainty than they do, refuse even more, and
    leave the engines to them.
    """

    __slots__ = ("_decayed_s", "_objectives", "_own", "_peers")

    def __init__(self) -> None:
        self._own = DecisionCounts()
        self._peers = DecisionCounts()
        self._decayed_s = 0.0
        self._objectives: dict[float, float] = {}  # loop time at which each was last seen

    def record(self, *, refused: bool, now_s: float) -> None:
        """Count a new request that was placed or refused."""
        self._decay(now_s)
        self._own.made += 1.0
        self._own.refused += 1.0 if refused else 0.0

    def own(self, now_s: float) -> DecisionCounts:
        """Return the recent decisions of this entry."""
        self._decay(now_s)
        return DecisionCounts(made=self._own.made, refused=self._own.refused)

    def update_peers(self, decisions: DecisionCounts, now_s: float) -> None:
        """Set the recent decisions of all other entries together."""
        self._decay(now_s)
        self._peers = decisions

    def level(self, now_s: float) -> float:
        """Return the pressure, from 0 if no request is refused to 1 if engines are overloaded."""
        return min(1.0, self._all(now_s).refused_share / OVERLOAD_REFUSED_SHARE)

    def balanced_level(self, now_s: float) -> float:
        """Return the pressure, raised if this entry refuses less than the others.

        An entry that refuses less asks for more certainty and so leaves engines to the others,
        until all entries refuse the same share.
        """
        overall = self._all(now_s).refused_share
        advantage = overall - self._own.refused_share
        return min(MAX_LEVEL, max(0.0, self.level(now_s) + BALANCE_GAIN * advantage))

    def _all(self, now_s: float) -> DecisionCounts:
        self._decay(now_s)
        total = DecisionCounts(made=self._own.made, refused=self._own.refused)
        total.add(self._peers)
        return total

    def shortest_objective_s(self, objective_s: float, now_s: float) -> float:
        """Record the objective of a request and return the shortest recent one of the service."""
        self._objectives[objective_s] = now_s
        seen = {
            found: seen_s
            for found, seen_s in self._objectives.items()
            if now_s - seen_s < OBJECTIVE_VALID_S
        }
        self._objectives = seen
        return min(seen)

    def _decay(self, now_s: float) -> None:
        age_s = now_s - self._decayed_s
        self._own = self._own.decayed(age_s)
        self._peers = self._peers.decayed(age_s)
        self._decayed_s = now_s


__all__ = ["DecisionCounts", "Pressure"]
