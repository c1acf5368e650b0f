"""Sends placement orders to the engines of a failure domain while the domain lease is held."""

from __future__ import annotations

import asyncio

from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.catalog_feed import CatalogFeed
from leadhollow.membership.domain_service import DomainService
from leadhollow.membership.members import Member
from leadhollow.membership.summary import ENGINE_KIND
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.placement.domain_lease import DomainLease
from leadhollow.placement.plan import (
    Engine,
    PlannedStep,
    allocate_engines,
    assign_versions,
    collect_targets,
    plan_steps,
)
from leadhollow.settings.model import Settings
from leadhollow.wire.generated.ttypes import Order

BATCH_WINDOW_S = 0.05
MAX_WAIT_S = 1.0
ORDER_TIMEOUT_MS = 2_000
ORDER_RETRY_S = 5.0

log = get_logger("placement")


class _SentOrder:
    __slots__ = ("key", "sent_s")

    def __init__(self, *, key: tuple[object, ...], sent_s: float) -> None:
        self.key = key
        self.sent_s = sent_s


class PlacementLeader(TaskService):
    """Compares the planned placement with the engines' announcements and orders the differences."""

    __slots__ = ("_domain", "_feed", "_hedged_roots", "_lease", "_sent", "_settings")

    def __init__(
        self,
        *,
        settings: Settings,
        domain: DomainService,
        feed: CatalogFeed,
        lease: DomainLease,
    ) -> None:
        self._settings = settings
        self._domain = domain
        self._feed = feed
        self._lease = lease
        self._sent: dict[str, _SentOrder] = {}
        self._hedged_roots: set[str] = set()
        super().__init__()

    async def _work(self) -> None:
        while True:
            await self._wait_for_change()
            if not self._lease.valid:
                self._sent.clear()
                continue
            members = [
                member
                for member in self._domain.members.members()
                if member.announcement.kind == ENGINE_KIND
                and member.routable
                and not member.announcement.engine_lost
            ]
            steps = self._plan([_engine_of(member) for member in members])
            by_name = {member.name: member for member in members}
            await asyncio.gather(*(self._order(by_name[step.engine], step) for step in steps))

    async def _wait_for_change(self) -> None:
        """Wait until members or the table change, or until orders may have to be repeated."""
        loop = asyncio.get_running_loop()
        changes = [
            loop.create_task(self._domain.changed.wait()),
            loop.create_task(self._feed.catalog.changed()),
        ]
        try:
            await asyncio.wait(changes, timeout=MAX_WAIT_S, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for change in changes:
                change.cancel()
        await asyncio.sleep(BATCH_WINDOW_S)

    def _plan(self, engines: list[Engine]) -> list[PlannedStep]:
        targets = collect_targets(self._feed.catalog)
        self._hedged_roots = {target.version.root for target in targets if target.hedge}
        domains = sorted({peer.failure_domain for peer in self._settings.domain_replicas})
        counts = allocate_engines(
            targets,
            engines=len(engines),
            domain_index=domains.index(self._settings.failure_domain),
            domains=len(domains),
        )
        return plan_steps(assign_versions(targets, counts, engines), engines)

    async def _order(self, member: Member, step: PlannedStep) -> None:
        version = step.version
        key = (self._lease.fence, member.announcement.incarnation, version.root, step.activate)
        now_s = asyncio.get_running_loop().time()
        sent = self._sent.get(member.name)
        if sent is not None and sent.key == key:
            already_serving = member.serves(version.root)
            if already_serving or now_s - sent.sent_s < ORDER_RETRY_S:
                return
        order = Order(
            self._lease.fence,
            self._settings.vm,
            version.model,
            version.version,
            version.root,
            step.activate,
            version.size_bytes,
            version.origin_url,
            self._feed.catalog.revision,
            version.root in self._hedged_roots,
        )
        if not self._lease.valid:
            return
        if sent is None or sent.key != key:
            log_decision(
                "placement",
                server=member.name,
                model=version.model,
                version=version.version,
                activate=step.activate,
                reason=step.reason,
                fence=self._lease.fence,
                table_revision=self._feed.catalog.revision,
            )
        reply = await member.connection.call(order, timeout_ms=ORDER_TIMEOUT_MS)
        if reply.is_ok():
            self._sent[member.name] = _SentOrder(key=key, sent_s=now_s)
        else:
            log.debug(
                "placement order failed",
                server=member.name,
                failure=str(reply.unwrap_err()),
            )


def _engine_of(member: Member) -> Engine:
    announcement = member.announcement
    serving = announcement.serving or ()
    return Engine(
        name=member.name,
        serving_root=serving[0].root if serving else "",
        complete_roots=frozenset(announcement.complete_roots or ()),
    )


__all__ = ["PlacementLeader"]
