"""Leases shares of the group limits to the entries of a failure domain."""

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
DEMAND_HEADROOM = 1.5  # factor by which demand may grow before the next report

log = get_logger("allocator")


class _EntryDemand:
    __slots__ = ("received_s", "requests_by_group")

    def __init__(self, *, requests_by_group: dict[str, int], received_s: float) -> None:
        self.requests_by_group = requests_by_group
        self.received_s = received_s


class Allocator:
    """Divides the domain's share of each group limit among the entries that report demand.

    Each failure domain has a fixed share of a group's limit. Domains that are partitioned from each
    other therefore never exceed the limit together. Within the domain, shares follow demand.
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
        handlers.on_call(DemandReport, self._handle_report)

    async def start(self) -> Result[None, Failure]:
        """Do nothing; requests are handled from construction on."""
        return Ok(None)

    async def drain(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    async def _handle_report(
        self, report: DemandReport, connection: Connection
    ) -> Result[ShareLease, Failure]:
        now_s = active_s()
        self._applied.record(vm=report.vm, revision=report.applied_revision or 0, now_s=now_s)
        if not self._lease.valid:
            return Err(Failure(code=Code.ALLOCATOR_ABSENT))
        requests_by_group = {
            demand.group: demand.waiting + demand.running for demand in report.groups or ()
        }
        self._demands[report.vm] = _EntryDemand(
            requests_by_group=requests_by_group, received_s=now_s
        )
        for vm, demand in list(self._demands.items()):
            if now_s - demand.received_s > DEMAND_VALID_S:
                del self._demands[vm]
        return Ok(ShareLease(self._shares(report.vm), SHARE_VALID_MS, len(self._demands)))

    def _shares(self, vm: str) -> list[GroupShare]:
        shares = []
        for group in self._demands[vm].requests_by_group:
            stored = self._catalog.row(group)
            if stored is None:
                continue
            share = self._domain_share()
            slots = self._entry_share(vm, group, stored.row.limits.concurrency * share)
            tokens_per_s = self._entry_share(vm, group, stored.row.limits.tokens_per_s * share)
            shares.append(GroupShare(group, slots, tokens_per_s))
        return shares

    def _domain_share(self) -> float:
        """Return the domain's share of every limit, which is its share of all entries."""
        return len(self._settings.own_domain_replicas()) / len(self._settings.domain_replicas)

    def _entry_share(self, vm: str, group: str, limit: float) -> float:
        """Return an entry's share of a limit: by demand, plus an even part of the remainder."""
        claimants = {
            name: Claimant(
                weight=1.0, demand=demand.requests_by_group.get(group, 0) * DEMAND_HEADROOM
            )
            for name, demand in self._demands.items()
        }
        allocated = weighted_max_min(claimants, limit)
        remainder = limit - sum(allocated.values())
        return allocated.get(vm, 0.0) + remainder / max(len(claimants), 1)


__all__ = ["Allocator"]
