"""What decisions ask of their surroundings."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from leadhollow.decide.server import Server


class EngineSource(Protocol):
    """Backend servers that are known."""

    def servers(self, service: str) -> Sequence[Server]:
        """Give the backend servers of a service that take requests."""
        ...

    def hears_others(self) -> bool:
        """Tell whether what other entries have at engines is passed on to us."""
        ...

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function when a place may have become free."""
        ...


class VersionRules(Protocol):
    """Which weights requests may begin on."""

    def oldest_allowed(self, model: str) -> int:
        """Give the lowest version that a request sent now may begin on."""
        ...

    def begin_by_s(self, model: str, version: int) -> float:
        """Give the time by which a request on a version must have begun."""
        ...

    def newest(self, model: str) -> int:
        """Give the newest version that was named, 0 where there is none."""
        ...


__all__ = ["EngineSource", "WeightsRule"]
