"""Metrics of what callers make a process hold."""

from __future__ import annotations

import asyncio

from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.metrics import Metrics
from leadhollow.overload.memory import CallerMemory

INTERVAL_S = 1.0


class OverloadMetrics(TaskService):
    """Sends the state of the account of callers' memory every ``INTERVAL_S``.

    The gauges ``callers.shed``, ``callers.closed`` and ``callers.refused`` count since the start of
    the process.
    """

    __slots__ = ("_memory", "_metrics")

    def __init__(self, *, metrics: Metrics, memory: CallerMemory) -> None:
        self._metrics = metrics
        self._memory = memory
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.send()

    def send(self) -> None:
        """Send all gauges once."""
        memory = self._memory
        memory.measure()
        self._metrics.gauge("callers.held_bytes", memory.held_bytes)
        self._metrics.gauge("callers.limit_bytes", memory.limit_bytes)
        self._metrics.gauge("callers.connections", memory.connection_count)
        self._metrics.gauge("callers.shed", memory.shed_count)
        self._metrics.gauge("callers.closed", memory.closed_count)
        self._metrics.gauge("callers.refused", memory.refused_count)


__all__ = ["OverloadMetrics"]
