"""A control and an entry process with small limits, and stand-in servers of a plain service."""

from __future__ import annotations

import asyncio
import itertools
import resource
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp
from aiohttp import web

from tests.node.site import HEARTBEAT_S, HOST, PlainServer, route
from tests.soak.programs import Program
from tests.support import eventually, free_ports

MEMORY_MB = 96
"""Default memory of the VM of each process, of which it uses some 20 MB at rest."""

SERVERS = 6
LONG_RESPONSE_BYTES = 3_000_000
BODY_LIMIT_BYTES = 4 * 1024 * 1024
SAMPLE_INTERVAL_S = 0.02
KIB_PER_MB = 1024
_deployment_numbers = itertools.count(1)
_attempt_numbers = itertools.count(1)


class ReadingServer(PlainServer):
    """Backend server that reads each body to its end, and sends a long response on request."""

    async def _answer(self, request: web.Request) -> web.Response:
        async for _ in request.content.iter_chunked(65_536):
            pass
        answer = await super()._answer(request)
        if answer.status == 200 and request.path.startswith("/long/"):
            answer.body = bytes(LONG_RESPONSE_BYTES)
        return answer

    @property
    def open_connections(self) -> int:
        """Number of connections that it holds."""
        server = None if self._runner is None else self._runner.server
        return 0 if server is None else len(server.connections)


class Watch:
    """Peak of the anonymous memory and of the open descriptors of a process."""

    def __init__(self, process_id: int) -> None:
        self._folder = Path(f"/proc/{process_id}")
        self.peak_mb = 0.0
        self.peak_descriptors = 0

    async def run(self) -> None:
        """Sample until cancelled; the sampling thread runs also while the event loop is busy."""
        stopped = asyncio.Event()
        try:
            await asyncio.to_thread(self._sample_until, stopped.is_set)
        finally:
            stopped.set()

    def _sample_until(self, is_stopped: Callable[[], bool]) -> None:
        while not is_stopped():
            self.sample()
            time.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Record what the process holds now."""
        try:
            status = (self._folder / "status").read_text(encoding="ascii")
            descriptors = len(list((self._folder / "fd").iterdir()))
        except OSError:
            return
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                self.peak_mb = max(self.peak_mb, int(line.split()[1]) / KIB_PER_MB)
        self.peak_descriptors = max(self.peak_descriptors, descriptors)


class Deployment:
    """Runs the processes of one failure domain on loopback.

    Parameters
    ----------
    memory_mb
        Memory of the VM of each process.
    max_descriptors
        Descriptors that the entry may open; None for the limit of this process.
    """

    def __init__(
        self, *, folder: Path, memory_mb: int = MEMORY_MB, max_descriptors: int | None = None
    ) -> None:
        number = next(_deployment_numbers)
        control_host, entry_host = f"127.0.90.{number}", f"127.0.91.{number}"
        port = free_ports((control_host, entry_host), count=5)
        self.operators = f"{control_host}:{port + 2}"
        self.callers = f"{entry_host}:{port + 3}"
        self.readiness = f"{entry_host}:{port + 4}"
        self.wire = {"control": f"{control_host}:{port}", "entry": f"{entry_host}:{port}"}
        self._max_descriptors = max_descriptors
        shared = {
            "region": "r",
            "failure_domain": "d",
            "ports": [port, port + 1],
            "seeds": [self.operators],
            "first_start": True,
            "tolerated_losses": 0,
            "heartbeat_ms": HEARTBEAT_S * 1000,
            "memory_mb": memory_mb,
        }
        disk = folder / "disk"
        disk.mkdir()
        control = {"vm": "control", "role": "control", "host": control_host}
        control |= {"operators": self.operators, "data_folder": str(disk)}
        entry = {"vm": "entry", "role": "entry", "host": entry_host}
        entry |= {"callers": self.callers, "readiness": self.readiness}
        if max_descriptors is not None:
            entry["max_descriptors"] = max_descriptors
        self.control = Program(settings={**shared, **control}, folder=folder)
        self.entry = Program(settings={**shared, **entry}, folder=folder)
        self.servers = [
            ReadingServer(instance=f"i-{index}", service="plain") for index in range(SERVERS)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Deployment:
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        for program in (self.control, self.entry):
            program.start()
        if self._max_descriptors is not None:
            limits = (self._max_descriptors, self._max_descriptors)
            resource.prlimit(self.entry.process_id, resource.RLIMIT_NOFILE, limits)
        for server in self.servers:
            await server.start()
            self._tasks.append(asyncio.create_task(self._announce(server)))
        await eventually(self._put_table, "an acknowledged table")
        await eventually(self.is_served, "an answer to an ordinary request")
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        for program in (self.entry, self.control):
            await program.end()
        for server in self.servers:
            await server.stop()
        await self._session.close()

    async def is_served(self, body: bytes = b"ordinary") -> bool:
        """Send one ordinary request on a connection of its own; return whether it was served."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"{next(_attempt_numbers):016x}",
            "X-Deadline-Ms": "3000",
            "Connection": "close",
        }
        url = f"http://{self.callers}/plain/a"
        try:
            async with self._session.post(url, data=body, headers=headers) as answer:
                await answer.read()
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def has_table(self) -> bool:
        """Return whether the control process answers a read of the table."""
        try:
            async with self._session.get(f"http://{self.operators}/-/config") as answer:
                await answer.read()
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _put_table(self) -> bool:
        usual = {"timeoutMs": 6_000}
        once = {"type": "non_idempotent", "maxAttempts": 1}
        document = {
            "version": 1,
            "routes": [
                {**route("/plain/", "plain"), **usual},
                {**route("/long/", "plain"), **usual},
                {**route("/once/", "plain"), **usual, **once},
            ],
            "services": [{**self.servers[0].record(), "maxConnections": 100}],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": BODY_LIMIT_BYTES,
                "headerTimeoutMs": 3_000,
                "idleTimeoutMs": 15_000,
            },
        }
        try:
            url = f"http://{self.operators}/-/config"
            async with self._session.put(url, json=document) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _announce(self, server: PlainServer) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            url = f"http://{self.operators}/-/instances/{server.instance}"
            try:
                async with self._session.put(url, json=server.heartbeat()):
                    pass
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue


__all__ = ["BODY_LIMIT_BYTES", "LONG_RESPONSE_BYTES", "MEMORY_MB", "Deployment", "Watch"]
