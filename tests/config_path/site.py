"""Emulated system of control replicas, entries and operators, with a history of the run."""

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
from leadhollow.control.departures import Departures
from leadhollow.control.evacuation_orders import EvacuationOrders
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
from tests.config_path.network import Network, current_host
from tests.config_path.record import Document, History
from tests.config_path.suspending_loop import SuspendingLoop
from tests.config_path.virtual_loop import VirtualLoop

PORT = 7_000
CONTROLS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
ENTRIES = ("10.0.1.1", "10.0.1.2")
DOMAINS = ("d1", "d2", "d3")
SNAPSHOT_ENTRIES = 8  # low, so that a run takes several snapshots
RESPONSE_TIMEOUT_S = 1.0  # then an operator asks another replica
SAMPLE_S = 0.02
CONFIGURATION = "/-/config"
EXTERNAL_SERVICES = frozenset({"operators", "manifests", "callers", "readiness", "path-prober"})
"""Services with sockets of their own; the model replaces them."""


class Site:
    """One emulated system; the seed determines everything random."""

    def __init__(self, *, seed: int, suspends: bool = False) -> None:
        self.loop = SuspendingLoop() if suspends else VirtualLoop()
        self.random = random.Random(seed)
        self.network = Network(loop=self.loop, seed=seed)
        self._folder = tempfile.TemporaryDirectory(prefix="config-path-")
        self.disks = Disks(root=Path(self._folder.name).resolve(), seed=seed)
        self.history = History(now_s=self.loop.time)
        self.processes: dict[str, NodeProcess] = {}
        self._listeners: dict[str, ControlListener] = {}
        self._contexts: dict[str, contextvars.Context] = {}
        self._active_clocks: dict[str, active_time.ActiveClock] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._token_count = 0
        self._patches = [
            mock.patch.object(asyncio, "open_connection", self.network.open_connection),
            mock.patch.object(asyncio, "start_server", self.network.start_server),
            mock.patch.object(os, "fsync", self.disks.fsync),
            mock.patch.object(os, "replace", self.disks.replace),
            mock.patch.object(secrets, "token_hex", self._next_token),
            mock.patch.object(active_time, "clock", self._active_clock),
        ]
        if isinstance(self.loop, SuspendingLoop):
            self.loop.on_resume = self._on_resume
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
        """Run the loop until a coroutine has finished."""
        return self.loop.run_until_complete(work)

    def wait(self, span_s: float) -> None:
        """Run the loop for a time."""
        self.run(asyncio.sleep(span_s))

    # processes

    async def start(self, host: str, *, first_start: bool = False) -> None:
        """Start the process of a host; it refuses to start if its log is damaged."""
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
        context.run(current_host.set, host)
        self._contexts[host] = context
        started = await self.loop.create_task(self._start(host, settings), context=context)
        if started and not control:
            self.history.note_entry_start(host)

    async def _start(self, host: str, settings: NodeSettings) -> bool:
        process = NodeProcess(settings=settings, dialects=platform_dialects())
        for name in EXTERNAL_SERVICES:
            process.kernel._registrations.pop(name, None)
        started = await process.start()
        if started.is_err():
            self.history.note_failed_start(host, str(started.unwrap_err()))
            return False
        self.processes[host] = process
        if isinstance(self.loop, SuspendingLoop):
            naming_times(process).record("m", 1)  # its age is checked after suspensions
        if settings.role is NodeRole.CONTROL:
            service = process.kernel.get("replica", ReplicaService)
            registry = process.kernel.get("registry", Registry)
            self._listeners[host] = ControlListener(
                address=Address.parse(settings.operators or "").unwrap(),
                dialect=process.dialects.control,
                replica=service.replica,
                gateway=service.gateway,
                registry=registry,
                evacuations=EvacuationOrders(
                    replica=service.replica, gateway=service.gateway, domains=DOMAINS
                ),
                departures=Departures(
                    table=registry.table,
                    describe=registry.describe,
                    others=registry.other_replicas,
                    peers=process.peers,
                    tolerated_losses=settings.tolerated_losses,
                ),
            )
        return True

    async def kill(self, host: str, *, power: bool = False) -> None:
        """Kill a process; a loss of power also loses what its disk had not synced."""
        self._resume(host)
        process = self.processes.pop(host, None)
        self._listeners.pop(host, None)
        if power and host in CONTROLS:
            self.disks.lose_power(host)
        if process is not None:
            await self.loop.create_task(process.kernel.kill(), context=self._contexts[host])
        self.network.reset(host)
        if power and host in CONTROLS:
            self.disks.lose_power(host)
        if host in CONTROLS and not any(control in self.processes for control in CONTROLS):
            self.history.note_no_replica()

    # suspensions

    def suspend(self, host: str, span_s: float) -> None:
        """Suspend a host, including its steady clock."""
        assert isinstance(self.loop, SuspendingLoop)
        if host in self.processes and not self.loop.suspended(host):
            self.loop.suspend(host, span_s)

    def _resume(self, host: str) -> None:
        if isinstance(self.loop, SuspendingLoop):
            self.loop.resume(host)

    def _suspended_s(self) -> float:
        assert isinstance(self.loop, SuspendingLoop)
        return self.loop.suspended_total_s.get(current_host.get(), 0.0)

    def _active_clock(self) -> active_time.ActiveClock:
        """Return the active clock of the running host; each host has its own."""
        host = current_host.get()
        if host not in self._active_clocks:
            self._active_clocks[host] = active_time.ActiveClock()
        return self._active_clocks[host]

    def _on_resume(self, host: str, span_s: float) -> None:
        """Check the ages and leases of a host at the moment it resumes."""
        if host in self.processes:
            context = self._contexts[host].copy()
            for what in context.run(underestimated_ages, self.processes[host], span_s):
                self.history.report_violation(f"{host} was suspended for {span_s:.1f} s: {what}")
        self.check_leaders()

    def check_leaders(self) -> None:
        """Check that at most one replica considers itself the leader."""
        leading = self.leaders()
        if len(leading) > 1:
            self.history.report_violation(f"{leading} are leaders at the same time")

    def leaders(self) -> list[str]:
        """Return the hosts that run and consider themselves the leader."""
        return [
            host
            for host in CONTROLS
            if host in self.processes
            and not (isinstance(self.loop, SuspendingLoop) and self.loop.suspended(host))
            and self._contexts[host].copy().run(self._is_leader, host)
        ]

    def _is_leader(self, host: str) -> bool:
        return self.processes[host].kernel.get("replica", ReplicaService).replica.ready()

    async def _start_all(self) -> None:
        for host in (*CONTROLS, *ENTRIES):
            await self.start(host, first_start=True)
        self.spawn(self._sample())

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

    def send_document(self, document: Document, *, to: str | None = None, tries: int = 6) -> None:
        """Let an operator send a document until it gets a definite response."""
        self.history.note_sent(document)
        self.spawn(self._send_until_answered(document, to, tries))

    async def _send_until_answered(self, document: Document, to: str | None, tries: int) -> None:
        for turn in range(tries):
            host = to if to is not None and turn == 0 else self.random.choice(CONTROLS)
            began_s = self.loop.time()
            status = await self.request_status(host, "PUT", document.body)
            if status == 200:
                self.history.note_acknowledged(document, began_s)
                return
            if status in (400, 409, 412, 413, 422):
                self.history.note_rejected(document, status)
                return
            await asyncio.sleep(0.05 * 2**turn)

    async def read(self, host: str) -> None:
        """Read the table from a replica and check the response."""
        expected = self.history.newest_acknowledged()
        answer = await self._request(host, "GET", b"")
        if answer is not None and answer.status == 200:
            self.history.check_read(host, json.loads(answer.body), expected)

    async def request_status(
        self,
        host: str,
        method: str,
        body: bytes,
        *,
        target: str = CONFIGURATION,
        cancels: bool = True,
    ) -> int:
        """Return the status of a response, 0 if there is none or it is lost.

        Parameters
        ----------
        cancels
            Whether the replica notices when the operator gives up.
        """
        answer = await self._request(host, method, body, target=target, cancels=cancels)
        lost = self.random.random() < self.history.lost_response_share
        return 0 if answer is None or lost else answer.status

    async def _request(
        self,
        host: str,
        method: str,
        body: bytes,
        *,
        target: str = CONFIGURATION,
        cancels: bool = True,
    ):
        listener = self._listeners.get(host)
        if listener is None:
            return None
        head = RequestHead(
            method=method.encode(), target=target.encode(), headers=Headers(items=[])
        )
        dialect = self.processes[host].dialects.control
        read = dialect.parse_request(head, body, self.loop.time())
        if read.is_err():
            return dialect.error_response(read.unwrap_err())
        call = read.unwrap()
        assert method != "GET" or isinstance(call, GetRouteTable)
        task = self.loop.create_task(listener._execute(call), context=self._contexts[host])
        done, _ = await asyncio.wait([task], timeout=RESPONSE_TIMEOUT_S)
        if not done:
            if cancels:
                task.cancel()
            return None
        return None if task.cancelled() else task.result()

    # observation

    async def _sample(self) -> None:
        while True:
            self.sample_entries()
            self.check_leaders()
            await asyncio.sleep(SAMPLE_S)

    def sample_entries(self) -> None:
        """Record the table that each entry has in force."""
        for host in ENTRIES:
            process = self.processes.get(host)
            if process is None:
                continue
            dispatcher = process.kernel.get("dispatching", EntryDispatcher)
            if dispatcher.has_confirmed_table():
                self.history.note_in_force(host, dispatcher.routes)

    def settle(self) -> None:
        """End all faults and wait until all processes run."""
        self.network.heal()
        self.history.lost_response_share = 0.0

        async def work() -> None:
            for host in (*CONTROLS, *ENTRIES):
                self._resume(host)
            for host in (*CONTROLS, *ENTRIES):
                if host not in self.processes:
                    await self.start(host)
            await asyncio.sleep(6.0)

        self.run(work())

    def leader(self) -> str | None:
        """Return the host of the leader, None if there is none."""

        async def work() -> str | None:
            for host in CONTROLS:
                process = self.processes.get(host)
                if process and process.kernel.get("replica", ReplicaService).replica.ready():
                    return host
            return None

        found: str | None = self.run(work())
        return found

    def replicas_current(self) -> bool:
        """Return whether all replicas are voters and have applied all entries."""

        async def work() -> bool:
            return self._replicas_current()

        return bool(self.run(work()))

    def _replicas_current(self) -> bool:
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
            and found.applied_index == newest  # an uncommitted change of voters is not in effect
            and {voter.replica for voter in found.voters.voters} == own
            for found in replicas
        )

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.history.report_violation(f"a task of the model failed: {task.exception()!r}")

    def _next_token(self, count: int = 8) -> str:
        self._token_count += 1
        return f"{self._token_count:0{2 * count}x}"


def naming_times(process: NodeProcess) -> NamingTimes:
    """Return the naming times that a process knows."""
    if process.settings.role is NodeRole.CONTROL:
        return process.kernel.get("version-ages", VersionAgeTracker).times
    return process.kernel.get("feed", ControlFeed).naming_times


def underestimated_ages(process: NodeProcess, span_s: float) -> list[str]:
    """Return the ages that a process underestimates after a suspension."""
    found = []
    if process.settings.role is NodeRole.CONTROL:
        age_ms = process.kernel.get("confirmation", ConfirmationMonitor).age_ms()
        if 0 <= age_ms < span_s * 1000:
            found.append(f"the age of the confirmation is {age_ms} ms")
    for age in naming_times(process).ages():
        if age.age_ms < span_s * 1000:
            found.append(f"the age of a version is {age.age_ms} ms")
    return found


Check = Callable[[], Awaitable[None]]

__all__ = ["CONTROLS", "ENTRIES", "SNAPSHOT_ENTRIES", "Site"]
