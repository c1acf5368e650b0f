"""Metrics of how far the logs of the other replicas are behind the leader's."""

from __future__ import annotations

import asyncio

from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.metrics import Metrics
from leadhollow.state.replica import Replica
from leadhollow.state.status import follower_statuses

INTERVAL_S = 1.0


class FollowerMetrics(TaskService):
    """Sends gauges of each follower while this replica leads."""

    __slots__ = ("_metrics", "_replica")

    def __init__(self, *, metrics: Metrics, replica: Replica) -> None:
        self._metrics = metrics
        self._replica = replica
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            for follower in follower_statuses(self._replica):
                prefix = f"state.follower.{follower.replica}"
                self._metrics.gauge(f"{prefix}.entries_behind", follower.entries_behind)
                self._metrics.gauge(f"{prefix}.bytes_behind", follower.bytes_behind)
                self._metrics.gauge(f"{prefix}.progress_age_ms", follower.progress_age_ms)


__all__ = ["FollowerMetrics"]
