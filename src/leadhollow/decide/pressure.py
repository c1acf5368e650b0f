"""How much more is asked of the engines of a service than they can do."""

from __future__ import annotations

MEMORY_S = 1.0  # after it a refusal counts half as much
FULL_SHARE = 0.2  # of new requests refused; from there on the engines are overloaded for certain
OBJECTIVE_MEMORY_S = 5.0  # a kind of request that was not seen for so long counts no more
LEAST_DECISIONS = 4.0  # fewer say nothing

BALANCE = 8.0
"""Levels for a difference of 1 between the share that all entries refuse and our own: a tenth more
refused elsewhere asks for nearly as much certainty as an overload does."""

MOST = 2.0  # level of an entry that is far ahead of the others


class DecisionCounts:
    """New requests that were decided on lately; older ones count less.

    Parameters
    ----------
    made
        All of them.
    refused
        Those that were refused.
    """

    __slots__ = ("made", "refused")

    def __init__(self, *, made: float = 0.0, refused: float = 0.0) -> None:
        self.made = made
        self.refused = refused

    @property
    def refused_share(self) -> float:
        """Part of them that was refused; few say little."""
        return self.refused / max(LEAST_DECISIONS, self.made)

    def add(self, other: DecisionCounts) -> None:
        """Count others in."""
        self.made += other.made
        self.refused += other.refused

    def decayed(self, age_s: float) -> DecisionCounts:
        """Give what counts of them after some seconds."""
        factor = 2.0 ** (-age_s / MEMORY_S)
        return DecisionCounts(made=self.made * factor, refused=self.refused * factor)


class Pressure:
    """What became of the new requests of one service lately, here and at the other entries.

    All entries use the same engines. One that went by its own refusals alone would, once it refuses
    a little more than the others, ask for more certainty than they, refuse more still, and leave
    the engines to them.
    """

    __slots__ = ("_noted_s", "_objectives", "_others", "_own")

    def __init__(self) -> None:
        self._own = DecisionCounts()
        self._others = DecisionCounts()
        self._noted_s = 0.0
        self._objectives: dict[float, float] = {}  # loop time at which each was seen last

    def note(self, *, refused: bool, now_s: float) -> None:
        """Count a new request that was placed or refused."""
        self._fade(now_s)
        self._own.made += 1.0
        self._own.refused += 1.0 if refused else 0.0

    def own(self, now_s: float) -> DecisionCounts:
        """Give what this entry decided lately."""
        self._fade(now_s)
        return DecisionCounts(made=self._own.made, refused=self._own.refused)

    def take_others(self, decisions: DecisionCounts, now_s: float) -> None:
        """Take what the other entries decided lately, all together."""
        self._fade(now_s)
        self._others = decisions

    def level(self, now_s: float) -> float:
        """Give 0 while every request is placed, up to 1 while the engines are overloaded."""
        return min(1.0, self._all(now_s).refused_share / FULL_SHARE)

    def balanced_level(self, now_s: float) -> float:
        """Give the level that this entry goes by: above the others' where it refuses less.

        Whoever is ahead of the others asks for more certainty than they do, and leaves engines to
        them, until all refuse the same share.
        """
        everybody = self._all(now_s).refused_share
        ahead = everybody - self._own.refused_share
        return min(MOST, max(0.0, self.level(now_s) + BALANCE * ahead))

    def _all(self, now_s: float) -> DecisionCounts:
        self._fade(now_s)
        total = DecisionCounts(made=self._own.made, refused=self._own.refused)
        total.add(self._others)
        return total

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
        age_s = now_s - self._noted_s
        self._own = self._own.decayed(age_s)
        self._others = self._others.decayed(age_s)
        self._noted_s = now_s


__all__ = ["Decisions", "Pressure"]
