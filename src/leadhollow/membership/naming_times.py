"""When each version of weights was named, by this process's clock.

A version's bound counts from its naming, and a process that starts later hears of the version as if
it were new. So ages travel: every process tells and learns how long ago a version was named. What
is told is never longer ago than it was, so the longest age that is heard counts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from leadhollow.kernel import clocks
from leadhollow.wire.generated.ttypes import VersionAge

SAME_S = 0.02  # ages are told in milliseconds and travel a few: a smaller difference is no news


class NamingTimes:
    """Loop times at which versions were named, as far as is known.

    Parameters
    ----------
    clock
        Gives the loop time.
    suspended
        Gives how long this machine has been suspended: a version ages meanwhile.
    """

    __slots__ = ("_clock", "_named_s", "_suspended", "changes")

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        suspended: Callable[[], float] = clocks.suspended_s,
    ) -> None:
        self._clock = clock
        self._suspended = suspended
        self._named_s: dict[tuple[str, int], float] = {}
        self.changes = 0  # counts what was learned, so that news can be told once

    def record(self, model: str, number: int) -> None:
        """Note that a version is named now, unless an earlier time is known."""
        self._learn(model, number, self._elapsed_s())

    def merge(self, ages: Iterable[VersionAge]) -> None:
        """Take what others know."""
        now_s = self._elapsed_s()
        for age in ages:
            self._learn(age.model, int(age.version), now_s - max(0, int(age.age_ms)) / 1000)

    def named_s(self, model: str, number: int) -> float | None:
        """Give the loop time at which a version was named, None where nobody said.

        It lies further back for each suspension since, so that the age which follows from it is
        what all others think.
        """
        named_s = self._named_s.get((model, number))
        return None if named_s is None else named_s - self._suspended()

    def ages(self) -> list[VersionAge]:
        """Give all that is known, to be told to others."""
        now_s = self._elapsed_s()
        return [
            VersionAge(model, number, int(1000 * (now_s - named_s)))
            for (model, number), named_s in self._named_s.items()
        ]

    def forget(self, model: str, oldest: int) -> None:
        """Drop the versions of a model that are older than one."""
        for key in [key for key in self._named_s if key[0] == model and key[1] < oldest]:
            del self._named_s[key]

    def _elapsed_s(self) -> float:
        return self._clock() + self._suspended()

    def _learn(self, model: str, number: int, named_s: float) -> None:
        known_s = self._named_s.get((model, number))
        if known_s is None or named_s < known_s - SAME_S:
            self._named_s[(model, number)] = named_s
            self.changes += 1


__all__ = ["NamingTimes"]
