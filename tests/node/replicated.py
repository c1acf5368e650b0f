"""Runs three control replicas and an entry in the event loop of a test, which can be killed."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

import aiohttp
import msgspec

from leadhollow.control.replica_service import ReplicaService
from leadhollow.node.process import NodeProcess
from leadhollow.platform.serve import platform_dialects
from leadhollow.settings.model import StateSettings
from leadhollow.settings.node import NodeRole, NodeSettings
from tests.node.site import HEARTBEAT_S, HOST, PlainServer
from tests.support import eventually, free_ports

SNAPSHOT_ENTRIES = 8  # low, so that a replica that starts again has a table before it hears others
_attempt_numbers = itertools.count(1)
_site_numbers = itertools.count(1)


class ReplicatedSite:
    """Three failure domains with a control replica each; the entry is in the first one.

    Attributes
    ----------
    processes
        Running processes: the replicas ``c1`` to ``c3`` and ``entry``.
    """

    def __init__(self, *, folder: Path, server: PlainServer) -> None:
        number = next(_site_numbers)
        hosts = {f"c{place}": f"127.0.{80 + place}.{number}" for place in (1, 2, 3)}
        hosts["entry"] = f"127.0.84.{number}"
        wire = free_ports(list(hosts.values()), count=5)
        self.operators = {
            name: f"{host}:{wire + 2}" for name, host in hosts.items() if name != "entry"
        }
        self.callers = f"{hosts['entry']}:{wire + 3}"
        self.server = server
        self.processes: dict[str, NodeProcess] = {}
        self._settings = {
            name: NodeSettings(
                vm=name,
                region="r",
                failure_domain="d1" if name == "entry" else f"d{name[-1]}",
                role=NodeRole.ENTRY if name == "entry" else NodeRole.CONTROL,
                host=host,
                ports=(wire, wire + 1),
                seeds=tuple(self.operators.values()),
                first_start=True,
                tolerated_losses=1,
                heartbeat_ms=HEARTBEAT_S * 1000,
                operators=f"{host}:{wire + 2}",
                callers=self.callers,
                readiness=f"{host}:{wire + 4}",
                data_folder=str(folder / name),
                state=StateSettings(
                    heartbeat_ms=100, election_timeout_ms=500, snapshot_entries=SNAPSHOT_ENTRIES
                ),
            )
            for name, host in hosts.items()
        }
        self._version = 0
        self._announcing: asyncio.Task[None] | None = None

    async def __aenter__(self) -> ReplicatedSite:
        self.http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2))
        await self.server.start()
        await self.start(*self._settings)
        self._announcing = asyncio.create_task(self._announce())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._announcing is not None:
            self._announcing.cancel()
        await self.kill(*self.processes)
        await self.server.stop()
        await self.http.close()

    async def start(self, *names: str) -> None:
        """Start processes, those of replicas with their disks."""
        for name in names:
            process = NodeProcess(settings=self._settings[name], dialects=platform_dialects())
            assert (await process.start()).is_ok()
            self.processes[name] = process
            self._settings[name] = msgspec.structs.replace(self._settings[name], first_start=False)

    async def kill(self, *names: str) -> None:
        """Kill processes."""
        for name in names:
            await self.processes.pop(name).kernel.kill()

    def replica(self, name: str) -> ReplicaService:
        """Return the replica of a control process."""
        return self.processes[name].kernel.get("replica", ReplicaService)

    async def put(self, route: dict[str, object], *, times: int = 1) -> None:
        """Put the table with this one route, under a new version each time."""
        for _ in range(times):
            self._version += 1
            document = {
                "version": self._version,
                "routes": [route],
                "services": [self.server.record()],
            }
            await eventually(lambda sent=document: self._acknowledged(sent), "an acknowledgement")

    async def _acknowledged(self, document: dict[str, object]) -> bool:
        for name, address in self.operators.items():
            if name not in self.processes:
                continue
            try:
                url = f"http://{address}/-/config"
                async with self.http.put(url, json=document) as answer:
                    if answer.status == 200:
                        return True
            except (aiohttp.ClientError, TimeoutError):
                continue
        return False

    async def get(self, path: str) -> int:
        """Send a GET request to the entry; return the status."""
        headers = {"Host": HOST, "X-Attempt-Id": f"{next(_attempt_numbers):016x}"}
        async with self.http.get(f"http://{self.callers}{path}", headers=headers) as answer:
            return answer.status

    async def _announce(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name, address in self.operators.items():
                if name not in self.processes:
                    continue
                url = f"http://{address}/-/instances/{self.server.instance}"
                try:
                    async with self.http.put(url, json=self.server.heartbeat()):
                        break
                except (aiohttp.ClientError, TimeoutError):
                    continue


__all__ = ["SNAPSHOT_ENTRIES", "ReplicatedSite"]
