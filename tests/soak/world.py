"""The whole deployment on loopback: three failure domains, real programs, stand-ins around them."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

import aiohttp
from aiohttp import web

from tests.soak.backend import Backend
from tests.soak.ledger import Ledger
from tests.soak.programs import Program
from tests.soak.proxy import Proxy
from tests.soak.self_reports import Sender
from tests.soak.spans import Spans
from tests.soak.weights import Origin

ZONES = ("a", "b", "c")
START_PATIENCE_S = 30.0
BOUNDS = {"stop_grace_s": 6.0, "retry_slack": 1_000.0}


class World:
    """Everything of one run.

    Parameters
    ----------
    seed
        Of every random choice, and of the part of 127.0.0.0/8 that the VMs have.
    bounds
        Bounds that differ from the usual ones, by their names in settings files.
    """

    def __init__(
        self, *, seed: int, folder: Path, bounds: Mapping[str, float] = MappingProxyType({})
    ) -> None:
        self.seed = seed
        self._bounds = {**BOUNDS, **bounds}
        self.random = random.Random(seed)
        self.ledger = Ledger()
        self.own_holds = Spans()  # when the soak itself did not run
        self.origin = Origin(seed=seed)
        self.folder = folder
        self._network = 20 + seed % 200
        self._port = _free_ports(self._host("a", 1))
        self.cores = [self._core(zone) for zone in ZONES]
        self.entries = [self._entry(zone) for zone in ZONES]
        self.engines = [self._backend(zone, 3, "models", model=True) for zone in ZONES]
        self.stagers = [self._stager(zone, 4, self._engine_address(zone)) for zone in ZONES]
        self.services = [
            self._backend("a", 5, "orders"),
            self._backend("b", 5, "left"),
            self._backend("c", 5, "right"),
        ]
        self.origin_proxy = self._proxy("b", 6)
        self._origin_runner: web.AppRunner | None = None
        self.disk_back_s = float("-inf")  # when a replica that lost its disk was last back

    @property
    def programs(self) -> list[Program]:
        """All processes."""
        return [*self.cores, *self.entries, *self.stagers]

    @property
    def proxies(self) -> list[Proxy]:
        """All paths to stand-ins."""
        return [backend.proxy for backend in (*self.engines, *self.services)] + [self.origin_proxy]

    def controls(self) -> list[str]:
        """Give the addresses that take control calls."""
        return [str(core.settings["operators"]) for core in self.cores]

    def callers(self) -> list[str]:
        """Give the addresses that take requests."""
        return [str(entry.settings["callers"]) for entry in self.entries]

    def sender(self, callers: str) -> Sender:
        """Give the entry with an address for callers, and its span without restart or freeze."""
        for entry in self.entries:
            if entry.settings["callers"] == callers:
                return Sender(entry=callers, span=entry.spans)
        message = f"no entry takes callers at {callers}"
        raise ValueError(message)

    async def start(self) -> None:
        """Start everything, and wait until every entry is ready."""
        for proxy in self.proxies:
            await proxy.start()
        self._origin_runner = web.AppRunner(self.origin.application())
        await self._origin_runner.setup()
        origin = self.origin_proxy
        await web.TCPSite(self._origin_runner, origin.host, origin.target_port).start()
        for program in self.programs:
            program.start()
        for backend in (*self.engines, *self.services):
            await backend.start()

    async def stop(self) -> None:
        """End everything."""
        await asyncio.gather(*(program.end() for program in self.programs))
        for backend in (*self.engines, *self.services):
            await backend.stop()
        if self._origin_runner is not None:
            await self._origin_runner.cleanup()
        for proxy in self.proxies:
            await proxy.stop()

    async def ready(self) -> bool:
        """Wait until every entry says that it is ready."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for _ in range(int(START_PATIENCE_S / 0.1)):
                found = [await _is_ready(session, entry) for entry in self.entries]
                if all(found):
                    return True
                await asyncio.sleep(0.1)
        return False

    def _host(self, zone: str, place: int) -> str:
        return f"127.{self._network}.{ZONES.index(zone) + 1}.{place}"

    def _settings(self, zone: str, place: int, role: str) -> dict[str, object]:
        host = self._host(zone, place)
        return {
            "vm": f"{role}-{zone}",
            "region": zone,
            "failure_domain": zone,
            "regions": {each: each for each in ZONES},
            "role": role,
            "host": host,
            "ports": [self._port, self._port + 9],
            "seeds": [f"{self._host(other, 1)}:{self._port + 10}" for other in ZONES],
            "first_start": True,
            "heartbeat_ms": 400,
            "bounds": self._bounds,
        }

    def _core(self, zone: str) -> Program:
        settings = self._settings(zone, 1, "control")
        disk = self.folder / f"disk-{zone}"
        disk.mkdir(parents=True)
        settings["data_folder"] = str(disk)
        settings["operators"] = f"{settings['host']}:{self._port + 10}"
        return Program(settings=settings, folder=self.folder)

    def _entry(self, zone: str) -> Program:
        settings = self._settings(zone, 2, "entry")
        settings["callers"] = f"{settings['host']}:{self._port + 11}"
        settings["readiness"] = f"{settings['host']}:{self._port + 12}"
        return Program(settings=settings, folder=self.folder)

    def _stager(self, zone: str, place: int, engine: str) -> Program:
        settings = self._settings(zone, place, "stager")
        settings["engine"] = {"address": engine, "service": "models"}
        return Program(settings=settings, folder=self.folder)

    def _engine_address(self, zone: str) -> str:
        return f"{self._host(zone, 3)}:{self._port + 13}"

    def _proxy(self, zone: str, place: int) -> Proxy:
        host = self._host(zone, place)
        return Proxy(host=host, port=self._port + 13, target_port=self._port + 14)

    def _backend(self, zone: str, place: int, service: str, *, model: bool = False) -> Backend:
        return Backend(
            name=f"{service}-{zone}",
            service=service,
            zone=zone,
            proxy=self._proxy(zone, place),
            slots=8,
            model=model,
            ledger=self.ledger,
            controls=self.controls,
        )


async def _is_ready(session: aiohttp.ClientSession, entry: Program) -> bool:
    try:
        async with session.get(f"http://{entry.settings['readiness']}/-/ready") as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


def _free_ports(host: str) -> int:
    """Find the first of a range of ports that nobody uses at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port = int(probe.getsockname()[1])
    return 12_000 + port % 15_000  # below the range from which connections take theirs


__all__ = ["ZONES", "World"]
