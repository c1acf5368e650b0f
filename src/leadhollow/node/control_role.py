"""Registers the services of a control replica."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from leadhollow.control.confirmation import ConfirmationMonitor
from leadhollow.control.control_listener import ControlListener
from leadhollow.control.departures import Departures
from leadhollow.control.domain_standings import DomainStandingsHandler
from leadhollow.control.evacuation_orders import EvacuationOrders
from leadhollow.control.feed_server import FeedServer
from leadhollow.control.limit_relay import LimitRelay
from leadhollow.control.manifests import ManifestReader
from leadhollow.control.registry import Registry
from leadhollow.control.replica_service import STATE_FOLDER, ReplicaService
from leadhollow.control.self_report_relay import SelfReportRelay
from leadhollow.control.server_standings import ServerStandingsHandler
from leadhollow.control.suspect_relay import SuspectRelay
from leadhollow.control.use_aggregator import UseAggregator
from leadhollow.control.version_ages import VersionAgeTracker
from leadhollow.decide.cold_servers import ColdServers
from leadhollow.decide.eligibility import FailureDomains
from leadhollow.kernel import clocks
from leadhollow.membership.evacuation_follower import EvacuationFollower
from leadhollow.node.process import FORGET_AFTER_HEARTBEATS, FORGET_AFTER_S
from leadhollow.routing.catalog_items import accepts_service, find_service, has_cold_limit
from leadhollow.settings.address import Address

if TYPE_CHECKING:
    from leadhollow.kernel.service import Service
    from leadhollow.node.process import NodeProcess


def register_control(process: NodeProcess) -> None:
    """Register the services of a control replica with the kernel of its process."""
    kernel = process.kernel
    settings = process.settings
    heartbeat_s = settings.heartbeat_ms / 1000

    def replica() -> ReplicaService:
        return kernel.get("replica", ReplicaService)

    def make_replica() -> Service:
        service = ReplicaService(settings=settings, peers=process.peers, handlers=process.handlers)
        process.seed_listeners.append(service.use_seeds)
        return service

    def make_confirmation() -> Service:
        return ConfirmationMonitor(gateway=replica().gateway)

    def make_ages() -> Service:
        return VersionAgeTracker(
            catalog=replica().replica.machine.catalog,
            confirmation=kernel.get("confirmation", ConfirmationMonitor),
        )

    def make_registry() -> Service:
        return Registry(
            own_address=settings.wire_address,
            replicas=replica().addresses,
            directory=replica().directory,
            peers=process.peers,
            handlers=process.handlers,
            forget_after_s=max(FORGET_AFTER_S, FORGET_AFTER_HEARTBEATS * heartbeat_s),
            heartbeat_s=heartbeat_s,
            naming_times=kernel.get("version-ages", VersionAgeTracker).times,
            accepts_service=lambda name: accepts_service(replica().replica.machine.catalog, name),
            tells_cold=lambda name: has_cold_limit(replica().replica.machine.catalog, name),
        )

    def make_uses() -> Service:
        return UseAggregator(
            own_address=settings.wire_address,
            replicas=replica().addresses,
            peers=process.peers,
            handlers=process.handlers,
        )

    def make_feed() -> Service:
        return FeedServer(
            catalog=replica().replica.machine.catalog,
            registry=kernel.get("registry", Registry),
            uses=kernel.get("uses", UseAggregator),
            confirmation=kernel.get("confirmation", ConfirmationMonitor),
            replicas=replica().addresses_with_domains,
            handlers=process.handlers,
            naming_times=kernel.get("version-ages", VersionAgeTracker).times,
            suspects=kernel.get("suspects", SuspectRelay),
            limits=kernel.get("limits", LimitRelay),
            self_reports=make_self_reports(),
        )

    def make_self_reports() -> SelfReportRelay:
        registry = kernel.get("registry", Registry)
        relay = SelfReportRelay(
            own_address=settings.wire_address,
            replicas=replica().addresses,
            leaving_table=registry,
            peers=process.peers,
            handlers=process.handlers,
        )
        ServerStandingsHandler(
            registry=registry,
            self_reports=relay,
            limits=kernel.get("limits", LimitRelay).rates,
            handlers=process.handlers,
        )
        return relay

    def make_limits() -> Service:
        catalog = replica().replica.machine.catalog
        cold_servers = ColdServers(
            instances=kernel.get("registry", Registry).table,
            service=lambda name: find_service(catalog, name),
            bounds=settings.bounds,
            clock=clocks.steady_s,
        )
        domains = FailureDomains(regions=settings.region_by_domain)
        EvacuationFollower(catalog=catalog, domains=domains)
        cold_servers.watch(domains)
        return LimitRelay(
            own_address=settings.wire_address,
            replicas=replica().addresses,
            leadership=replica().gateway,
            find_server=kernel.get("registry", Registry).table.of_life,
            live_entries=kernel.get("registry", Registry).live_entries,
            cold_servers=cold_servers,
            peers=process.peers,
            handlers=process.handlers,
        )

    def make_suspects() -> Service:
        return SuspectRelay(
            own_address=settings.wire_address,
            replicas=replica().addresses,
            peers=process.peers,
            handlers=process.handlers,
            folder=Path(settings.data_folder or ".") / STATE_FOLDER,
        )

    def make_manifests() -> Service:
        return ManifestReader(
            replica=replica().replica,
            gateway=replica().gateway,
            dialect=process.dialects.origin,
        )

    def make_operators() -> Service:
        registry = kernel.get("registry", Registry)
        orders = EvacuationOrders(
            replica=replica().replica,
            gateway=replica().gateway,
            domains=settings.region_by_domain if settings.regions else (),
        )
        DomainStandingsHandler(
            orders=orders,
            catalog=replica().replica.machine.catalog,
            registry=registry,
            feed=kernel.get("feed", FeedServer),
            handlers=process.handlers,
        )
        return ControlListener(
            address=Address.parse(settings.operators or "").unwrap(),
            dialect=process.dialects.control,
            replica=replica().replica,
            gateway=replica().gateway,
            registry=registry,
            evacuations=orders,
            departures=Departures(
                table=registry.table,
                describe=registry.describe,
                others=registry.other_replicas,
                peers=process.peers,
                tolerated_losses=settings.tolerated_losses,
            ),
            memory=process.caller_memory,
            max_connections=process.limits.max_callers,
        )

    kernel.register("replica", make_replica, needs=("wire",))
    kernel.register("confirmation", make_confirmation, needs=("replica",))
    kernel.register("version-ages", make_ages, needs=("confirmation",))
    kernel.register("registry", make_registry, needs=("version-ages",))
    kernel.register("uses", make_uses, needs=("replica",))
    kernel.register("suspects", make_suspects, needs=("replica",))
    kernel.register("limits", make_limits, needs=("registry",))
    kernel.register(
        "feed", make_feed, needs=("confirmation", "registry", "uses", "suspects", "limits")
    )
    kernel.register("manifests", make_manifests, needs=("replica",))
    kernel.register("operators", make_operators, needs=("registry", "feed"))


__all__ = ["register_control"]
