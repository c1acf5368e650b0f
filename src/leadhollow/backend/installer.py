"""Executes placement orders: fetches a version, drains the gate and loads it into the engine."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.backend.engine_client import EngineClient, LoadOrder, RunningModel
from leadhollow.backend.gate import Gate, GateState
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http_client import HttpClient
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.state.catalog import Catalog
from leadhollow.weights.fetch import Fetch, FetchContext
from leadhollow.weights.origin import OriginReader
from leadhollow.weights.store import StoredVersion, delete_version
from leadhollow.weights.tracker_choice import domain_lease_name
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import Done, Order
from leadhollow.wire.handlers import HandlerTable

MAX_VERSIONS = 2
ENGINE_RETRY_PAUSE_S = 0.5
ENGINE_POLL_INTERVAL_S = 1.0
VERIFY_INTERVAL_S = 30.0

log = get_logger("installer")


class Installer:
    """Installs model versions on the engine beside this process.

    Only the installer sends load orders to the engine.

    Parameters
    ----------
    failure_domain
        Failure domain whose lease has the fencing number of valid orders.
    catalog
        Source of the current fencing number, also after a restart.

    Attributes
    ----------
    running
        Version that the engine runs.
    engine_lost
        Whether the engine does not respond.
    synced
        Set once the engine has reported its version after the start.
    """

    __slots__ = (
        "_catalog",
        "_deleting",
        "_desired_order",
        "_engine",
        "_failure_domain",
        "_fence",
        "_fetch_context",
        "_fetch_root",
        "_fetch_task",
        "_file_verified_s",
        "_gate",
        "_http",
        "_origin_bytes_before",
        "_origin_reader",
        "_recent_roots",
        "_switching",
        "_tasks",
        "_wake",
        "engine_lost",
        "running",
        "synced",
    )

    def __init__(
        self,
        *,
        failure_domain: str,
        catalog: Catalog,
        gate: Gate,
        engine: EngineClient,
        http: HttpClient,
        fetch_context: FetchContext,
        handlers: HandlerTable,
    ) -> None:
        self._failure_domain = failure_domain
        self._catalog = catalog
        self._gate = gate
        self._engine = engine
        self._http = http
        self._fetch_context = fetch_context
        self._fence = 0
        self._desired_order: Order | None = None
        self._fetch_root = ""
        self._fetch_task: asyncio.Task[Result[StoredVersion, Failure]] | None = None
        self._file_verified_s = float("-inf")
        self._origin_reader: OriginReader | None = None
        self._origin_bytes_before = 0
        self._recent_roots: list[str] = []
        self._deleting: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._switching = False
        self._tasks: list[asyncio.Task[None]] = []
        self.running = RunningModel()
        self.engine_lost = False
        self.synced = asyncio.Event()
        handlers.on_call(Order, self._on_order)

    @property
    def origin_bytes(self) -> int:
        """Bytes that this process has read from the origin since its start."""
        current = 0 if self._origin_reader is None else self._origin_reader.bytes_read
        return self._origin_bytes_before + current

    async def start(self) -> Result[None, Failure]:
        """Open the stored versions, and start the tasks for orders and for checks of the engine."""
        await asyncio.to_thread(self._fetch_context.store.open_all)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._process_orders()),
            loop.create_task(self._poll_engine()),
        ]
        return Ok(None)

    async def drain(self) -> None:
        """Nothing to finish: no request of a caller is in progress here."""

    async def stop(self) -> None:
        """Stop the fetch. Verified chunks stay on disk."""
        tasks: list[asyncio.Task[object]] = [*self._tasks]
        if self._fetch_task is not None:
            tasks.append(self._fetch_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._fetch_context.store.close()

    async def _on_order(self, order: Order, connection: Connection) -> Result[Done, Failure]:
        lease = self._catalog.lease(domain_lease_name(self._failure_domain))
        if lease is None:
            return Err(Failure(code=Code.FENCE_OLD, detail="the current number is not known yet"))
        known_fence = max(self._fence, lease.fence)
        if order.fence < known_fence:
            log_decision(
                "order refused",
                server=self._fetch_context.identity.server,
                holder=order.holder,
                fence=order.fence,
                known_fence=known_fence,
            )
            return Err(
                Failure(code=Code.FENCE_OLD, detail=f"{order.fence} is before {known_fence}")
            )
        self._fence = order.fence
        if self._desired_order is None or _orders_differ(self._desired_order, order):
            log_decision(
                "order accepted",
                server=self._fetch_context.identity.server,
                holder=order.holder,
                fence=order.fence,
                model=order.model,
                version=order.version,
                activate=order.activate,
                table_revision=order.revision,
            )
        self._desired_order = order
        self._wake.set()
        return Ok(Done())

    async def _process_orders(self) -> None:
        await self._wait_for_engine()
        while True:
            await self._wake.wait()
            self._wake.clear()
            order = self._desired_order
            if order is None or order.root == self.running.root:
                continue
            stored = self._fetch_context.store.version(order.root)
            if stored is None or not stored.held.complete:
                self._start_fetch(order)
            elif order.activate and not self.engine_lost:
                await self._switch(order, stored)
                if self.running.root != order.root:
                    await self._verify_file(stored)

    async def _verify_file(self, stored: StoredVersion) -> None:
        """Verify a file that was not loaded; damaged chunks are fetched again.

        This reads the whole file, so it is not repeated for each attempt to load it.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s - self._file_verified_s < VERIFY_INTERVAL_S:
            return
        self._file_verified_s = now_s
        verified = await asyncio.to_thread(stored.finish)
        if verified.is_err():
            log.error("stored version is damaged", failure=str(verified.unwrap_err()))

    async def _wait_for_engine(self) -> None:
        while True:
            report = await self._engine.running_model()
            if report.is_ok():
                break
            await asyncio.sleep(ENGINE_RETRY_PAUSE_S)
        self._set_running(report.unwrap())
        self.synced.set()

    async def _poll_engine(self) -> None:
        """Poll the engine, to detect a restart without its version or a lack of responses."""
        await self.synced.wait()
        while True:
            await asyncio.sleep(ENGINE_POLL_INTERVAL_S)
            report = await self._engine.running_model()
            if self._switching:
                continue
            self._apply_engine_report(report)

    async def _refresh_engine_report(self) -> None:
        self._apply_engine_report(await self._engine.running_model())

    def _apply_engine_report(self, report: Result[RunningModel, Failure]) -> None:
        """Apply what the engine reports as running.

        An engine that does not respond counts as running nothing, and no version is loaded into it.
        """
        if report.is_err() != self.engine_lost:
            self.engine_lost = report.is_err()
            self._gate.signal.record_urgent_change()
            self._wake.set()
        model = report.unwrap() if report.is_ok() else RunningModel()
        if model.root != self.running.root:
            log.warning(
                "engine changed its version without an order", was=self.running.root, now=model.root
            )
            self._set_running(model)
            self._wake.set()

    def _start_fetch(self, order: Order) -> None:
        if self._fetch_task is not None and not self._fetch_task.done():
            if self._fetch_root == order.root:
                return
            self._fetch_task.cancel()  # replaced by a newer order; its chunks stay on disk
        self._fetch_root = order.root
        self._origin_bytes_before = self.origin_bytes
        self._origin_reader = OriginReader(http=self._http, url=order.origin_url)
        fetch = Fetch(
            root=order.root,
            origin=self._origin_reader,
            context=self._fetch_context,
            hedge=bool(order.hedge),
        )
        self._fetch_task = asyncio.get_running_loop().create_task(fetch.run())
        self._fetch_task.add_done_callback(self._on_fetched)

    def _on_fetched(self, task: asyncio.Task[Result[StoredVersion, Failure]]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error("fetch raised an exception", error=repr(error))
        elif task.result().is_err():
            log.error("fetch failed", failure=str(task.result().unwrap_err()))
        self._gate.signal.record_urgent_change()  # the complete versions may have changed
        self._wake.set()

    async def _switch(self, order: Order, stored: StoredVersion) -> None:
        """Wait for the attempts in progress, then load the version.

        The gate stays closed until the engine has responded to the load order.
        """
        self._gate.close(GateState.SWITCHING)
        self._switching = True
        try:
            await self._gate.wait_idle()
            await self._load(order, stored)
        finally:
            self._switching = False
            if self._gate.state is GateState.SWITCHING:
                self._gate.open()

    async def _load(self, order: Order, stored: StoredVersion) -> None:
        if self._desired_order is not order and _orders_differ(self._desired_order, order):
            return
        self._gate.set_serving_root("")
        loaded = await self._engine.load(
            LoadOrder(
                model=order.model,
                version=order.version,
                root=order.root,
                path=str(stored.data_path),
                fence=order.fence,
            )
        )
        if loaded.is_err():
            log.error("load failed", failure=str(loaded.unwrap_err()), version=order.version)
            await asyncio.sleep(ENGINE_RETRY_PAUSE_S)
            await self._refresh_engine_report()
            self._wake.set()
        else:
            self._set_running(loaded.unwrap())
            log_decision(
                "version installed",
                server=self._fetch_context.identity.server,
                model=order.model,
                version=order.version,
                root=order.root[:12],
                fence=order.fence,
            )

    def _set_running(self, model: RunningModel) -> None:
        self.running = model
        self._gate.set_serving_root(model.root)
        if model.root:
            self._remove_old_versions(model.root)

    def _remove_old_versions(self, root: str) -> None:
        """Record a root as the version run last, and remove those run longest ago.

        At most ``MAX_VERSIONS`` are kept. The files of the others are deleted in a thread, which
        does not block the event loop.
        """
        if root in self._recent_roots:
            self._recent_roots.remove(root)
        self._recent_roots.append(root)
        for old in self._recent_roots[:-MAX_VERSIONS]:
            folder = self._fetch_context.store.remove(old)
            if folder is not None:
                deleting = asyncio.create_task(asyncio.to_thread(delete_version, folder))
                self._deleting.add(deleting)
                deleting.add_done_callback(self._deleting.discard)
        del self._recent_roots[:-MAX_VERSIONS]


def _orders_differ(desired: Order | None, order: Order) -> bool:
    if desired is None:
        return True
    return (desired.root, desired.activate) != (order.root, order.activate)


__all__ = ["Installer"]
