"""Lease that permits one replica to send placement orders in its failure domain."""

from __future__ import annotations

import asyncio

from leadhollow.kernel import clocks
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import Settings
from leadhollow.state.client import StateClient
from leadhollow.weights.tracker_choice import domain_lease_name

LEASE_USE_RATIO = 0.9  # part of the lease time after which the holder stops using it

log = get_logger("lease")


class DomainLease(TaskService):
    """Acquires and renews the lease of the own failure domain.

    ``valid`` depends only on the local clock. A holder that is partitioned or was suspended
    therefore stops before another replica can acquire the lease, without receiving any message.
    """

    __slots__ = ("_settings", "_state", "_valid_until_s", "fence")

    def __init__(self, *, settings: Settings, state: StateClient) -> None:
        self._settings = settings
        self._state = state
        super().__init__()
        self._valid_until_s = 0.0
        self.fence = 0

    @property
    def valid(self) -> bool:
        """Whether this replica holds the lease now."""
        return self.fence > 0 and clocks.elapsed_s() < self._valid_until_s

    async def drain(self) -> None:
        """Stop renewing and using the lease; it expires by itself."""
        await self.stop()
        self._valid_until_s = 0.0

    async def _work(self) -> None:
        interval_s = self._settings.domain.lease_ttl_ms / 1000 / 4
        while True:
            requested_s = clocks.elapsed_s()
            fence = self.fence if self.valid else 0
            reply = await self._state.renew_lease(
                name=domain_lease_name(self._settings.failure_domain),
                holder=self._settings.vm,
                fence=fence,
                timeout_ms=self._settings.domain.lease_ttl_ms / 2,
            )
            if reply.is_ok() and reply.unwrap().renewed:
                granted = reply.unwrap()
                if granted.fence != self.fence:
                    log.info("domain lease acquired", vm=self._settings.vm, fence=granted.fence)
                self.fence = granted.fence
                self._valid_until_s = requested_s + granted.ttl_ms / 1000 * LEASE_USE_RATIO
            await asyncio.sleep(interval_s)


__all__ = ["DomainLease"]
