"""Backend servers that say that they are cold and count requests."""

from __future__ import annotations

import asyncio

from tests.node.limiting import LimitingEngine, LimitingServer

COLD_START_S = 1.0
COLD_PER_S = 6.0
BOUND = 1.5 * COLD_PER_S + 5


class _Cold:
    """Declares the rate of cold servers, and announces a cold time that the test sets.

    Attributes
    ----------
    cold_until_s
        Loop time until which the server is cold.
    """

    cold_until_s = 0.0

    def become_cold(self, time_s: float) -> float:
        """Become cold for a time and return the present loop time."""
        now_s = asyncio.get_running_loop().time()
        self.cold_until_s = now_s + time_s
        return now_s

    def record(self) -> dict[str, object]:
        """Describe the service for the route table."""
        described = super().record()  # type: ignore[misc]
        return {**described, "coldStartS": COLD_START_S, "coldPerS": COLD_PER_S}

    def heartbeat(self) -> dict[str, object]:
        """Describe the server, with the remaining cold time."""
        remaining_s = self.cold_until_s - asyncio.get_running_loop().time()
        sent = super().heartbeat()  # type: ignore[misc]
        return {**sent, "coldRemainingMs": max(0, int(1000 * remaining_s))}


class ColdServer(_Cold, LimitingServer):
    """Plain server that can be cold."""


class ColdEngine(_Cold, LimitingEngine):
    """Model engine that can be cold."""


__all__ = ["BOUND", "COLD_PER_S", "COLD_START_S", "ColdEngine", "ColdServer"]
