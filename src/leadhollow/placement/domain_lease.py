"""Holds the lease to order within a failure domain."""

from __future__ import annotations

import asyncio

from leadhollow.kernel import clocks
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import Settings
from leadhollow.state.client import StateClient
from leadhollow.weights.tracker_choice import domain_lease_name

SAFETY = 0.9  # part of the lease time after which a holder stops by its own clock

log = get_logger("lease")


class DomainLease(TaskService):
    """Tries to take the lease of the own failure domain, then keeps renewing it.

    ``valid`` is answered from our own clock alone: a holder that is cut off, or was suspended,
    stops before anyone else may take over, with no message from anyone.
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
        """Whether we hold the lease now."""
        return self.fence > 0 and clocks.elapsed_s() < self._valid_until_s

    async def drain(self) -> None:
        """Stop ordering; the lease runs out by itself."""
        await self.stop()
        self._valid_until_s = 0.0

    async def _work(self) -> None:
        interval_s = self._settings.domain.lease_ttl_ms / 1000 / 4
        while True:
            asked_s = clocks.elapsed_s()
            fence = self.fence if self.valid else 0
            reply = await self._state.renew_lease(
                name=domain_lease_name(self._settings.failure_domain),
                holder=self._settings.vm,
                fence=fence,
                timeout_ms=self._settings.domain.lease_ttl_ms / 2,
            )
            if reply.is_ok() and reply.unwrap().renewed:
                answer = reply.unwrap()
                if answer.fence != self.fence:
                    log.info("lease taken", vm=self._settings.vm, fence=answer.fence)
                self.fence = answer.fence
                self._valid_until_s = asked_s + answer.ttl_ms / 1000 * SAFETY
            await asyncio.sleep(interval_s)


__all__ = ["DomainLease"]
