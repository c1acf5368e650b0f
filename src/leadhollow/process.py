"""Assembles one process of the system from the services of its roles."""

from __future__ import annotations

import asyncio
import zlib
from pathlib import Path
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.kernel.kernel import Kernel
from leadhollow.membership.catalog_feed import CatalogFeed
from leadhollow.observe.metrics import Metrics
from leadhollow.observe.process_metrics import ProcessMetrics
from leadhollow.settings.address import Address
from leadhollow.settings.model import Role, Settings
from leadhollow.state.client import StateClient
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from leadhollow.wire.service import WireService

if TYPE_CHECKING:
    from leadhollow.kernel.service import Service


class Process:
    """Builds the kernel of one process from its settings.

    The modules of a role are imported only in processes with that role, to save memory on small
    VMs.
    """

    __slots__ = ("handlers", "kernel", "metrics", "peers", "settings", "state_client")

    def __init__(self, *, settings: Settings) -> None:
        self.settings = settings
        self.handlers = HandlerTable()
        self.peers = PeerPool(
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            token=settings.wire.token,
            handlers=self.handlers,
        )
        self.state_client = StateClient(replicas=settings.state_replicas, peers=self.peers)
        sink = None if settings.statsd is None else Address.parse(settings.statsd).unwrap()
        self.metrics = Metrics(sink=sink, prefix=f"leadhollow.{settings.vm}")
        self.kernel = Kernel(drain_deadline_ms=settings.drain_deadline_ms)
        self._register()

    @property
    def seed(self) -> int:
        """Seed of the random choices of this process."""
        return zlib.crc32(self.settings.vm.encode())

    async def start(self) -> Result[None, Failure]:
        """Start all services."""
        active_time.clock()  # stalls of the loop are recorded from here on
        return await self.kernel.start()

    async def stop(self) -> bool:
        """Drain and stop; returns whether all work in progress ended in time."""
        return await self.kernel.stop()

    async def kill(self) -> None:
        """Stop at once without draining, as in a crash."""
        await self.peers.stop()
        await self.kernel.kill()

    def _register(self) -> None:
        settings = self.settings
        self.kernel.register("wire", self._make_wire)
        self.kernel.register("process-metrics", self._make_process_metrics, needs=("wire",))
        self.kernel.register("catalog", self._make_catalog, needs=("wire",))
        if settings.has_role(Role.STATE):
            self.kernel.register("state", self._make_state, needs=("wire",))
            self.kernel.register("follower-metrics", self._make_follower_metrics, needs=("state",))
            self.kernel.register("operators", self._make_operators, needs=("state",))
            self.kernel.register("suspects", self._make_suspects, needs=("wire",))
        if settings.has_role(Role.DOMAIN):
            self._register_domain()
        if settings.has_role(Role.ENTRY):
            self._register_entry()
        if settings.has_role(Role.BACKEND):
            self._register_backend()

    def _make_wire(self) -> Service:
        listen = Address.parse(self.settings.wire.listen).unwrap()
        server = WireServer(address=listen, token=self.settings.wire.token, handlers=self.handlers)
        return WireService(server=server, peers=self.peers)

    def _make_catalog(self) -> Service:
        return CatalogFeed(settings=self.settings, peers=self.peers)

    def _make_process_metrics(self) -> Service:
        return ProcessMetrics(metrics=self.metrics, traffic=self.handlers.traffic)

    def _make_state(self) -> Service:
        from leadhollow.state.service import StateService

        return StateService(settings=self.settings, peers=self.peers, handlers=self.handlers)

    def _make_follower_metrics(self) -> Service:
        from leadhollow.state.follower_metrics import FollowerMetrics
        from leadhollow.state.service import StateService

        replica = self.kernel.get("state", StateService).replica
        return FollowerMetrics(metrics=self.metrics, replica=replica)

    def _make_suspects(self) -> Service:
        from leadhollow.control.suspect_relay import SuspectRelay
        from leadhollow.control.suspect_stream import SuspectStream

        folder = self.settings.data_folder
        relay = SuspectRelay(
            own_address=self.settings.wire.listen,
            replicas=lambda: [peer.address for peer in self.settings.state_replicas],
            peers=self.peers,
            handlers=self.handlers,
            folder=None if folder is None else Path(folder),
        )
        SuspectStream(relay=relay, handlers=self.handlers)
        return relay

    def _make_operators(self) -> Service:
        from leadhollow.state.operator_server import OperatorHttpServer
        from leadhollow.state.service import StateService

        return OperatorHttpServer(
            settings=self.settings,
            service=self.kernel.get("state", StateService),
            state=self.state_client,
        )

    def _register_domain(self) -> None:
        from leadhollow.membership.applied_reporter import AppliedReporter
        from leadhollow.membership.applied_revisions import AppliedRevisions
        from leadhollow.membership.domain_service import DomainService
        from leadhollow.membership.summaries import Summaries
        from leadhollow.membership.summary_sender import SummarySender
        from leadhollow.placement.allocator import Allocator
        from leadhollow.placement.domain_lease import DomainLease
        from leadhollow.placement.leader import PlacementLeader
        from leadhollow.state.watch import register_catalog_source
        from leadhollow.weights.tracker import Tracker

        applied = AppliedRevisions(forget_after_s=self.settings.domain.remove_after_ms / 1000)

        def make_domain() -> Service:
            feed = self.kernel.get("catalog", CatalogFeed)
            if not self.settings.has_role(Role.STATE):  # the state role serves its own catalog
                register_catalog_source(self.handlers, feed.catalog)
            return DomainService(
                settings=self.settings,
                handlers=self.handlers,
                applied=applied,
                summaries=self.kernel.get("summaries", Summaries),
            )

        def make_summary_sender() -> Service:
            return SummarySender(
                settings=self.settings,
                peers=self.peers,
                domain=self.kernel.get("domain", DomainService),
            )

        def make_applied_reporter() -> Service:
            return AppliedReporter(
                settings=self.settings,
                peers=self.peers,
                handlers=self.handlers,
                feed=self.kernel.get("catalog", CatalogFeed),
                domain=self.kernel.get("domain", DomainService),
                applied=applied,
            )

        def make_placement() -> Service:
            return PlacementLeader(
                settings=self.settings,
                domain=self.kernel.get("domain", DomainService),
                feed=self.kernel.get("catalog", CatalogFeed),
                lease=self.kernel.get("domain-lease", DomainLease),
            )

        def make_allocator() -> Service:
            return Allocator(
                settings=self.settings,
                applied=applied,
                catalog=self.kernel.get("catalog", CatalogFeed).catalog,
                lease=self.kernel.get("domain-lease", DomainLease),
                handlers=self.handlers,
            )

        def make_lease() -> Service:
            return DomainLease(settings=self.settings, state=self.state_client)

        self.kernel.register("summaries", lambda: Summaries(handlers=self.handlers))
        self.kernel.register("domain", make_domain, needs=("catalog", "summaries"))
        self.kernel.register("summary-sender", make_summary_sender, needs=("domain",))
        self.kernel.register("applied-reports", make_applied_reporter, needs=("domain",))
        self.kernel.register(
            "tracker",
            lambda: Tracker(handlers=self.handlers, settings=self.settings.weights, seed=self.seed),
            needs=("wire",),
        )
        self.kernel.register("domain-lease", make_lease, needs=("domain",))
        self.kernel.register("placement", make_placement, needs=("domain-lease",))
        self.kernel.register("allocator", make_allocator, needs=("domain-lease",))

    def _register_entry(self) -> None:
        from leadhollow.entry.assembly import register_entry

        register_entry(self)

    def _register_backend(self) -> None:
        from leadhollow.backend.assembly import register_backend

        register_backend(self)


async def run_process(settings: Settings, stop_requested: asyncio.Event) -> Result[None, Failure]:
    """Run one process until it is asked to stop.

    Returns
    -------
    Result
        A failure where the process did not start.
    """
    if settings.data_folder is not None:
        try:
            Path(settings.data_folder).mkdir(parents=True, exist_ok=True)
        except OSError as error:
            detail = f"{settings.data_folder}: {error.strerror}"
            return Err(Failure(code=Code.DISK_FAILED, detail=detail, field="data_folder"))
    process = Process(settings=settings)
    started = await process.start()
    if started.is_err():
        return started
    await stop_requested.wait()
    await process.stop()
    return Ok(None)


__all__ = ["Process", "WireService", "run_process"]
