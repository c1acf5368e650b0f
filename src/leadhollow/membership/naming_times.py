"""Times at which versions of weights were named, by this process's clock.

The time bound of a version counts from its naming. A process that starts later would take the
version for new. Control replicas therefore exchange the ages of versions with each other, and with
entries and stagers in both directions, so that the ages outlive a restart of all replicas. A
reported age is never longer than the true one, so the longest reported age is used.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from leadhollow.kernel import clocks
from leadhollow.wire.generated.ttypes import VersionAge

MAX_VERSIONS = 32
"""Times kept per model. A version's time limits the use of all older ones, also after the version
itself was evicted because newer ones had been named."""

MIN_DIFFERENCE_S = 0.02
"""Smaller corrections are ignored: ages are rounded to milliseconds and take some to arrive."""


class NamingTimes:
    """Known loop times at which versions were named.

    Parameters
    ----------
    clock
        Returns the loop time.
    suspended
        Returns how long this machine has been suspended in total; versions age during suspensions.

    Attributes
    ----------
    changes
        Number of times that were recorded or corrected; callers compare it to detect changes.
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
        self.changes = 0

    def record(self, model: str, number: int) -> None:
        """Record that a version is named now, unless an earlier time is known."""
        self._record_earliest(model, number, self._elapsed_s())

    def merge(self, ages: Iterable[VersionAge]) -> None:
        """Merge the ages that another process reported."""
        now_s = self._elapsed_s()
        for age in ages:
            self._record_earliest(
                age.model, int(age.version), now_s - max(0, int(age.age_ms)) / 1000
            )

    def named_s(self, model: str, number: int) -> float | None:
        """Return the loop time at which a version was named, None if unknown.

        Suspensions are subtracted. The age that follows from the result agrees with other machines.
        """
        named_s = self._named_s.get((model, number))
        return None if named_s is None else named_s - self._suspended()

    def ages(self) -> list[VersionAge]:
        """Return the ages of all known versions, to be sent to other processes."""
        now_s = self._elapsed_s()
        return [
            VersionAge(model, number, int(1000 * (now_s - named_s)))
            for (model, number), named_s in self._named_s.items()
        ]

    def numbers(self, model: str) -> list[int]:
        """Return the versions of a model whose time is known, newest first."""
        return sorted((number for name, number in self._named_s if name == model), reverse=True)

    def _elapsed_s(self) -> float:
        return self._clock() + self._suspended()

    def _record_earliest(self, model: str, number: int, named_s: float) -> None:
        known_s = self._named_s.get((model, number))
        if known_s is None or named_s < known_s - MIN_DIFFERENCE_S:
            self._named_s[(model, number)] = named_s
            self.changes += 1
            for old in self.numbers(model)[MAX_VERSIONS:]:
                del self._named_s[(model, old)]


__all__ = ["NamingTimes"]
