"""Measures how far the demand on the engines of a service exceeds their capacity."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

HALF_LIFE_S = 1.0  # of the weight of a decision
OVERLOAD_REFUSED_SHARE = 0.2  # of new requests; from here on the engines are certainly overloaded
OBJECTIVE_VALID_S = 5.0  # objectives of requests that were not seen for this long do not count
MIN_DECISIONS = 4.0  # fewer decisions do not give a meaningful share

BALANCE_GAIN = 8.0
"""Increase of the level for a difference of 1 between the refused share of all entries and the own
one. If the others refuse a tenth more, this entry asks for nearly as much certainty as under
overload."""

MAX_URGENCY = 9  # requests that are less urgent count as this one
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

    def without(self, part: DecisionCounts) -> DecisionCounts:
        """Return the counts that remain without some of them."""
        return DecisionCounts(made=self.made - part.made, refused=self.refused - part.refused)

    def decayed(self, age_s: float) -> DecisionCounts:
        """Return the counts with the weights that they have after some time."""
        factor = 2.0 ** (-age_s / HALF_LIFE_S)
        return DecisionCounts(made=self.made * factor, refused=self.refused * factor)


class DecisionKey(NamedTuple):
    """What recent decisions are counted by.

    Parameters
    ----------
    urgency
        Place among the urgencies that the route table gives the service; 0 is the most urgent.
    """

    service: str
    urgency: int = 0


class Pressure:
    """Recent decisions on new requests of one service, by this entry and by the others.

    All entries share the same engines. If an entry went by its own refusals alone and refused a
    little more than the others, it would ask for more certainty than they do, refuse even more, and
    leave the engines to them.

    Decisions are counted by urgency. The pressure on a request comes from requests that are at
    least as urgent, so refusals of less urgent ones do not raise the bar for it.
    """

    __slots__ = ("_decayed_s", "_objectives", "_own", "_peers")

    def __init__(self) -> None:
        self._own: dict[int, DecisionCounts] = {}  # by urgency
        self._peers: dict[int, DecisionCounts] = {}
        self._decayed_s = 0.0
        self._objectives: dict[float, float] = {}  # loop time at which each was last seen

    def record(self, *, refused: bool, now_s: float, urgency: int = 0) -> None:
        """Count a new request that was placed or refused."""
        self._decay(now_s)
        counts = self._own.setdefault(urgency, DecisionCounts())
        counts.made += 1.0
        counts.refused += 1.0 if refused else 0.0

    def own(self, now_s: float) -> dict[int, DecisionCounts]:
        """Return the recent decisions of this entry by urgency."""
        self._decay(now_s)
        return {urgency: counts.decayed(0.0) for urgency, counts in self._own.items()}

    def update_peers(self, decisions: Mapping[int, DecisionCounts], now_s: float) -> None:
        """Set the recent decisions of all other entries together, by urgency."""
        self._decay(now_s)
        self._peers = dict(decisions)

    def level(self, now_s: float, urgency: int = MAX_URGENCY) -> float:
        """Return the pressure, from 0 if no request is refused to 1 if engines are overloaded.

        Parameters
        ----------
        urgency
            Requests that are less urgent do not count.
        """
        return min(1.0, self._all(now_s, urgency).refused_share / OVERLOAD_REFUSED_SHARE)

    def balanced_level(self, now_s: float, urgency: int = MAX_URGENCY) -> float:
        """Return the pressure, raised if this entry refuses less than the others.

        An entry that refuses less asks for more certainty and so leaves engines to the others,
        until all entries refuse the same share.
        """
        advantage = self._advantage(now_s)
        return min(MAX_LEVEL, max(0.0, self.level(now_s, urgency) + BALANCE_GAIN * advantage))

    def served_share(self, now_s: float, urgency: int | None = None) -> float:
        """Return the share of recent requests of one urgency, or of all, that were placed."""
        self._decay(now_s)
        if urgency is None:
            return 1.0 - self._all(now_s, MAX_URGENCY).refused_share
        return 1.0 - self._of(urgency).refused_share

    def more_urgent_share(self, now_s: float, urgency: int) -> float:
        """Return the share of the room that more urgent requests ask for, 1 if they need it all."""
        total = self._all(now_s, MAX_URGENCY)
        wanted = self._all(now_s, urgency - 1).made
        placed = total.made - total.refused
        return min(1.0, wanted / placed) if placed > 0 else 1.0

    def _advantage(self, now_s: float) -> float:
        """Return by how much less this entry refuses than all would of its mix of urgencies."""
        overall = self._all(now_s, MAX_URGENCY).refused_share
        own = _total(self._own, MAX_URGENCY)
        if len(self._own.keys() | self._peers.keys()) <= 1:
            return overall - own.refused_share
        expected = sum(
            counts.made * self._of(urgency).refused_share for urgency, counts in self._own.items()
        )
        return (expected - own.refused) / max(MIN_DECISIONS, own.made)

    def _of(self, urgency: int) -> DecisionCounts:
        """Return the decisions of all entries on requests of one urgency."""
        total = DecisionCounts()
        for counts in (self._own.get(urgency), self._peers.get(urgency)):
            if counts is not None:
                total.add(counts)
        return total

    def _all(self, now_s: float, urgency: int) -> DecisionCounts:
        self._decay(now_s)
        total = _total(self._own, urgency)
        total.add(_total(self._peers, urgency))
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
        self._own = {urgency: found.decayed(age_s) for urgency, found in self._own.items()}
        self._peers = {urgency: found.decayed(age_s) for urgency, found in self._peers.items()}
        self._decayed_s = now_s


class Pressures:
    """Pressure of each service."""

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, Pressure] = {}

    def of(self, service: str) -> Pressure:
        """Return the pressure of a service."""
        return self._by_service.setdefault(service, Pressure())

    def highest(self, now_s: float) -> float:
        """Return the highest pressure of any service."""
        return max((found.level(now_s) for found in self._by_service.values()), default=0.0)

    def own(self, now_s: float) -> dict[DecisionKey, DecisionCounts]:
        """Return the recent decisions of this entry on new requests."""
        return {
            DecisionKey(service=service, urgency=urgency): counts
            for service, found in self._by_service.items()
            for urgency, counts in found.own(now_s).items()
        }

    def update_peers(self, decisions: Mapping[DecisionKey, DecisionCounts], now_s: float) -> None:
        """Set the recent decisions of all other entries on new requests."""
        by_service: dict[str, dict[int, DecisionCounts]] = {}
        for key, counts in decisions.items():
            by_service.setdefault(key.service, {})[key.urgency] = counts
        for service, by_urgency in by_service.items():
            self.of(service).update_peers(by_urgency, now_s)


def _total(counts_by_urgency: Mapping[int, DecisionCounts], urgency: int) -> DecisionCounts:
    """Return the sum over requests that are at least as urgent."""
    total = DecisionCounts()
    for found, counts in counts_by_urgency.items():
        if found <= urgency:
            total.add(counts)
    return total


__all__ = ["MAX_URGENCY", "DecisionCounts", "DecisionKey", "Pressure", "Pressures"]
