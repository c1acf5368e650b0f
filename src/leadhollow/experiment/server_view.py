"""What an entry sees: engines, and weights that never change."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from leadhollow.decide.server import Server
from leadhollow.membership.instances import InstanceState


class SingleVersion:
    """Weights that never change."""

    def oldest_allowed(self, model: str) -> int:
        """Allow every version."""
        return 0

    def newest(self, model: str) -> int:
        """Give the only version."""
        return 1

    def begin_by_s(self, model: str, version: int) -> float:
        """Set no bound."""
        return math.inf


class ServerView:
    """Engines as one entry sees them."""

    __slots__ = ("_listeners", "by_address")

    def __init__(self) -> None:
        self.by_address: dict[str, Server] = {}
        self._listeners: list[Callable[[], None]] = []

    def servers(self, service: str) -> Sequence[Server]:
        """Give the engines that take requests."""
        return [
            found
            for found in self.by_address.values()
            if found.instance.state is InstanceState.READY
        ]

    def hears_others(self) -> bool:
        """Tell that other entries are heard."""
        return True

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function at each change."""
        self._listeners.append(listener)

    def changed(self) -> None:
        """Tell that something changed."""
        for listener in self._listeners:
            listener()


__all__ = ["OneVersion", "ServerView"]
