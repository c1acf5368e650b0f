"""A whole site with every part in a process of its own: entries, backend roles, engines."""

from __future__ import annotations

import asyncio
import hashlib
import time
from pathlib import Path

import aiohttp
import msgspec
from result import Err, Ok, Result

from leadhollow.bench.daemons import Daemon, settings_daemon
from leadhollow.bench.engine_host import HostSpec
from leadhollow.codes import Code
from leadhollow.demo.model_file import make_model_file
from leadhollow.failure import Failure
from leadhollow.operator_client import OperatorClient
from leadhollow.settings.deployment import (
    BackendPlacement,
    DeploymentPlan,
    Listener,
    LoopbackAddresses,
    build_settings,
)
from leadhollow.settings.model import BackendKind, EntrySettings, Role, Settings
from leadhollow.standin.caller import Caller
from leadhollow.standin.engine_records import EngineFaults, EngineLedger, hash_file
from leadhollow.standin.origin import OriginStandin
from leadhollow.standin.plain_service import Execution, ServiceFaults
from leadhollow.state.commands import RowEdit
from leadhollow.state.records import Limits, ModelChoice, Row, ServiceRule

TOKEN = "bench-stage-token"
MODEL = "dispatch"
SERVICE = "depot"
MODEL_BYTES = 256 * 1024
READY_TIMEOUT_S = 20.0
POLL_S = 0.05


class StagePlan:
    """Size of a stage.

    Parameters
    ----------
    entry_of
        Entry settings of single VMs, whose listener is replaced.
    """

    __slots__ = ("batch", "engines", "entries", "entry_of", "link_bytes_per_s", "step_ms")

    def __init__(
        self,
        *,
        entries: dict[str, int],
        engines: dict[str, int],
        batch: int = 16,
        step_ms: float = 9.0,
        entry_of: dict[str, EntrySettings] | None = None,
        link_bytes_per_s: int = 256 * 1024 * 1024,
    ) -> None:
        self.entries = entries
        self.engines = engines
        self.batch = batch
        self.step_ms = step_ms
        self.entry_of = entry_of or {}
        self.link_bytes_per_s = link_bytes_per_s


class Stage:
    """Daemons and stand-ins of one deployment; the callers are the bench's own."""

    __slots__ = (
        "_addresses",
        "_folder",
        "_plan",
        "daemons",
        "engine_urls",
        "file_hashes",
        "operator",
        "origin",
        "roots",
        "service_url",
        "session",
        "settings",
    )

    def __init__(self, *, plan: StagePlan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._addresses = LoopbackAddresses()
        self.daemons: dict[str, Daemon] = {}
        self.engine_urls: dict[str, str] = {}
        self.service_url = ""
        self.settings: dict[str, Settings] = {}
        self.roots: dict[str, str] = {}
        self.file_hashes: dict[str, str] = {}
        self.operator = OperatorClient(urls=(), token=TOKEN)
        self.origin = OriginStandin(
            folder=folder / "origin", link_bytes_per_s=2 * plan.link_bytes_per_s
        )
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=60)
        )

    def entries(self) -> list[str]:
        """Name the entry VMs."""
        return [vm for vm, one in self.settings.items() if one.has_role(Role.ENTRY)]

    def entry_url(self, vm: str) -> str:
        """Give an entry's address for callers."""
        entry = self.settings[vm].entry
        return "" if entry is None else f"http://{entry.listen}"

    def caller(self, group: str) -> Caller:
        """Make a caller of a group."""
        return Caller(group=group, key=api_key(group), roots=self.roots, session=self.session)

    async def start(self, rows: list[Row]) -> Result[None, Failure]:
        """Start everything, publish v1, write the rows and wait until all engines run it."""
        (self._folder / "origin").mkdir(parents=True)
        await self.origin.server.start()
        places = await self._start_hosts()
        plan = DeploymentPlan(
            name="stage",
            entries=self._plan.entries,
            regions=dict.fromkeys(self._plan.entries, "loopback"),
            backends=places,
            wire_token=TOKEN,
            operator_token=TOKEN,
            link_bytes_per_s=self._plan.link_bytes_per_s,
            log_level="error",
        )
        for one in build_settings(
            plan,
            address_of=self._addresses,
            folder_of=lambda vm: str(self._folder / "data" / vm),
        ):
            self.settings[one.vm] = self._with_entry(one)
        for one in self.settings.values():
            self.daemons[one.vm] = settings_daemon(one, self._folder / "run")
        await asyncio.gather(*(self.daemons[vm].start() for vm in self.settings))
        operators = [one.operators for one in self.settings.values()]
        urls = tuple(f"http://{each.listen}" for each in operators if each is not None)
        self.operator = OperatorClient(urls=urls, token=TOKEN)
        ready = await self._wait_ready()
        if ready.is_err():
            return ready
        published = await self.publish("v1")
        if published.is_err():
            return published
        edited = await self.write_rows(rows)
        if edited.is_err():
            return edited
        return await self.wait_serving("v1", list(self.engine_urls))

    async def stop(self) -> None:
        """Stop everything."""
        await self.operator.close()
        await self.session.close()
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons.values()))
        await self.origin.server.stop()

    async def publish(
        self, version: str, *, model_bytes: int = MODEL_BYTES, chunk_bytes: int = 64 * 1024
    ) -> Result[None, Failure]:
        """Publish a version of the model."""
        path = self._folder / f"{version}.bin"
        make_model_file(path, size_bytes=model_bytes, seed=int(version[1:]))
        published = await self.operator.publish(
            path,
            model=MODEL,
            version=version,
            origin_url=self.origin.server.url,
            chunk_bytes=chunk_bytes,
        )
        if published.is_err():
            return Err(published.unwrap_err())
        self.roots[version] = published.unwrap().root
        self.file_hashes[published.unwrap().root] = hash_file(path)
        return Ok(None)

    async def write_rows(self, rows: list[Row]) -> Result[None, Failure]:
        """Write rows over whatever stands there, and wait until they are in force."""
        found = await self.operator.rows()
        if found.is_err():
            return Err(found.unwrap_err())
        revisions = {reply.row.group: reply.revision for reply in found.unwrap()}
        edits = [
            RowEdit(group=row.group, expected_revision=revisions.get(row.group, 0), row=row)
            for row in rows
        ]
        edited = await self.operator.edit(edits, operator="bench", wait_ms=5_000)
        return Err(edited.unwrap_err()) if edited.is_err() else Ok(None)

    async def wait_serving(self, version: str, engines: list[str]) -> Result[None, Failure]:
        """Wait until engines run a version and the entries may route to them."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            running = await asyncio.gather(*(self._running_root(name) for name in engines))
            if set(running) == {self.roots[version]}:
                await asyncio.sleep(0.3)  # announcements and views follow
                return Ok(None)
            await asyncio.sleep(POLL_S)
        detail = f"{version} does not run everywhere"
        return Err(Failure(code=Code.CHECK_FAILED, detail=detail))

    async def set_engine_faults(self, name: str, faults: EngineFaults) -> None:
        """Switch an engine's faults."""
        await self._post(f"{self.engine_urls[name]}/admin/faults", msgspec.json.encode(faults))

    async def set_service_faults(self, faults: ServiceFaults) -> None:
        """Switch the service's faults."""
        await self._post(f"{self.service_url}/admin/faults", msgspec.json.encode(faults))

    async def ledger(self, name: str) -> EngineLedger:
        """Fetch everything an engine recorded."""
        async with self.session.get(f"{self.engine_urls[name]}/admin/ledger") as response:
            return msgspec.json.decode(await response.read(), type=EngineLedger)

    async def executions(self) -> list[Execution]:
        """Fetch everything the service recorded."""
        async with self.session.get(f"{self.service_url}/admin/ledger") as response:
            return msgspec.json.decode(await response.read(), type=list[Execution])

    async def _post(self, url: str, body: bytes) -> None:
        async with self.session.post(url, data=body) as response:
            await response.read()

    async def _running_root(self, name: str) -> str:
        try:
            async with self.session.get(f"{self.engine_urls[name]}/admin/model") as response:
                return str(msgspec.json.decode(await response.read())["root"])
        except (aiohttp.ClientError, OSError):
            return ""

    def _with_entry(self, settings: Settings) -> Settings:
        if settings.entry is None or settings.vm not in self._plan.entry_of:
            return settings
        wanted = self._plan.entry_of[settings.vm]
        entry = msgspec.structs.replace(wanted, listen=settings.entry.listen)
        return msgspec.structs.replace(settings, entry=entry)

    async def _start_hosts(self) -> list[BackendPlacement]:
        places = []
        for failure_domain, count in self._plan.engines.items():
            for number in range(1, count + 1):
                name = f"{failure_domain}-engine-{number}"
                self.engine_urls[name] = await self._start_host(
                    name, kind="engine", checks_fencing=number % 2 == 1
                )
                places.append(
                    BackendPlacement(
                        name=name,
                        failure_domain=failure_domain,
                        kind=BackendKind.ENGINE,
                        url=self.engine_urls[name],
                        slots=self._plan.batch,
                    )
                )
        domain = next(iter(self._plan.engines))
        self.service_url = await self._start_host("service", kind="service", checks_fencing=True)
        places.append(
            BackendPlacement(
                name=f"{domain}-{SERVICE}-1",
                failure_domain=domain,
                kind=BackendKind.SERVICE,
                url=self.service_url,
                slots=64,
                service=SERVICE,
            )
        )
        return places

    async def _start_host(self, name: str, *, kind: str, checks_fencing: bool) -> str:
        address = self._addresses(f"host-{name}", Listener.CALLERS)
        spec = HostSpec(
            kind=kind,
            port=int(address.rpartition(":")[2]),
            step_ms=self._plan.step_ms,
            batch=self._plan.batch,
            checks_fencing=checks_fencing,
        )
        daemon = Daemon(
            name=f"host-{name}",
            arguments=[msgspec.json.encode(spec).decode()],
            folder=self._folder / "run",
            module="leadhollow.bench.engine_host",
        )
        self.daemons[daemon.name] = daemon
        await daemon.start()
        return f"http://{address}"

    async def _wait_ready(self) -> Result[None, Failure]:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            status = await self.operator.status()
            if status.is_ok():
                domains = status.unwrap().domains
                ready = all(domain.connected and domain.fence for domain in domains)
                if ready and sum(domain.daemons for domain in domains) >= len(self.settings):
                    return Ok(None)
            await asyncio.sleep(POLL_S)
        return Err(Failure(code=Code.CHECK_FAILED, detail="daemons were not ready in time"))


def api_key(group: str) -> str:
    """Give the API key of a group."""
    return f"key-of-{group}"


def stage_row(
    group: str, *, weight: float = 1.0, version: str = "v1", limits: Limits | None = None
) -> Row:
    """Make a row that may use the model and the service."""
    return Row(
        group=group,
        weight=weight,
        limits=limits or Limits(concurrency=512, queue=2_000),
        models={MODEL: ModelChoice(version=version, minimum_replicas=1)},
        services={SERVICE: ServiceRule(repeatable=False)},
        key_sha256s=(hashlib.sha256(api_key(group).encode()).hexdigest(),),
    )


__all__ = ["MODEL", "SERVICE", "Stage", "StagePlan", "api_key", "stage_row"]
