"""Registers the services of the entry role."""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadhollow.decide.retry_budget import RetryBudget
from leadhollow.entry.attempt_runner import AttemptRunner
from leadhollow.entry.caller_server import CallerHttpServer
from leadhollow.entry.demand_reporter import DemandReporter
from leadhollow.entry.group_limits import GroupLimits, StaticShare
from leadhollow.entry.idempotency import IdempotencyClaims
from leadhollow.entry.router import Router
from leadhollow.entry.scheduler import FairScheduler
from leadhollow.entry.scheduler_service import SchedulerService
from leadhollow.entry.suspects import EntrySuspects
from leadhollow.kernel import clocks
from leadhollow.membership.catalog_feed import CatalogFeed
from leadhollow.membership.view import ViewFeed
from leadhollow.settings.model import EntrySettings, Settings
from leadhollow.settings.node import Bounds

if TYPE_CHECKING:
    from leadhollow.kernel.service import Service
    from leadhollow.process import Process


def register_entry(process: Process) -> None:
    """Register the domain view, the scheduler, the demand reporter and the callers' HTTP server."""
    settings = process.settings
    kernel = process.kernel
    entry = settings.entry
    if entry is None:
        return
    view_feed = ViewFeed(settings=settings, peers=process.peers)
    router = Router(view=view_feed.view, seed=process.seed, balance=entry.balance)

    def make_scheduler() -> Service:
        catalog = kernel.get("catalog", CatalogFeed).catalog
        limits = GroupLimits(catalog=catalog, static_share=static_share(settings))
        scheduler = FairScheduler(limits=limits, order=entry.queue_order)
        return SchedulerService(scheduler=scheduler, limits=limits, view=view_feed.view)

    def make_demand() -> Service:
        service = kernel.get("scheduler", SchedulerService)
        return DemandReporter(
            settings=settings,
            catalog=kernel.get("catalog", CatalogFeed).catalog,
            peers=process.peers,
            scheduler=service.scheduler,
            limits=service.limits,
        )

    def make_suspects() -> Service:
        catalog = kernel.get("catalog", CatalogFeed).catalog
        return EntrySuspects(settings=settings, peers=process.peers, catalog=catalog)

    kernel.register("view", lambda: view_feed, needs=("wire",))
    kernel.register("entry-suspects", make_suspects, needs=("catalog",))
    kernel.register("scheduler", make_scheduler, needs=("catalog", "view"))
    kernel.register("demand", make_demand, needs=("scheduler",))
    kernel.register(
        "callers",
        lambda: _make_callers(process, entry, router),
        needs=("scheduler", "demand", "entry-suspects"),
    )


def static_share(settings: Settings) -> StaticShare:
    """Return the static share of this entry; entries run on the VMs that have the domain role."""
    names = sorted(peer.vm for peer in settings.domain_replicas)
    if settings.vm not in names:
        return StaticShare(index=len(names), count=len(names) + 1)
    return StaticShare(index=names.index(settings.vm), count=len(names))


def make_retry_budget(settings: Settings, entry: EntrySettings) -> RetryBudget:
    """Return the budget of the repeats that this entry may send."""
    bounds = Bounds(
        retry_ratio=entry.retry_ratio,
        retry_slack=entry.retry_slack,
        retry_window_s=entry.retry_window_s,
    )
    count = static_share(settings).count
    return RetryBudget(bounds=bounds, entries=lambda: count, clock=clocks.elapsed_s)


def _make_callers(process: Process, entry: EntrySettings, router: Router) -> Service:
    kernel = process.kernel
    catalog = kernel.get("catalog", CatalogFeed).catalog
    runner = AttemptRunner(
        catalog=catalog,
        router=router,
        scheduler=kernel.get("scheduler", SchedulerService).scheduler,
        peers=process.peers,
        budget=make_retry_budget(process.settings, entry),
        suspects=kernel.get("entry-suspects", EntrySuspects),
    )
    return CallerHttpServer(
        settings=entry,
        catalog=catalog,
        runner=runner,
        claims=IdempotencyClaims(entry=process.settings.vm, state=process.state_client),
        metrics=process.metrics,
    )


__all__ = ["make_retry_budget", "register_entry", "static_share"]
