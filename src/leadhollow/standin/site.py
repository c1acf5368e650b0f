"""A complete deployment on loopback, in one process and with stand-ins around it.

The demo and the tests that need a running system use it.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.entry.caller_server import CallerHttpServer
from leadhollow.failure import Failure
from leadhollow.operator_client import OperatorClient
from leadhollow.process import Process
from leadhollow.settings.deployment import (
    BackendPlacement,
    DeploymentPlan,
    LoopbackAddresses,
    build_settings,
)
from leadhollow.settings.model import BackendKind, DomainSettings, Role, Settings, StateSettings
from leadhollow.standin.engine import EngineStandin
from leadhollow.standin.origin import OriginStandin
from leadhollow.standin.plain_service import ServiceStandin
from leadhollow.standin.statsd_sink import StatsdSink

WIRE_TOKEN = "loopback-wire-token"
OPERATOR_TOKEN = "loopback-operator-token"
READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
ORIGIN_LINK_FACTOR = 2  # the origin's link is twice as fast as a VM's


class SitePlan:
    """Number of VMs and servers of a site, and the speed of its parts.

    Parameters
    ----------
    entries
        Number of entry VMs by failure domain.
    engines
        Number of engines by failure domain.
    service
        Name of a plain service and its failure domain, or None.
    link_bytes_per_s
        Link speed of a VM, in bytes per second.
    engine_slots
        Requests that an engine runs at a time.
    step_ms
        Duration of one engine step in milliseconds.
    """

    __slots__ = ("engine_slots", "engines", "entries", "link_bytes_per_s", "service", "step_ms")

    def __init__(
        self,
        *,
        entries: dict[str, int],
        engines: dict[str, int],
        service: tuple[str, str] | None = None,
        link_bytes_per_s: int = 32 * 1024 * 1024,
        engine_slots: int = 8,
        step_ms: float = 9.0,
    ) -> None:
        self.entries = entries
        self.engines = engines
        self.service = service
        self.link_bytes_per_s = link_bytes_per_s
        self.engine_slots = engine_slots
        self.step_ms = step_ms


class Site:
    """Processes of one deployment and the stand-ins around them.

    Parameters
    ----------
    plan
        Size of the deployment.
    folder
        Folder for the data of all VMs and the files of the origin.
    """

    __slots__ = (
        "_plan",
        "addresses",
        "engines",
        "folder",
        "origin",
        "processes",
        "services",
        "settings",
        "statsd",
    )

    def __init__(self, *, plan: SitePlan, folder: Path) -> None:
        self._plan = plan
        self.folder = folder
        self.addresses = LoopbackAddresses()
        self.engines: dict[str, EngineStandin] = {}
        self.services: dict[str, ServiceStandin] = {}
        self.processes: dict[str, Process] = {}
        self.settings: dict[str, Settings] = {}
        self.statsd = StatsdSink()
        self.origin = OriginStandin(
            folder=folder / "origin", link_bytes_per_s=ORIGIN_LINK_FACTOR * plan.link_bytes_per_s
        )

    @property
    def entry_names(self) -> list[str]:
        """Names of the VMs that have the entry role."""
        return [vm for vm, settings in self.settings.items() if settings.has_role(Role.ENTRY)]

    async def start(self) -> Result[None, Failure]:
        """Start stand-ins and processes, and wait until every failure domain is ready for edits."""
        (self.folder / "origin").mkdir(parents=True, exist_ok=True)
        await self.origin.server.start()
        await self.statsd.start()
        placements = await self._start_backends()
        for settings in self._build_settings(placements):
            self.settings[settings.vm] = settings
        started = await asyncio.gather(*(self.start_process(vm) for vm in list(self.settings)))
        for result in started:
            if result.is_err():
                return result
        return await self._wait_ready()

    async def stop(self) -> None:
        """Kill the processes, those of backend servers first, then stop the stand-ins."""
        backends = [vm for vm in self.processes if not self.settings[vm].has_role(Role.ENTRY)]
        entries = [vm for vm in self.processes if self.settings[vm].has_role(Role.ENTRY)]
        for names in (backends, entries):
            await asyncio.gather(*(self.processes[vm].kernel.kill() for vm in names))
        for engine in self.engines.values():
            await engine.stop()
        for service in self.services.values():
            await service.server.stop()
        await self.origin.server.stop()
        await self.statsd.stop()

    async def start_process(self, vm: str) -> Result[None, Failure]:
        """Start the process of a VM, also after it was killed."""
        process = Process(settings=self.settings[vm])
        self.processes[vm] = process
        return await process.start()

    async def kill_process(self, vm: str) -> None:
        """Stop the process of a VM abruptly, as a crash would."""
        await self.processes.pop(vm).kill()

    def entry_url(self, vm: str) -> str:
        """Return the URL at which an entry accepts callers."""
        address = self.processes[vm].kernel.get("callers", CallerHttpServer).address
        return f"http://{address}"

    def entry_urls(self) -> list[str]:
        """Return the URLs at which live entries accept callers."""
        return [self.entry_url(vm) for vm in self.entry_names if vm in self.processes]

    def operator(self) -> OperatorClient:
        """Create an operator client for all operator listeners; the caller closes it."""
        urls = [
            f"http://{settings.operators.listen}"
            for settings in self.settings.values()
            if settings.operators is not None
        ]
        return OperatorClient(urls=tuple(urls), token=OPERATOR_TOKEN)

    def serving(self, root: str) -> list[str]:
        """Return the names of the engine stand-ins that have loaded the version with this root."""
        return [name for name, engine in self.engines.items() if engine.root == root]

    async def wait_serving(
        self, root: str, names: list[str], *, timeout_s: float
    ) -> Result[float, Failure]:
        """Wait until the named engines have loaded the version with this root.

        Returns
        -------
        Result[float, Failure]
            Seconds that it took; ``CHECK_FAILED`` after the timeout.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while loop.time() - started_s < timeout_s:
            if set(names) <= set(self.serving(root)):
                return Ok(loop.time() - started_s)
            await asyncio.sleep(POLL_INTERVAL_S)
        missing = sorted(set(names) - set(self.serving(root)))
        return Err(Failure(code=Code.CHECK_FAILED, detail=f"not serving in time: {missing}"))

    async def _start_backends(self) -> list[BackendPlacement]:
        placements = []
        for failure_domain, count in self._plan.engines.items():
            for number in range(1, count + 1):
                engine = EngineStandin(
                    step_ms=self._plan.step_ms,
                    batch=self._plan.engine_slots,
                    checks_fencing=number % 2 == 1,
                )
                await engine.start()
                name = f"{failure_domain}-engine-{number}"
                self.engines[name] = engine
                placements.append(
                    BackendPlacement(
                        name=name,
                        failure_domain=failure_domain,
                        kind=BackendKind.ENGINE,
                        url=engine.server.url,
                        slots=self._plan.engine_slots,
                    )
                )
        if self._plan.service is not None:
            service, failure_domain = self._plan.service
            standin = ServiceStandin()
            await standin.server.start()
            name = f"{failure_domain}-{service}-1"
            self.services[name] = standin
            placements.append(
                BackendPlacement(
                    name=name,
                    failure_domain=failure_domain,
                    kind=BackendKind.SERVICE,
                    url=standin.server.url,
                    slots=32,
                    service=service,
                )
            )
        return placements

    def _build_settings(self, placements: list[BackendPlacement]) -> list[Settings]:
        plan = DeploymentPlan(
            name="loopback",
            entries=self._plan.entries,
            regions=dict.fromkeys(self._plan.entries, "loopback"),
            backends=placements,
            wire_token=WIRE_TOKEN,
            operator_token=OPERATOR_TOKEN,
            link_bytes_per_s=self._plan.link_bytes_per_s,
            state=StateSettings(election_timeout_ms=1_000),
            domain=DomainSettings(),
            statsd=f"127.0.0.1:{self.statsd.port}",
        )
        return build_settings(
            plan,
            address_of=self.addresses,
            folder_of=lambda vm: str(self.folder / "vms" / vm),
        )

    async def _wait_ready(self) -> Result[None, Failure]:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + READY_TIMEOUT_S
        operator = self.operator()
        try:
            while loop.time() < deadline_s:
                status = await operator.status()
                if status.is_ok() and all(
                    domain.connected and domain.fence for domain in status.unwrap().domains
                ):
                    return Ok(None)
                await asyncio.sleep(POLL_INTERVAL_S * 5)
        finally:
            await operator.close()
        return Err(Failure(code=Code.CHECK_FAILED, detail="the system was not ready in time"))


__all__ = ["Site", "SitePlan"]
