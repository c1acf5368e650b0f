"""A deployment of many processes on loopback: entries, control replicas, stagers and engines."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

from tests.at_size.engines import EngineRun, PausingEngine
from tests.at_size.launching import SizedProgram, starters
from tests.at_size.log_pipes import LogPipe
from tests.at_size.timeline import Timeline
from tests.soak.ledger import Ledger
from tests.soak.proxy import Proxy
from tests.soak.weights import Origin
from tests.soak.world import ZONES, World, _free_ports

STOP_GRACE_S = 8.0
BOUNDS = {"stop_grace_s": STOP_GRACE_S, "retry_slack": 102.0}
CLOSING_S = 0.1  # until connections through the proxy have ended
SLOTS = 16
PIPED_ENTRIES = 2  # whose log is read by a reader that stops now and then
CONTROL_PLACE, ENTRY_PLACE, STAGER_PLACE, ENGINE_PLACE, ORIGIN_PLACE = 1, 10, 100, 150, 200


class Size(NamedTuple):
    """How many processes of each role there are; each stager has an engine beside it."""

    entries: int = 7
    controls: int = 3
    stagers: int = 6


class SizedWorld(World):
    """Everything of one run.

    Attributes
    ----------
    runs
        What engines ran, by request.
    timeline
        What befell entries, and when.
    past_grace
        Processes that were asked to stop and had to be killed.
    """

    def __init__(self, *, seed: int, folder: Path, size: Size) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.ledger = Ledger()
        self.origin = Origin(seed=seed)
        self.folder = folder
        self._bounds = BOUNDS
        self.timeline = Timeline()
        self.past_grace: list[str] = []
        self.runs: dict[str, list[EngineRun]] = defaultdict(list)
        self._pool = starters(sum(size))
        self._network = 20 + seed % 200
        self._port = _free_ports(self._host("a", 1))
        self.services = []
        self.cores = [self._control(number) for number in range(size.controls)]
        self.entries = [self._entry_at(number) for number in range(size.entries)]
        self.engines = [self._engine(number) for number in range(size.stagers)]
        self.stagers = [
            self._stager_beside(number, engine.proxy.address)
            for number, engine in enumerate(self.engines)
        ]
        self.origin_proxy = self._proxy("b", ORIGIN_PLACE)
        self._origin_runner = None
        self.pipes: list[LogPipe] = []

    @property
    def proxies(self) -> list[Proxy]:
        """The one path that is not direct."""
        return [self.origin_proxy]

    async def start(self) -> None:
        """Start everything at once."""
        self.pipes = [LogPipe(program=entry) for entry in self.entries[:PIPED_ENTRIES]]
        await super().start()

    async def stop(self) -> None:
        """End everything."""
        await super().stop()
        for pipe in self.pipes:
            pipe.close()
        await asyncio.sleep(CLOSING_S)
        self._pool.shutdown()

    async def restart(self, *, gracefully: bool) -> None:
        """End all processes at once, and start them all at once with their disks."""
        spans = [self.timeline.begin(entry.vm, gracefully) for entry in self.entries]
        await asyncio.gather(*(self._end(program, gracefully) for program in self.programs))
        for span in spans:
            span.end()
        for program in self.programs:
            program.start()

    def entry_up(self) -> SizedProgram | None:
        """Choose an entry that is not being stopped."""
        up = [entry for entry in self.entries if not self.timeline.down(entry.vm)]
        return self.random.choice(up) if up else None

    async def _end(self, program: SizedProgram, gracefully: bool) -> None:
        if not gracefully:
            await program.end()
        elif not await program.end_within(STOP_GRACE_S):
            self.past_grace.append(program.vm)

    def _program(self, role: str, number: int, place: int, **more: object) -> SizedProgram:
        zone = ZONES[number % len(ZONES)]
        settings = self._settings(zone, place + number // len(ZONES), role)
        settings |= {"vm": f"{role}-{number}", **more}
        return SizedProgram(settings=settings, folder=self.folder, pool=self._pool)

    def _control(self, number: int) -> SizedProgram:
        disk = self.folder / f"disk-{number}"
        disk.mkdir(parents=True)
        program = self._program("control", number, CONTROL_PLACE, data_folder=str(disk))
        program.settings["operators"] = f"{program.settings['host']}:{self._port + 10}"
        return program

    def _entry_at(self, number: int) -> SizedProgram:
        program = self._program("entry", number, ENTRY_PLACE)
        host = program.settings["host"]
        program.settings["callers"] = f"{host}:{self._port + 11}"
        program.settings["readiness"] = f"{host}:{self._port + 12}"
        return program

    def _stager_beside(self, number: int, engine: str) -> SizedProgram:
        address = {"address": engine, "service": "models"}
        return self._program("stager", number, STAGER_PLACE, engine=address)

    def _engine(self, number: int) -> PausingEngine:
        zone = ZONES[number % len(ZONES)]
        host = self._host(zone, ENGINE_PLACE + number // len(ZONES))
        port = self._port + 13
        return PausingEngine(
            name=f"models-{number}",
            service="models",
            zone=zone,
            proxy=Proxy(host=host, port=port, target_port=port),  # never started: a direct path
            slots=SLOTS,
            model=True,
            ledger=self.ledger,
            controls=self.controls,
            runs=self.runs,
            seed=self.seed,
        )


__all__ = ["SLOTS", "STOP_GRACE_S", "Size", "SizedWorld"]
