"""Leases shares of the domain's capacity and limits to its entries."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import active_s
from leadhollow.membership.applied_revisions import AppliedRevisions
from leadhollow.observe.logs import get_logger
from leadhollow.placement.domain_lease import DomainLease
from leadhollow.placement.fair_share import Claimant, weighted_max_min
from leadhollow.settings.model import Settings
from leadhollow.state.catalog import Catalog
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import DemandReport, GroupShare, ShareLease
from leadhollow.wire.handlers import HandlerTable

SHARE_VALID_MS = 2_000
DEMAND_VALID_S = 2.0
HEADROOM = 1.5  # demand may grow by this much before the next report

log = get_logger("allocator")


class _EntryDemand:
    __slots__ = ("heard_s", "wanted")

    def __init__(self, *, wanted: dict[str, int], heard_s: float) -> None:
        self.wanted = wanted
        self.heard_s = heard_s


class Allocator:
    """Divides each group's part of this domain among the entries that ask for it.

    A group's limit is split over failure domains in fixed parts, so that domains that are cut
    off from each other together never exceed it; inside the domain the parts follow demand.
    """

    __slots__ = ("_applied", "_catalog", "_demands", "_lease", "_settings")

    def __init__(
        self,
        *,
        settings: Settings,
        applied: AppliedRevisions,
        catalog: Catalog,
        lease: DomainLease,
        handlers: HandlerTable,
    ) -> None:
        self._settings = settings
        self._applied = applied
        self._catalog = catalog
        self._lease = lease
        self._demands: dict[str, _EntryDemand] = {}
        handlers.on_call(DemandReport, self._on_demand)

    async def start(self) -> Result[None, Failure]:
        """Nothing to begin."""
        return Ok(None)

    async def drain(self) -> None:
        """Nothing to finish."""

    async def stop(self) -> None:
        """Nothing to release."""

    async def _on_demand(
        self, report: DemandReport, connection: Connection
    ) -> Result[ShareLease, Failure]:
        now_s = active_s()
        self._applied.record(vm=report.vm, revision=report.applied_revision or 0, now_s=now_s)
        if not self._lease.valid:
            return Err(Failure(code=Code.ALLOCATOR_ABSENT))
        wanted = {demand.group: demand.waiting + demand.running for demand in report.groups or ()}
        self._demands[report.vm] = _EntryDemand(wanted=wanted, heard_s=now_s)
        for vm, demand in list(self._demands.items()):
            if now_s - demand.heard_s > DEMAND_VALID_S:
                del self._demands[vm]
        return Ok(ShareLease(self._shares(report.vm), SHARE_VALID_MS, len(self._demands)))

    def _shares(self, vm: str) -> list[GroupShare]:
        shares = []
        for group in self._demands[vm].wanted:
            stored = self._catalog.row(group)
            if stored is None:
                continue
            part = self._domain_part()
            slots = self._slice(vm, group, stored.row.limits.concurrency * part)
            tokens_per_s = self._slice(vm, group, stored.row.limits.tokens_per_s * part)
            shares.append(GroupShare(group, slots, tokens_per_s))
        return shares

    def _domain_part(self) -> float:
        """Give this domain's part of every limit: its part of the entries."""
        return len(self._settings.own_domain_replicas()) / len(self._settings.domain_replicas)

    def _slice(self, vm: str, group: str, limit: float) -> float:
        """Divide a limit among entries by demand, then the rest evenly."""
        claimants = {
            name: Claimant(weight=1.0, demand=demand.wanted.get(group, 0) * HEADROOM)
            for name, demand in self._demands.items()
        }
        given = weighted_max_min(claimants, limit)
        rest = limit - sum(given.values())
        return given.get(vm, 0.0) + rest / max(len(claimants), 1)


__all__ = ["Allocator"]
