"""Metrics of the process itself: CPU time, memory and control traffic with other processes."""

from __future__ import annotations

import asyncio
import resource
from pathlib import Path

from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.metrics import Metrics
from leadhollow.wire.traffic import WireTraffic

INTERVAL_S = 1.0
PAGE_BYTES = resource.getpagesize()


class ProcessMetrics(TaskService):
    """Sends gauges of this process every `INTERVAL_S`."""

    __slots__ = ("_metrics", "_traffic")

    def __init__(self, *, metrics: Metrics, traffic: WireTraffic) -> None:
        self._metrics = metrics
        self._traffic = traffic
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            usage = resource.getrusage(resource.RUSAGE_SELF)
            self._metrics.gauge("process.cpu_ms", (usage.ru_utime + usage.ru_stime) * 1000)
            self._metrics.gauge("process.resident_bytes", resident_bytes())
            self._metrics.gauge("wire.control_sent_bytes", self._traffic.control_sent_bytes)
            self._metrics.gauge("wire.control_received_bytes", self._traffic.control_received_bytes)
            self._metrics.gauge("wire.frames_refused", self._traffic.frames_refused)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    fields = Path("/proc/self/statm").read_text(encoding="ascii").split()
    return int(fields[1]) * PAGE_BYTES


__all__ = ["ProcessMetrics", "resident_bytes"]
