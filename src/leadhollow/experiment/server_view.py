"""Emulated view of an entry: its engines, and a model with a single version."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from leadhollow.decide.server import Server
from leadhollow.membership.instances import InstanceState


class SingleVersion:
    """Version rules for a model whose weights never change."""

    def oldest_allowed(self, model: str) -> int:
        """Return 0, as every version is allowed."""
        return 0

    def newest(self, model: str) -> int:
        """Return the only version."""
        return 1

    def begin_by_s(self, model: str, version: int) -> float:
        """Return infinity, as requests may begin at any time."""
        return math.inf


class ServerView:
    """The engines as one entry sees them."""

    __slots__ = ("_listeners", "by_address")

    def __init__(self) -> None:
        self.by_address: dict[str, Server] = {}
        self._listeners: list[Callable[[], None]] = []

    def servers(self, service: str) -> Sequence[Server]:
        """Return the engines that accept requests."""
        return [
            server
            for server in self.by_address.values()
            if server.instance.state is InstanceState.READY
        ]

    def hears_others(self) -> bool:
        """Return True, as the use of other entries is always known."""
        return True

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a callback for changes."""
        self._listeners.append(listener)

    def changed(self) -> None:
        """Call the registered callbacks."""
        for listener in self._listeners:
            listener()


__all__ = ["ServerView", "SingleVersion"]
