"""Reports the catalog revisions that a failure domain's daemons run to the state replicas."""

from __future__ import annotations

import asyncio

from leadhollow.kernel.active_time import active_s
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.applied_revisions import AppliedRevisions
from leadhollow.membership.catalog_feed import CatalogFeed
from leadhollow.membership.domain_service import DomainService
from leadhollow.membership.summary import capacity_lines
from leadhollow.settings.model import Settings
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import AppliedReport, CapacityLine, DomainApplied
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

BATCH_WINDOW_S = 0.01
REPORT_INTERVAL_S = 2.0
MAX_LISTED_BEHIND = 8


class AppliedReporter(TaskService):
    """Reports when the lowest revision or the list of lagging daemons changes, else every 2 s."""

    __slots__ = ("_applied", "_domain", "_feed", "_peers", "_settings")

    def __init__(
        self,
        *,
        settings: Settings,
        peers: PeerPool,
        handlers: HandlerTable,
        feed: CatalogFeed,
        domain: DomainService,
        applied: AppliedRevisions,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._feed = feed
        self._domain = domain
        self._applied = applied
        super().__init__()
        handlers.on_oneway(AppliedReport, self._on_applied)

    def _on_applied(self, report: AppliedReport, connection: Connection) -> None:
        self._applied.record(vm=report.vm, revision=report.revision, now_s=active_s())

    async def _work(self) -> None:
        last: DomainApplied | None = None
        while True:
            self._applied.record(
                vm=self._settings.vm, revision=self._feed.catalog.revision, now_s=active_s()
            )
            self._applied.forget_silent(active_s())
            report = self._report()
            if not _same_revisions(last, report):
                await self._send(report)
                last = report
            if not await self._applied.changed(longest_s=REPORT_INTERVAL_S):
                last = None  # send an unchanged report as a sign of life
            await asyncio.sleep(BATCH_WINDOW_S)

    def _report(self) -> DomainApplied:
        behind = self._applied.behind(self._feed.catalog.revision)
        members = self._domain.members.members()
        return DomainApplied(
            self._settings.failure_domain,
            self._applied.lowest(),
            self._applied.count(),
            behind[:MAX_LISTED_BEHIND],
            self._settings.vm,
            _without_candidates(capacity_lines(members)),
            sum(member.announcement.origin_bytes or 0 for member in members),
        )

    async def _send(self, report: DomainApplied) -> None:
        for replica in self._settings.state_replicas:
            connected = await self._peers.connection(replica.address)
            if connected.is_ok():
                connected.unwrap().oneway(report)


def _without_candidates(lines: list[CapacityLine]) -> list[CapacityLine]:
    for line in lines:
        line.candidates = []
    return lines


def _same_revisions(last: DomainApplied | None, report: DomainApplied) -> bool:
    if last is None:
        return False
    return (last.revision, last.behind) == (report.revision, report.behind)


__all__ = ["AppliedReporter"]
