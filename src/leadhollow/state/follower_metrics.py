"""Metrics of a replica: its catalog, and how far the other replicas are behind the leader."""

from __future__ import annotations

import asyncio

from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.metrics import Metrics
from leadhollow.state.replica import Replica
from leadhollow.state.status import follower_statuses

INTERVAL_S = 1.0


class FollowerMetrics(TaskService):
    """Sends gauges of the catalog, and of each follower while this replica leads."""

    __slots__ = ("_metrics", "_replica")

    def __init__(self, *, metrics: Metrics, replica: Replica) -> None:
        self._metrics = metrics
        self._replica = replica
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            catalog = self._replica.machine.catalog
            self._metrics.gauge("state.catalog.items", catalog.live_items)
            self._metrics.gauge("state.catalog.removed_items", catalog.removed_items)
            self._metrics.gauge("state.catalog.floor", catalog.floor)
            for follower in follower_statuses(self._replica):
                prefix = f"state.follower.{follower.replica}"
                self._metrics.gauge(f"{prefix}.entries_behind", follower.entries_behind)
                self._metrics.gauge(f"{prefix}.bytes_behind", follower.bytes_behind)
                self._metrics.gauge(f"{prefix}.progress_age_ms", follower.progress_age_ms)


__all__ = ["FollowerMetrics"]
