"""Builds and registers the services of the backend role."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from result import Ok, Result

from leadhollow.backend.announcer import Announcer
from leadhollow.backend.change_signal import ChangeSignal
from leadhollow.backend.dispatch_service import DispatchService
from leadhollow.backend.engine_client import EngineClient
from leadhollow.backend.engine_life import EngineLife
from leadhollow.backend.gate import Gate, GateState
from leadhollow.backend.installer import Installer
from leadhollow.failure import Failure
from leadhollow.http_client import HttpClient
from leadhollow.membership.catalog_feed import CatalogFeed
from leadhollow.settings.model import BackendKind, BackendSettings
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem
from leadhollow.weights.exchange import ExchangeServer, HaveNotifier
from leadhollow.weights.fetch import FetchContext, ServerIdentity
from leadhollow.weights.pacing import Link
from leadhollow.weights.store import ChunkStore
from leadhollow.weights.tracker_choice import tracker_addresses
from leadhollow.wire.generated.ttypes import Announcement, ServingVersion

if TYPE_CHECKING:
    from leadhollow.kernel.service import Service
    from leadhollow.process import Process

WEIGHTS_FOLDER = "weights"


class BackendContext:
    """Dependencies that the services of one backend role share."""

    __slots__ = ("backend", "engine", "gate", "have_notifier", "http", "link", "process", "store")

    def __init__(self, *, process: Process, backend: BackendSettings) -> None:
        self.process = process
        self.backend = backend
        self.http = HttpClient()
        self.gate = Gate(slots=backend.slots, signal=ChangeSignal())
        self.engine = EngineClient(http=self.http, url=backend.url)
        folder = Path(process.settings.data_folder or ".") / WEIGHTS_FOLDER
        self.store = ChunkStore(folder=folder)
        self.have_notifier = HaveNotifier()
        self.link = Link(
            bytes_per_s=backend.link_bytes_per_s,
            weights_share=backend.weights_share,
            busy=lambda: self.gate.in_flight > 0,
        )

    def identity(self) -> ServerIdentity:
        """Return the identity of this process towards other backend servers."""
        from leadhollow.process import WireService

        address = self.process.kernel.get("wire", WireService).server.address
        return ServerIdentity(
            server=self.backend.server,
            address=str(address),
            failure_domain=self.process.settings.failure_domain,
        )


class DrainWatcher:
    """Closes and opens the gate as an operator drains this backend server in the catalog."""

    __slots__ = ("_catalog", "_gate", "_http", "_server")

    def __init__(self, *, catalog: Catalog, gate: Gate, server: str, http: HttpClient) -> None:
        self._catalog = catalog
        self._gate = gate
        self._server = server
        self._http = http
        catalog.on_change(self._on_change)

    async def start(self) -> Result[None, Failure]:
        """Apply the current state of the catalog."""
        self._on_change([])
        return Ok(None)

    async def drain(self) -> None:
        """Nothing to finish."""

    async def stop(self) -> None:
        """Close the HTTP connections to the engine."""
        await self._http.close()

    def _on_change(self, items: list[CatalogItem]) -> None:
        if self._catalog.draining(self._server):
            self._gate.close(GateState.DRAINING)
        elif self._gate.state is GateState.DRAINING and items:
            self._gate.open()


def register_backend(process: Process) -> None:
    """Register the services of the backend role, if the settings have a backend.

    Only an engine gets an installer; a plain service has no model versions.
    """
    backend = process.settings.backend
    if backend is None:
        return
    kernel = process.kernel
    context = BackendContext(process=process, backend=backend)

    def make_drain_watch() -> Service:
        catalog = kernel.get("catalog", CatalogFeed).catalog
        return DrainWatcher(
            catalog=catalog, gate=context.gate, server=backend.server, http=context.http
        )

    def make_dispatches() -> Service:
        life = EngineLife(server=backend.server, incarnation=context.gate.incarnation)
        return DispatchService(
            gate=context.gate, engine=context.engine, life=life, handlers=process.handlers
        )

    kernel.register("drain-watch", make_drain_watch, needs=("catalog",))
    kernel.register("dispatches", make_dispatches, needs=("drain-watch",))
    needs = ["dispatches"]
    if backend.kind is BackendKind.ENGINE:
        kernel.register("installer", lambda: _make_installer(context), needs=("dispatches",))
        needs.append("installer")
    kernel.register("announcer", lambda: _make_announcer(context), needs=tuple(needs))


def _make_installer(context: BackendContext) -> Service:
    process = context.process
    catalog = process.kernel.get("catalog", CatalogFeed).catalog
    ExchangeServer(
        store=context.store,
        have_notifier=context.have_notifier,
        link=context.link,
        handlers=process.handlers,
    )
    fetch_context = FetchContext(
        identity=context.identity(),
        store=context.store,
        have_notifier=context.have_notifier,
        link=context.link,
        peers=process.peers,
        trackers=lambda root: tracker_addresses(root, settings=process.settings, catalog=catalog),
    )
    return Installer(
        failure_domain=process.settings.failure_domain,
        catalog=catalog,
        gate=context.gate,
        engine=context.engine,
        http=context.http,
        fetch_context=fetch_context,
        handlers=process.handlers,
    )


def _make_announcer(context: BackendContext) -> Service:
    process = context.process
    settings = process.settings
    identity = context.identity()
    catalog = process.kernel.get("catalog", CatalogFeed).catalog
    is_engine = context.backend.kind is BackendKind.ENGINE
    installer = process.kernel.get("installer", Installer) if is_engine else None

    def build_announcement() -> Announcement:
        gate = context.gate
        serving = []
        if installer is not None and gate.serving_root and gate.state is not GateState.SWITCHING:
            running = installer.running
            serving = [ServingVersion(running.model, running.version, running.root)]
        return Announcement(
            server=identity.server,
            incarnation=gate.incarnation,
            address=identity.address,
            failure_domain=identity.failure_domain,
            kind=context.backend.kind.value,
            service_name=context.backend.service,
            slots=gate.slots,
            in_flight=gate.in_flight,
            waiting=0,
            draining=gate.state is GateState.DRAINING,
            serving=serving,
            complete_roots=context.store.complete_roots(),
            applied_revision=catalog.revision,
            origin_bytes=0 if installer is None else installer.origin_bytes,
            vm=settings.vm,
            leaving=False,
            engine_lost=installer is not None and installer.engine_lost,
        )

    return Announcer(
        replicas=settings.own_domain_replicas(),
        heartbeat_ms=settings.domain.heartbeat_ms,
        peers=process.peers,
        gate=context.gate,
        build_announcement=build_announcement,
        revision=lambda: catalog.revision,
    )


__all__ = ["register_backend"]
