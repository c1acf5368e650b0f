"""Decides which versions of weights a request may begin on now."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.membership.naming_times import NamingTimes
from leadhollow.settings.node import Bounds
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem
from leadhollow.state.weights_versions import versions_of
from leadhollow.weights.named_versions import NamedVersion

BEGIN_MARGIN_S = 0.25  # a request that has not begun this long before the limit is withdrawn
SEND_MARGIN_S = 0.7
"""Time before the age limit at which no more requests are sent to older weights, because a request
may wait at the engine."""


class VersionPolicy:
    """Tells which versions are too old, by the times at which newer ones were named.

    Parameters
    ----------
    times
        Times at which versions were named.
    clock
        Returns the loop time.
    """

    __slots__ = ("_bounds", "_cached", "_catalog", "_clock", "_named", "_seen_changes", "_times")

    def __init__(
        self,
        *,
        catalog: Catalog,
        times: NamingTimes,
        bounds: Bounds,
        clock: Callable[[], float],
    ) -> None:
        self._catalog = catalog
        self._times = times
        self._bounds = bounds
        self._clock = clock
        self._named: dict[str, list[int]] = {}  # named versions of each model, the newest first
        self._cached: dict[str, list[int]] = {}
        self._seen_changes = times.changes
        catalog.on_change(self._on_change)

    def oldest_allowed(self, model: str) -> int:
        """Return the lowest version that a request sent now may begin on."""
        limit_s = self._bounds.version_ms / 1000 - SEND_MARGIN_S
        for number in self._numbers(model):
            named_s = self._times.named_s(model, number)
            if named_s is None or self._clock() - named_s >= limit_s:
                return number
        return 0

    def begin_by_s(self, model: str, version: int) -> float:
        """Return the loop time by which a request on a version must have begun."""
        bound_s = float("inf")
        for number in self._numbers(model):
            named_s = self._times.named_s(model, number)
            if number > version and named_s is not None:
                bound_s = min(bound_s, named_s + self._bounds.version_ms / 1000)
        return bound_s - BEGIN_MARGIN_S

    def newest(self, model: str) -> int:
        """Return the newest named version, or 0 if there is none."""
        return next(iter(self._named.get(model, ())), 0)

    def _numbers(self, model: str) -> list[int]:
        """Return all versions that limit the use of older ones, newest first.

        The catalog keeps only the newest of them.
        """
        if self._seen_changes != self._times.changes:
            self._seen_changes = self._times.changes
            self._cached.clear()
        cached = self._cached.get(model)
        if cached is None:
            known = {*self._named.get(model, ()), *self._times.numbers(model)}
            cached = self._cached[model] = sorted(known, reverse=True)
        return cached

    def _on_change(self, items: list[CatalogItem]) -> None:
        for item in items:
            if isinstance(item.value, NamedVersion) and item.value.named:
                held = versions_of(self._catalog, item.value.model)
                self._named[item.value.model] = [found.number for found in held if found.named]
                self._cached.clear()


__all__ = ["SEND_MARGIN_S", "VersionPolicy"]
