"""Measures an entry process beside servers whose answers have no end, by hand.

``python -m tests.soak.endless --kind head --seconds 12`` starts a control and an entry process, 6
proper servers of one service and 20 servers of another one that answer as the kind says: ``none``
(properly), ``head`` (fields without end), ``value`` (a field without end) or ``interim`` (interim
responses without end). These 20 are a process of their own. It prints
the entry's memory, what was served of the proper service, and the connections to its servers.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import multiprocessing
import os
import random
import statistics
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path

import aiohttp

from tests.forward.odd_server import answer
from tests.forward.planned_server import field_of
from tests.node.site import HEARTBEAT_S, HOST, PlainServer, route
from tests.soak.programs import Program
from tests.support import eventually, free_ports

WARM_UP_S = 3.0
BAD_CALLERS = 10
TIMEOUT_MS = 1_000
BAD_SERVERS = 20
PIECES = {
    "head": (b"X-Field: " + b"x" * 1_000 + b"\r\n") * 60,
    "value": b"x" * 60_000,
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" * 1_500,
}
_numbers = itertools.count(1)


class RawPlainServer(PlainServer):
    """Plain server that writes its answers itself.

    Attributes
    ----------
    kind
        What its answers are.
    connections
        Number of connections that it accepted.
    """

    def __init__(self, *, instance: str, service: str, kind: str) -> None:
        super().__init__(instance=instance, service=service)
        self.kind = kind
        self.connections = 0
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        assert self._listener is not None
        self._listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.005)
                if self.kind in PIECES:
                    await self._answer_without_end(writer)
                writer.write(
                    answer(field_of(head, "X-Attempt-Id"), f"X-Instance-Id: {self.instance}")
                )
                await writer.drain()
        writer.close()

    async def _answer_without_end(self, writer: asyncio.StreamWriter) -> None:
        if self.kind != "interim":
            writer.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
        while True:
            writer.write(PIECES[self.kind])
            await writer.drain()


def serve_bad(kind: str, told: Connection) -> None:
    """Serve the other service until the connection to the measurement ends."""

    async def run() -> None:
        servers = [_bad_server(number, kind) for number in range(BAD_SERVERS)]
        for server in servers:
            await server.start()
        told.send([server.address for server in servers])
        await asyncio.to_thread(told.poll, None)

    asyncio.run(run())


def _bad_server(number: int, kind: str) -> RawPlainServer:
    return RawPlainServer(instance=f"b{number}", service="bad", kind=kind)


class Measurement:
    """What callers got of the proper service, and what the others got."""

    def __init__(self) -> None:
        self.served = 0
        self.failed = 0
        self.after_ms: list[float] = []
        self.bad_statuses: dict[int, int] = {}
        self.bad_late = 0  # answers of the other service later than the deadline


async def measure(kind: str, seconds: float, callers: int, pause_s: float) -> dict[str, object]:
    """Run the processes and return the figures."""
    proper = [RawPlainServer(instance=f"p{n}", service="proper", kind="none") for n in range(6)]
    bad = [_bad_server(number, kind) for number in range(BAD_SERVERS)]
    context = multiprocessing.get_context("spawn")
    told, telling = context.Pipe()
    beside = context.Process(target=serve_bad, args=(kind, telling), daemon=True)
    beside.start()
    for server, server_address in zip(bad, await asyncio.to_thread(told.recv), strict=True):
        server.address = server_address
    control_host, entry_host = "127.0.91.1", "127.0.92.1"
    first = free_ports((control_host, entry_host), count=5)
    operators = f"{control_host}:{first + 2}"
    shared: dict[str, object] = {
        "region": "r",
        "failure_domain": "d",
        "ports": [first, first + 1],
        "seeds": [operators],
        "first_start": True,
        "tolerated_losses": 0,
        "heartbeat_ms": 400,
    }
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "disk").mkdir()
        control = Program(
            settings={
                "vm": "control",
                "role": "control",
                "host": control_host,
                "operators": operators,
                "data_folder": str(folder / "disk"),
                **shared,
            },
            folder=folder,
        )
        entry_callers = f"{entry_host}:{first + 3}"
        entry = Program(
            settings={
                "vm": "entry",
                "role": "entry",
                "host": entry_host,
                "callers": entry_callers,
                "readiness": f"{entry_host}:{first + 4}",
                **shared,
            },
            folder=folder,
        )
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=10)
        ) as http:
            control.start()
            entry.start()
            for server in proper:
                await server.start()
            announcing = asyncio.create_task(_announce(http, operators, [*proper, *bad]))
            try:
                await _put_routes(http, operators)
                return await _measure(
                    http, entry, entry_callers, proper, seconds, callers, pause_s, kind
                )
            finally:
                announcing.cancel()
                for program in (entry, control):
                    await program.end()
                for server in proper:
                    await server.stop()
                beside.terminate()


async def _measure(
    http: aiohttp.ClientSession,
    entry: Program,
    address: str,
    proper: list[RawPlainServer],
    seconds: float,
    callers: int,
    pause_s: float,
    kind: str,
) -> dict[str, object]:
    found = Measurement()

    async def serves() -> bool:
        return await _ask(http, address, "/proper/") == 200 and found is not None

    await eventually(serves, "an answer")
    url = "/proper/"

    async def ask_on(pause_s: float) -> None:
        due_s = time.monotonic() + random.uniform(0, pause_s)
        while True:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            due_s += pause_s
            began_s = time.monotonic()
            status = await _ask(http, address, url)
            found.served += status == 200
            found.failed += status != 200
            found.after_ms.append(1000 * (time.monotonic() - began_s))

    async def ask_bad() -> None:
        while True:
            began_s = time.monotonic()
            status = await _ask(http, address, "/bad/")
            found.bad_statuses[status] = found.bad_statuses.get(status, 0) + 1
            found.bad_late += time.monotonic() - began_s > TIMEOUT_MS / 1000 + 0.6
            await asyncio.sleep(0.02)

    tasks = [asyncio.create_task(ask_on(pause_s)) for _ in range(callers)]
    await asyncio.sleep(WARM_UP_S)
    before_mb = _memory_mb(entry)
    found.served = found.failed = 0
    found.after_ms.clear()
    opened = sum(server.connections for server in proper)
    tasks += [asyncio.create_task(ask_bad()) for _ in range(BAD_CALLERS)]
    peak_mb, began_s, used_s = before_mb, time.monotonic(), _cpu_s(entry)
    while time.monotonic() - began_s < seconds:
        await asyncio.sleep(0.1)
        peak_mb = max(peak_mb, _memory_mb(entry))
    took_s, used_s = time.monotonic() - began_s, _cpu_s(entry) - used_s
    served, failed = found.served, found.failed
    opened = sum(server.connections for server in proper) - opened
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {
        "kind": kind,
        "memory_before_mb": round(before_mb, 1),
        "memory_growth_mb": round(peak_mb - before_mb, 1),
        "entry_cpu_share": round(used_s / took_s, 2),
        "served_per_s": round(served / took_s, 1),
        "failed": failed,
        "median_ms": round(statistics.median(found.after_ms), 1) if found.after_ms else None,
        "connections_opened": opened,
        "connections_per_1000": round(1000 * opened / max(1, served), 2),
        "bad_statuses": found.bad_statuses,
        "bad_late": found.bad_late,
    }


async def _ask(http: aiohttp.ClientSession, address: str, path: str) -> int:
    headers = {"Host": HOST, "X-Attempt-Id": f"{next(_numbers):016x}"}
    try:
        async with http.get(f"http://{address}{path}", headers=headers) as found:
            await found.read()
            return found.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0


async def _announce(
    http: aiohttp.ClientSession, operators: str, servers: list[RawPlainServer]
) -> None:
    while True:
        for server in servers:
            url = f"http://{operators}/-/instances/{server.instance}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with http.put(url, json=server.heartbeat()):
                    pass
        await asyncio.sleep(8 * HEARTBEAT_S)


async def _put_routes(http: aiohttp.ClientSession, operators: str) -> None:
    usual = {"timeoutMs": TIMEOUT_MS, "targetLatencyMs": 500}
    document = {
        "version": 1,
        "routes": [{**route(f"/{name}/", name), **usual} for name in ("proper", "bad")],
        "services": [{"name": "proper"}, {"name": "bad"}],
    }

    async def acknowledged() -> bool:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with http.put(f"http://{operators}/-/config", json=document) as found:
                return found.status == 200
        return False

    await eventually(acknowledged, "an acknowledged table")


def _cpu_s(program: Program) -> float:
    fields = Path(f"/proc/{program.process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(program: Program) -> float:
    for line in Path(f"/proc/{program.process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def main() -> None:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--kind", choices=["none", *PIECES], default="none")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--callers", type=int, default=12, help="of the proper service")
    parser.add_argument(
        "--pause", type=float, default=0.1, help="between the beginnings of a caller's requests"
    )
    parser.add_argument("--source", default="", help="source of the processes, if not this one")
    options = parser.parse_args()
    if options.source:
        os.environ["PYTHONPATH"] = options.source
    figures = asyncio.run(measure(options.kind, options.seconds, options.callers, options.pause))
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
