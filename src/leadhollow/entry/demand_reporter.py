"""Reports demand to the allocator of the failure domain and applies the leased shares."""

from __future__ import annotations

import asyncio

from result import Err, Result

from leadhollow.codes import Code
from leadhollow.entry.group_limits import GroupLimits
from leadhollow.entry.scheduler import FairScheduler
from leadhollow.failure import Failure
from leadhollow.kernel.task_service import TaskService
from leadhollow.settings.model import Settings
from leadhollow.state.catalog import Catalog
from leadhollow.weights.tracker_choice import domain_lease_name
from leadhollow.wire.generated.ttypes import DemandReport, GroupDemand, ShareLease
from leadhollow.wire.peers import PeerPool

REPORT_INTERVAL_S = 0.5
CALL_TIMEOUT_MS = 800


class DemandReporter(TaskService):
    """Sends one demand report in each interval and applies the lease in the reply."""

    __slots__ = ("_catalog", "_limits", "_peers", "_scheduler", "_settings")

    def __init__(
        self,
        *,
        settings: Settings,
        catalog: Catalog,
        peers: PeerPool,
        scheduler: FairScheduler,
        limits: GroupLimits,
    ) -> None:
        self._settings = settings
        self._catalog = catalog
        self._peers = peers
        self._scheduler = scheduler
        self._limits = limits
        super().__init__()

    async def _work(self) -> None:
        while True:
            report = self._report()
            requested = await self._request_shares(report)
            if requested.is_ok():
                self._apply_shares(requested.unwrap())
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _report(self) -> DemandReport:
        groups = [
            GroupDemand(demand.group, demand.waiting, demand.running, int(demand.tokens_used))
            for demand in self._scheduler.demand()
            if demand.waiting or demand.running or demand.tokens_used
        ]
        return DemandReport(self._settings.vm, groups, self._catalog.revision)

    async def _request_shares(self, report: DemandReport) -> Result[ShareLease, Failure]:
        lease = self._catalog.lease(domain_lease_name(self._settings.failure_domain))
        holder = "" if lease is None else lease.holder
        for peer in self._settings.own_domain_replicas():
            if peer.vm == holder:
                return await self._peers.call(peer.address, report, timeout_ms=CALL_TIMEOUT_MS)
        return Err(Failure(code=Code.ALLOCATOR_ABSENT))

    def _apply_shares(self, lease: ShareLease) -> None:
        for share in lease.groups or ():
            self._limits.apply_lease(
                share.group,
                slots=share.slots,
                tokens_per_s=share.tokens_per_s,
                valid_s=lease.valid_ms / 1000,
            )
        self._scheduler.admit_waiting()


__all__ = ["DemandReporter"]
