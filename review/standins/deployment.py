"""A small deployment on loopback: the project's own programs as separate processes.

Three control machines, two entry machines and the plain engines of one service. Each machine has a
loopback address of its own. The programs start with the command and the settings template of the
deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import NoReturn

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
COMMAND = ["python3", "-S", "-m", "leadhollow", "platform"]  # `run` of each role in deploy/system.toml
HEARTBEAT_MS = 1_200
LONGEST_S = 112.0
BOUNDS = {  # those of the site file ifrane-deneige
    "contact_ms": 3000,
    "acknowledge_ms": 4000,
    "configuration_ms": 2000,
    "drain_ms": 2000,
    "stop_grace_s": 8.0,
    "version_ms": 8000,
    "pass_ms": 120,
    "retry_ratio": 0.2,
    "retry_slack": 102.0,
    "retry_window_s": 10,
    "address_reuse_s": 2,
}


class CannotRun(Exception):
    """The case cannot be run here."""


class Record:
    """Writes ``record.txt``: one JSON object a line, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.start_s = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start_s

    def write(self, event: str, **fields: object) -> None:
        line = {"t": round(self.now(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


class Process:
    """One process of the system."""

    def __init__(self, settings: dict[str, object], folder: Path) -> None:
        self.settings = settings
        self.vm = str(settings["vm"])
        self.folder = folder / self.vm
        self.folder.mkdir(parents=True)
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        file = self.folder / "settings.json"
        file.write_text(json.dumps(self.settings))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LEADHOLLOW_NODE_FILE": str(file),
        }
        with (self.folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.settings["first_start"] = False

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        if self.running and self._process is not None:
            self._process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> bool:
        until_s = time.monotonic() + timeout_s
        while self.running:
            if time.monotonic() > until_s:
                return False
            await asyncio.sleep(0.02)
        return True

    def end(self) -> None:
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


class Deployment:
    """Addresses, processes and the operator of one run."""

    def __init__(self, folder: Path, record: Record, *, entries: int = 2) -> None:
        self.record = record
        self._network = random.randrange(20, 240)
        self._second = random.randrange(1, 250)
        self.port = _free_port(self.host(0, 1))
        seeds = [f"{self.host(zone, 1)}:{self.port + 10}" for zone in range(3)]
        self.controls = []
        self.entries = []
        for zone in range(3):
            settings = self._settings(zone, 1, "control", seeds)
            disk = folder / f"disk-{zone}"
            disk.mkdir(parents=True)
            settings["data_folder"] = str(disk)
            settings["operators"] = f"{settings['host']}:{self.port + 10}"
            self.controls.append(Process(settings, folder))
        for zone in range(entries):
            settings = self._settings(zone, 2, "entry", seeds)
            settings["callers"] = f"{settings['host']}:{self.port + 11}"
            settings["readiness"] = f"{settings['host']}:{self.port + 12}"
            self.entries.append(Process(settings, folder))
        self._source: bytes = b""

    @property
    def processes(self) -> list[Process]:
        return [*self.controls, *self.entries]

    def host(self, zone: int, place: int) -> str:
        """Return the address of a machine; its first two numbers are drawn for each run."""
        return f"127.{self._network}.{self._second}.{10 * (zone + 1) + place}"

    def _settings(
        self, zone: int, place: int, role: str, seeds: list[str]
    ) -> dict[str, object]:
        return {
            "vm": f"{role}-{ZONES[zone]}",
            "region": ZONES[zone],
            "failure_domain": ZONES[zone],
            "regions": {name: name for name in ZONES},
            "role": role,
            "host": self.host(zone, place),
            "ports": [self.port, self.port + 9],
            "seeds": seeds,
            "first_start": True,
            "tolerated_losses": 1,
            "heartbeat_ms": HEARTBEAT_MS,
            "link_mbit_per_s": 1000.0,
            "bounds": BOUNDS,
        }

    def start(self) -> None:
        if not (ROOT / "target" / "deps" / "leadhollow").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file first")
        for process in self.processes:
            process.start()

    def stop(self) -> None:
        for process in self.processes:
            process.end()

    async def configure(self, configuration: dict[str, object], patience_s: float = 20.0) -> None:
        """Send a configuration again and again, to one control machine after another."""
        self._source = json.dumps(configuration).encode()
        until_s = time.monotonic() + patience_s
        attempt = 0
        while time.monotonic() < until_s:
            control = self.controls[attempt % len(self.controls)]
            attempt += 1
            status, _ = await call(str(control.settings["operators"]), "PUT", "/-/config", self._source)
            if status == 200:
                self.record.write("configuration acknowledged", version=configuration["version"])
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    async def wait_ready(self, patience_s: float = 20.0) -> None:
        """Wait until each entry says that it is ready."""
        until_s = time.monotonic() + patience_s
        for entry in self.entries:
            while (await call(str(entry.settings["readiness"]), "GET", "/-/ready"))[0] != 200:
                if time.monotonic() > until_s:
                    raise CannotRun(f"{entry.vm} does not become ready")
                await asyncio.sleep(0.1)


async def call(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 1.0
) -> tuple[int, bytes]:
    """Make one HTTP call on a new connection; status 0 if there is no answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status, fields = await read_head(reader)
            length = int(fields.get("content-length", "0"))
            return status, await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    """Read the head of a response: its status and its fields in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return int(lines[0].split(" ")[1]), fields


def run_case(main: Callable[[Path, Record], Coroutine[None, None, int]], case: Path) -> NoReturn:
    """Run a case and exit with its code; 2 if it could not run."""
    record = Record(case / "record.txt")
    signal.signal(signal.SIGTERM, _interrupt)
    code = 2
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        try:
            code = asyncio.run(asyncio.wait_for(main(Path(name), record), LONGEST_S))
        except (CannotRun, OSError, TimeoutError, KeyboardInterrupt) as error:
            print(f"cannot run: {error!r}")
            record.write("cannot run", error=repr(error))
    sys.exit(code)


def _interrupt(number: int, frame: object) -> NoReturn:
    raise KeyboardInterrupt


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return 12_000 + int(probe.getsockname()[1]) % 15_000


__all__ = [
    "BOUNDS",
    "HEARTBEAT_MS",
    "ROOT",
    "ZONES",
    "CannotRun",
    "Deployment",
    "Process",
    "Record",
    "call",
    "read_head",
    "run_case",
]
