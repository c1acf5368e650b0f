"""Registers the services of a stager."""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.reporting import report_interval_s
from leadhollow.node.process import FEED_FORGET_AFTER_S
from leadhollow.routing.model import ServiceRecord
from leadhollow.settings.address import Address
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.engine_monitor import EngineMonitor
from leadhollow.staging.installer import Installer
from leadhollow.staging.link_monitor import LinkMonitor
from leadhollow.staging.origin_source import OriginSource
from leadhollow.staging.piece_assignment import Stager
from leadhollow.staging.piece_fetch import PieceFetch
from leadhollow.staging.piece_server import PieceServer
from leadhollow.staging.piece_window import PieceWindow
from leadhollow.staging.pieces import PieceStore, StagedVersion
from leadhollow.staging.switch_coordinator import SwitchCoordinator

if TYPE_CHECKING:
    from leadhollow.kernel.service import Service
    from leadhollow.node.process import NodeProcess

BYTES_PER_MBIT = 1e6 / 8


def register_stager(process: NodeProcess) -> None:
    """Register the services of a stager with the kernel of its process."""
    kernel = process.kernel
    settings = process.settings
    engine_settings = settings.engine
    if engine_settings is None:
        message = "a stager needs its engine"
        raise ValueError(message)
    store = PieceStore()
    own_stager = Stager(address=settings.wire_address, failure_domain=settings.failure_domain)
    engine = LocalEngine(
        address=Address.parse(engine_settings.address).unwrap(),
        dialect=process.dialects.engine,
    )

    def feed() -> ControlFeed:
        return kernel.get("feed", ControlFeed)

    def services() -> list[ServiceRecord]:
        return feed().catalog.values(ServiceRecord)

    def models() -> list[str]:
        return [
            model
            for service in services()
            if service.name == engine_settings.service and service.engine is not None
            for model in service.engine.load_s
        ]

    def other_stagers() -> list[Stager]:
        stagers = []
        for instance in feed().table.of_service(engine_settings.service):
            host = instance.address.rpartition(":")[0]
            address = f"{host}:{settings.wire_port}"
            if address != own_stager.address:
                stagers.append(Stager(address=address, failure_domain=instance.failure_domain))
        return stagers

    def origin_address() -> Address | None:
        for service in services():
            if service.origin is not None:
                parsed = Address.parse(service.origin)
                if parsed.is_ok():
                    return parsed.unwrap()
        return None

    def origin_bytes_per_s() -> float:
        speeds = [
            service.origin_link_mbit_per_s for service in services() if service.origin is not None
        ]
        return max(speeds, default=0.0) * BYTES_PER_MBIT

    origin = OriginSource(address=origin_address, dialect=process.dialects.origin)

    def link_share() -> float:
        return kernel.get("link-gauge", LinkMonitor).share

    def link_bytes_per_s() -> float:
        return settings.link_mbit_per_s * BYTES_PER_MBIT * link_share()

    window = PieceWindow(link_share=link_share)

    def engine_serves() -> bool:
        report = kernel.get("engine-watch", EngineMonitor).report
        return report is not None and bool(report.served)

    def start_fetch(version: StagedVersion) -> PieceFetch:
        return PieceFetch(
            version=version,
            own=own_stager,
            others=other_stagers,
            origin=origin,
            peers=process.peers,
            link_bytes_per_s=link_bytes_per_s,
            origin_bytes_per_s=origin_bytes_per_s,
            window=window,
            seed=process.seed,
            serves=engine_serves,
        )

    def make_feed() -> Service:
        control_feed = ControlFeed(
            settings=settings,
            peers=process.peers,
            table=InstanceTable(
                forget_after_s=FEED_FORGET_AFTER_S, heartbeat_s=settings.heartbeat_ms / 1000
            ),
        )
        process.seed_listeners.append(control_feed.use_seeds)
        return control_feed

    def engine_count() -> int:
        return len(feed().table.of_service(engine_settings.service))

    def watch_interval_s() -> float:
        return report_interval_s(engine_count())

    def make_engine_watch() -> Service:
        return EngineMonitor(
            address=engine_settings.address,
            engine=engine,
            feed=feed(),
            peers=process.peers,
            path_delay_s=kernel.get("link-gauge", LinkMonitor).delay_s,
            report_interval_s=watch_interval_s,
        )

    def make_installer() -> Service:
        coordinator = SwitchCoordinator(feed=feed())

        def is_turn(staged: StagedVersion, announced: bool, left_s: float) -> bool:
            instances = feed().table.of_service(engine_settings.service)
            return coordinator.is_turn(
                engine_settings.address,
                staged,
                {instance.address: instance.failure_domain for instance in instances},
                announced=announced,
                left_s=left_s,
            )

        return Installer(
            catalog=feed().catalog,
            view_confirmed=lambda: feed().view_confirmed,
            engine=engine,
            monitor=kernel.get("engine-watch", EngineMonitor),
            store=store,
            models=models,
            start_fetch=start_fetch,
            first_start=settings.first_start,
            naming_times=feed().naming_times,
            version_s=settings.bounds.version_ms / 1000,
            may_switch=is_turn,
            piece_s=lambda staged: staged.manifest.chunk_bytes / link_bytes_per_s(),
            window=window,
        )

    def make_pieces() -> Service:
        return PieceServer(
            store=store,
            handlers=process.handlers,
            link_bytes_per_s=link_bytes_per_s,
            failure_domain=settings.failure_domain,
            urgent=lambda: window.urgent,
        )

    def make_link_gauge() -> Service:
        return LinkMonitor(
            feed=feed(), peers=process.peers, vm=settings.vm, stager_count=engine_count
        )

    kernel.register("link-gauge", make_link_gauge, needs=("feed",))
    kernel.register("pieces", make_pieces, needs=("wire", "link-gauge"))
    kernel.register("feed", make_feed, needs=("wire",))
    kernel.register("engine-watch", make_engine_watch, needs=("feed", "link-gauge"))
    kernel.register("installer", make_installer, needs=("engine-watch", "pieces"))


__all__ = ["register_stager"]
