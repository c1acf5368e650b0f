"""Runs complete control and entry processes in the event loop of a test, with backend servers."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from leadhollow.node.process import NodeProcess
from leadhollow.platform.serve import platform_dialects
from leadhollow.settings.node import NodeRole, NodeSettings
from tests.support import eventually, free_ports

HOST = "crews.example"
HEARTBEAT_S = 0.05
_attempt_numbers = itertools.count(1)
_site_numbers = itertools.count(1)


def route(prefix: str, service: str) -> dict[str, object]:
    """Describe a public route whose requests are idempotent."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "type": "idempotent",
        "timeoutMs": 2_000,
        "targetLatencyMs": 1_000,
        "service": service,
        "maxAttempts": 2,
        "public": True,
    }


class PlainServer:
    """Backend server of a plain service that responds to every request.

    Attributes
    ----------
    silent
        Whether it stops sending heartbeats.
    born_ms
        Start time in its heartbeats; None if they contain none.
    failure_domain
        Failure domain in its heartbeats.
    """

    def __init__(self, *, instance: str, service: str) -> None:
        self.instance = instance
        self.service = service
        self.sequence = 0
        self.born_ms: int | None = None
        self.failure_domain = "d"
        self.address = ""
        self.silent = False
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        application = web.Application()
        application.router.add_route("*", "/{rest:.*}", self._answer)
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        assert self._runner is not None
        await self._runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        headers = {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Response-Signature": "signed",
            "X-Instance-Id": self.instance,
        }
        if request.headers.get("X-Expect-Instance") != self.instance:
            return web.Response(status=421, headers=headers)
        return web.Response(body=self.instance.encode(), headers=headers)

    def record(self) -> dict[str, object]:
        """Describe the service for the route table."""
        return {"name": self.service}

    def heartbeat(self) -> dict[str, object]:
        self.sequence += 1
        life = {} if self.born_ms is None else {"born": self.born_ms}
        return {
            **life,
            "service": self.service,
            "address": self.address,
            "zone": self.failure_domain,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }


class Site:
    """One failure domain: a control replica, entries, backend servers and an operator.

    Parameters
    ----------
    entries
        Number of entries; the first one is ``entry``.
    settings
        Further settings of all processes.
    """

    def __init__(
        self,
        *,
        folder: Path,
        servers: Sequence[PlainServer],
        entries: int = 1,
        settings: Mapping[str, Any] | None = None,
    ) -> None:
        number = next(_site_numbers)
        self.control_host = f"127.0.70.{number}"
        entry_hosts = [f"127.0.{71 + index}.{number}" for index in range(entries)]
        hosts = (self.control_host, *entry_hosts)
        wire = free_ports(hosts, count=5)
        self.operators = f"{self.control_host}:{wire + 2}"
        callers_port, readiness_port = wire + 3, wire + 4
        self.all_callers = [f"{host}:{callers_port}" for host in entry_hosts]
        self.callers = self.all_callers[0]
        shared = {
            "region": "r",
            "failure_domain": "d",
            "ports": (wire, wire + 1),
            "seeds": (self.operators,),
            "first_start": True,
            "tolerated_losses": 0,
            "heartbeat_ms": HEARTBEAT_S * 1000,
            **(settings or {}),
        }
        self._control_settings = NodeSettings(
            vm="control",
            role=NodeRole.CONTROL,
            host=self.control_host,
            operators=self.operators,
            data_folder=str(folder),
            **shared,
        )
        self._entry_settings = [
            NodeSettings(
                vm=f"entry-{index}",
                role=NodeRole.ENTRY,
                host=host,
                callers=f"{host}:{callers_port}",
                readiness=f"{host}:{readiness_port}",
                **shared,
            )
            for index, host in enumerate(entry_hosts)
        ]
        self.servers = list(servers)
        self.table_version = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Site:
        self.http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        self.control = NodeProcess(settings=self._control_settings, dialects=platform_dialects())
        self.entries = [
            NodeProcess(settings=settings, dialects=platform_dialects())
            for settings in self._entry_settings
        ]
        for process in (self.control, *self.entries):
            assert (await process.start()).is_ok()
        for server in self.servers:
            await server.start()
            self._tasks.append(asyncio.create_task(self._announce(server)))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        for process in (*self.entries, self.control):
            await process.kernel.kill()
        for server in self.servers:
            await server.stop()
        await self.http.close()

    @property
    def entry(self) -> NodeProcess:
        """The first entry."""
        return self.entries[0]

    async def restart_entry(self, index: int) -> None:
        """Kill an entry and start it again."""
        await self.entries[index].kernel.kill()
        settings = msgspec.structs.replace(self._entry_settings[index], first_start=False)
        self.entries[index] = NodeProcess(settings=settings, dialects=platform_dialects())
        assert (await self.entries[index].start()).is_ok()

    async def restart_control(self) -> None:
        """Kill the control replica and start it again with its disk."""
        await self.control.kernel.kill()
        settings = self._control_settings
        self.control = NodeProcess(settings=settings, dialects=platform_dialects())
        assert (await self.control.start()).is_ok()

    async def _announce(self, server: PlainServer) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if server.silent:
                continue
            url = f"http://{self.operators}/-/instances/{server.instance}"
            try:
                async with self.http.put(url, json=server.heartbeat()):
                    pass
            except aiohttp.ClientError:
                continue

    async def put_routes(
        self, *routes: dict[str, object], organisations: Sequence[dict[str, object]] = ()
    ) -> None:
        """Put a route table with these routes, repeatedly until it is acknowledged."""
        self.table_version += 1
        document = {
            "version": self.table_version,
            "routes": list(routes),
            "services": list({server.service: server.record() for server in self.servers}.values()),
            **({"tenants": list(organisations)} if organisations else {}),
        }

        async def acknowledged() -> bool:
            url = f"http://{self.operators}/-/config"
            async with self.http.put(url, json=document) as answer:
                return answer.status == 200

        await eventually(acknowledged, "an acknowledged table")

    async def order(self, method: str, domain: str) -> int:
        """Send one order to evacuate (POST) or restore (DELETE) a failure domain."""
        url = f"http://{self.operators}/-/evacuations/{domain}"
        async with self.http.request(method, url) as answer:
            return answer.status

    async def deregister(self, server: PlainServer, *, born_ms: int | None = None) -> None:
        """Deregister a server, optionally only the life that started at ``born_ms``."""
        url = f"http://{self.operators}/-/instances/{server.instance}"
        body = None if born_ms is None else {"born": born_ms}
        async with self.http.delete(url, json=body) as answer:
            assert answer.status == 200

    async def pause(self) -> None:
        """Wait until recent heartbeats and updates have reached all processes."""
        await asyncio.sleep(4 * HEARTBEAT_S)

    async def get(self, path: str) -> int:
        """Send a GET request to the first entry; return the status."""
        headers = {"Host": HOST, "X-Attempt-Id": f"{next(_attempt_numbers):016x}"}
        async with self.http.get(f"http://{self.callers}{path}", headers=headers) as answer:
            return answer.status

    async def post(
        self, path: str, body: bytes, *, entry: int = 0, fields: Mapping[str, str] | None = None
    ) -> int:
        """Send a POST request to one of the entries; return the status of the complete response."""
        headers = {"Host": HOST, "X-Attempt-Id": f"{next(_attempt_numbers):016x}", **(fields or {})}
        url = f"http://{self.all_callers[entry]}{path}"
        async with self.http.post(url, data=body, headers=headers) as answer:
            await answer.read()
            return answer.status


__all__ = ["HOST", "PlainServer", "Site", "route"]
