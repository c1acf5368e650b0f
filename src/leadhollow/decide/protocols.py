"""Interfaces through which decisions see their environment."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from leadhollow.decide.server import Server


class EngineSource(Protocol):
    """Source of the known backend servers."""

    def servers(self, service: str) -> Sequence[Server]:
        """Return the backend servers of a service that take requests."""
        ...

    def hears_others(self) -> bool:
        """Tell whether a control replica currently relays what other entries have at engines."""
        ...

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a function to call when a slot may have become free."""
        ...


class VersionRules(Protocol):
    """Rules on the versions of weights that requests may begin on."""

    def oldest_allowed(self, model: str) -> int:
        """Return the lowest version that a request sent now may begin on."""
        ...

    def begin_by_s(self, model: str, version: int) -> float:
        """Return the time by which a request on a version must have begun."""
        ...

    def newest(self, model: str) -> int:
        """Return the newest named version, or 0 if there is none."""
        ...


__all__ = ["EngineSource", "VersionRules"]
