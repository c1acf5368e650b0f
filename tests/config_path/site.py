"""Whole control replicas and entries in one emulated system, with operators that keep a record."""

from __future__ import annotations

import asyncio
import contextvars
import json
import os
import random
import secrets
import tempfile
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any
from unittest import mock

from leadhollow.control.api import GetRouteTable
from leadhollow.control.confirmation import ConfirmationMonitor
from leadhollow.control.control_listener import ControlListener
from leadhollow.control.registry import Registry
from leadhollow.control.replica_service import ReplicaService
from leadhollow.control.version_ages import VersionAgeTracker
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.kernel import active_time, clocks
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.node.entry_role import EntryDispatcher
from leadhollow.node.process import NodeProcess
from leadhollow.platform.serve import platform_dialects
from leadhollow.settings.address import Address
from leadhollow.settings.model import StateSettings
from leadhollow.settings.node import NodeRole, NodeSettings
from tests.config_path.disk import Disks
from tests.config_path.network import Network, here
from tests.config_path.record import Document, Record
from tests.config_path.suspending_loop import SuspendingLoop
from tests.config_path.virtual_loop import VirtualLoop

PORT = 7_000
CONTROLS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
ENTRIES = ("10.0.1.1", "10.0.1.2")
SNAPSHOT_ENTRIES = 8  # a run of some changes takes several
ANSWER_S = 1.0  # an operator asks another replica after it
SAMPLE_S = 0.02
OUTSIDE = frozenset({"operators", "manifests", "callers", "readiness", "path-prober"})
"""Services that speak to the outside by sockets of their own; the model stands in for these."""


class Site:
    """One system. Everything random in it follows from the seed."""

    def __init__(self, *, seed: int, suspends: bool = False) -> None:
        self.loop = SuspendingLoop() if suspends else VirtualLoop()
        self.random = random.Random(seed)
        self.network = Network(loop=self.loop, seed=seed)
        self._folder = tempfile.TemporaryDirectory(prefix="config-path-")
        self.disks = Disks(root=Path(self._folder.name).resolve(), seed=seed)
        self.record = Record(now_s=self.loop.time)
        self.processes: dict[str, NodeProcess] = {}
        self._listeners: dict[str, ControlListener] = {}
        self._contexts: dict[str, contextvars.Context] = {}
        self._hearing: dict[str, active_time.ActiveClock] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._names = 0
        self._patches = [
            mock.patch.object(asyncio, "open_connection", self.network.open_connection),
            mock.patch.object(asyncio, "start_server", self.network.start_server),
            mock.patch.object(os, "fsync", self.disks.fsync),
            mock.patch.object(os, "replace", self.disks.replace),
            mock.patch.object(secrets, "token_hex", self._name),
            mock.patch.object(active_time, "clock", self._hearing_clock),
        ]
        if isinstance(self.loop, SuspendingLoop):
            self.loop.on_wake = self._on_wake
            self._patches += [
                mock.patch.object(clocks, "suspended_s", self._suspended_s),
                mock.patch.dict(NamingTimes.__init__.__kwdefaults__, suspended=self._suspended_s),
            ]

    def __enter__(self) -> Site:
        for patch in self._patches:
            patch.start()
        asyncio.set_event_loop(self.loop)
        random.seed(self.random.random())
        self.run(self._start_all())
        return self

    def __exit__(self, *_: object) -> None:
        self.run(self._stop_all())
        for patch in self._patches:
            patch.stop()
        self.loop.close()
        asyncio.set_event_loop(None)
        self._folder.cleanup()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Let time pass until some work is done."""
        return self.loop.run_until_complete(work)

    def wait(self, span_s: float) -> None:
        """Let time pass."""
        self.run(asyncio.sleep(span_s))

    # processes

    async def start(self, host: str, *, first_start: bool = False) -> None:
        """Start the process of a host; one whose log is damaged does not start."""
        control = host in CONTROLS
        settings = NodeSettings(
            vm=host,
            region="r",
            failure_domain=f"d{host[-1]}",
            role=NodeRole.CONTROL if control else NodeRole.ENTRY,
            host=host,
            ports=(PORT, PORT + 9),
            seeds=tuple(f"{seed}:{PORT + 1}" for seed in CONTROLS),
            first_start=first_start,
            data_folder=str(self.disks.root / host),
            operators=f"{host}:{PORT + 1}",
            callers=f"{host}:{PORT + 2}",
            readiness=f"{host}:{PORT + 3}",
            state=StateSettings(
                heartbeat_ms=100, election_timeout_ms=500, snapshot_entries=SNAPSHOT_ENTRIES
            ),
        )
        context = contextvars.copy_context()
        context.run(here.set, host)
        self._contexts[host] = context
        started = await self.loop.create_task(self._start(host, settings), context=context)
        if started and not control:
            self.record.entry_starts(host)

    async def _start(self, host: str, settings: NodeSettings) -> bool:
        process = NodeProcess(settings=settings, dialects=platform_dialects())
        for name in OUTSIDE:
            process.kernel._registrations.pop(name, None)
        started = await process.start()
        if started.is_err():
            self.record.refused_start(host, str(started.unwrap_err()))
            return False
        self.processes[host] = process
        if isinstance(self.loop, SuspendingLoop):
            naming_times(process).record("m", 1)  # a version whose age is looked at
        if settings.role is NodeRole.CONTROL:
            service = process.kernel.get("replica", ReplicaService)
            self._listeners[host] = ControlListener(
                address=Address.parse(settings.operators or "").unwrap(),
                dialect=process.dialects.control,
                replica=service.replica,
                gateway=service.gateway,
                registry=process.kernel.get("registry", Registry),
            )
        return True

    async def kill(self, host: str, *, power: bool = False) -> None:
        """End a process at once; with the power goes what its disk had not synced."""
        self._wake(host)
        process = self.processes.pop(host, None)
        self._listeners.pop(host, None)
        if power and host in CONTROLS:
            self.disks.lose_power(host)
        if process is not None:
            await self.loop.create_task(process.kernel.kill(), context=self._contexts[host])
        self.network.reset(host)
        if power and host in CONTROLS:
            self.disks.lose_power(host)

    # suspensions

    def suspend(self, host: str, span_s: float) -> None:
        """Let a host stand still, its steady clock too."""
        assert isinstance(self.loop, SuspendingLoop)
        if host in self.processes and not self.loop.suspended(host):
            self.loop.suspend(host, span_s)

    def _wake(self, host: str) -> None:
        if isinstance(self.loop, SuspendingLoop):
            self.loop.wake(host)

    def _suspended_s(self) -> float:
        assert isinstance(self.loop, SuspendingLoop)
        return self.loop.slept_s.get(here.get(), 0.0)

    def _hearing_clock(self) -> active_time.ActiveClock:
        """Give the clock of the host that runs now: one that stands still holds up no other."""
        host = here.get()
        if host not in self._hearing:
            self._hearing[host] = active_time.ActiveClock()
        return self._hearing[host]

    def _on_wake(self, host: str, span_s: float) -> None:
        """See what a host believes in the moment in which it goes on."""
        if host in self.processes:
            context = self._contexts[host].copy()
            for what in context.run(believed_too_long, self.processes[host], span_s):
                self.record.break_rule(f"{host} was suspended for {span_s:.1f} s: {what}")
        self.check_leaders()

    def check_leaders(self) -> None:
        """See that no two replicas believe in a lead at once."""
        leading = [
            host
            for host in CONTROLS
            if host in self.processes
            and not (isinstance(self.loop, SuspendingLoop) and self.loop.suspended(host))
            and self._contexts[host].copy().run(self._leads, host)
        ]
        if len(leading) > 1:
            self.record.break_rule(f"{leading} lead at once")

    def _leads(self, host: str) -> bool:
        return self.processes[host].kernel.get("replica", ReplicaService).replica.ready()

    async def _start_all(self) -> None:
        for host in (*CONTROLS, *ENTRIES):
            await self.start(host, first_start=True)
        self._spawn(self._sample())

    async def _stop_all(self) -> None:
        for task in self._tasks:
            task.cancel()
        for host in list(self.processes):
            await self.kill(host)
        rest = asyncio.all_tasks(self.loop) - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)

    # operators

    def put(self, document: Document, *, to: str | None = None, tries: int = 6) -> None:
        """Let an operator send a document until its fate is clear."""
        self.record.sent(document)
        self._spawn(self._operate(document, to, tries))

    async def _operate(self, document: Document, to: str | None, tries: int) -> None:
        for turn in range(tries):
            host = to if to is not None and turn == 0 else self.random.choice(CONTROLS)
            began_s = self.loop.time()
            status = await self._ask(host, "PUT", document.body)
            if status == 200:
                self.record.acknowledged(document, began_s)
                return
            if status in (400, 409, 412, 413, 422):
                self.record.refused(document, status)
                return
            await asyncio.sleep(0.05 * 2**turn)

    async def read(self, host: str) -> None:
        """Read the table at a replica, and let the record judge the answer."""
        expected = self.record.newest_acknowledged()
        answer = await self._call(host, "GET", b"")
        if answer is not None and answer.status == 200:
            self.record.read(host, json.loads(answer.body), expected)

    async def _ask(self, host: str, method: str, body: bytes) -> int:
        answer = await self._call(host, method, body)
        lost = self.random.random() < self.record.lost_answers
        return 0 if answer is None or lost else answer.status

    async def _call(self, host: str, method: str, body: bytes):
        listener = self._listeners.get(host)
        if listener is None:
            return None
        head = RequestHead(method=method.encode(), target=b"/-/config", headers=Headers(items=[]))
        dialect = self.processes[host].dialects.control
        read = dialect.parse_request(head, body, self.loop.time())
        if read.is_err():
            return dialect.error_response(read.unwrap_err())
        call = read.unwrap()
        assert method == "PUT" or isinstance(call, GetRouteTable)
        task = self.loop.create_task(listener._execute(call), context=self._contexts[host])
        done, _ = await asyncio.wait([task], timeout=ANSWER_S)
        if not done:
            task.cancel()
            return None
        return None if task.cancelled() else task.result()

    # looking on

    async def _sample(self) -> None:
        while True:
            self.look()
            self.check_leaders()
            await asyncio.sleep(SAMPLE_S)

    def look(self) -> None:
        """Show the record what each entry has in force."""
        for host in ENTRIES:
            process = self.processes.get(host)
            if process is not None:
                self.record.seen(host, process.kernel.get("dispatching", EntryDispatcher).routes)

    def settle(self) -> None:
        """Heal everything and wait until all are up and calm."""
        self.network.heal()
        self.record.lost_answers = 0.0

        async def work() -> None:
            for host in (*CONTROLS, *ENTRIES):
                self._wake(host)
            for host in (*CONTROLS, *ENTRIES):
                if host not in self.processes:
                    await self.start(host)
            await asyncio.sleep(6.0)

        self.run(work())

    def leader(self) -> str | None:
        """Give the host of the replica that leads."""

        async def work() -> str | None:
            for host in CONTROLS:
                process = self.processes.get(host)
                if process and process.kernel.get("replica", ReplicaService).replica.ready():
                    return host
            return None

        found: str | None = self.run(work())
        return found

    def whole(self) -> bool:
        """Tell whether all three replicas vote and have applied everything."""

        async def work() -> bool:
            return self._whole()

        return bool(self.run(work()))

    def _whole(self) -> bool:
        replicas = [
            self.processes[host].kernel.get("replica", ReplicaService).replica
            for host in CONTROLS
            if host in self.processes
        ]
        if len(replicas) < len(CONTROLS) or not any(found.ready() for found in replicas):
            return False
        own = {found.vm for found in replicas}
        newest = max(found.last_index for found in replicas)
        return all(
            found.vote.voter
            and found.applied_index == newest  # a change of voters that is not committed is none
            and {voter.replica for voter in found.voters.voters} == own
            for found in replicas
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.record.break_rule(f"a task of the model failed: {task.exception()!r}")

    def _name(self, count: int = 8) -> str:
        self._names += 1
        return f"{self._names:0{2 * count}x}"


def naming_times(process: NodeProcess) -> NamingTimes:
    """Give when versions were named, as a process knows it."""
    if process.settings.role is NodeRole.CONTROL:
        return process.kernel.get("version-ages", VersionAgeTracker).times
    return process.kernel.get("feed", ControlFeed).naming_times


def believed_too_long(process: NodeProcess, span_s: float) -> list[str]:
    """Give what a process believes for longer than others, by the clocks that it has."""
    found = []
    if process.settings.role is NodeRole.CONTROL:
        age_ms = process.kernel.get("confirmation", ConfirmationMonitor).age_ms()
        if 0 <= age_ms < span_s * 1000:
            found.append(f"a confirmation of {age_ms} ms ago")
    for age in naming_times(process).ages():
        if age.age_ms < span_s * 1000:
            found.append(f"a version was named {age.age_ms} ms ago")
    return found


Check = Callable[[], Awaitable[None]]

__all__ = ["CONTROLS", "ENTRIES", "SNAPSHOT_ENTRIES", "Site"]
