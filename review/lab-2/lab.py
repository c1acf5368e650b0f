"""Stand-ins and helpers of the second review's scripts: processes, servers, clients, operator.

Only Python's standard library is used. Processes start as deploy/system.toml says; every address is a
loopback address.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
BEGAN_S = time.monotonic()
BROKEN, HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {  # those of the sheet of Ifrane
    "contact_ms": 3000, "acknowledge_ms": 4000, "configuration_ms": 2000, "drain_ms": 2000,
    "stop_grace_s": 8, "version_ms": 8000, "pass_ms": 120, "retry_ratio": 0.2, "retry_slack": 102,
    "retry_window_s": 10, "address_reuse_s": 2,
}
LIMITS = {
    "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
}


def now():
    """Seconds since the script began."""
    return time.monotonic() - BEGAN_S


class Record:
    """Writes record.txt: what was sent, answered and run, with the time."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *parts):
        line = "%8.3f  %s" % (now(), "  ".join(str(part) for part in parts))
        self._file.write(line + "\n")
        self._file.flush()


def free_ports(hosts):
    """Find the first of a range of ports that are free on all hosts."""
    for _ in range(50):
        base = 21000 + 40 * random.randrange(250)
        try:
            for host in hosts:
                for port in range(base, base + 20):
                    with socket.socket() as probe:
                        probe.bind((host, port))
            return base
        except OSError:
            continue
    raise SystemExit(NOT_RUN)


class Program:
    """One process of the system, on a machine (a loopback address) of its own."""

    def __init__(self, lab, settings):
        self.settings, self.vm, self.process = settings, settings["vm"], None
        self._file = os.path.join(lab.folder, self.vm + ".json")
        self.log = os.path.join(lab.folder, self.vm + ".log")

    def start(self):
        with open(self._file, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
            "LEADHOLLOW_NODE_FILE": self._file,
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "leadhollow", "platform"],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )
        self.settings["first_start"] = False

    def running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.running():
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_mb(self):
        """Private memory of the process, without its files and libraries."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
                line = next(line for line in file if line.startswith("RssAnon"))
            return int(line.split()[1]) // 1024
        except (OSError, StopIteration):
            return 0


class Lab:
    """Three zones with a control machine each, and entries."""

    def __init__(self, *, heartbeat_ms=1200, bounds=None):
        self.zones = ("a", "b", "c")
        self.heartbeat_ms = heartbeat_ms
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._network = random.randrange(60, 250)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.base = free_ports([self.host(zone, place) for zone in self.zones for place in (1, 5, 6, 20, 21)])
        self.programs = []
        self.cores = [self._core(zone) for zone in self.zones]
        self.entries = []

    def host(self, zone, place):
        return "127.%d.%d.%d" % (self._network, self.zones.index(zone) + 1, place)

    def _settings(self, zone, place, role):
        return {
            "vm": "%s-%s-%d" % (role, zone, place), "region": zone, "failure_domain": zone,
            "regions": {each: each for each in self.zones}, "role": role,
            "host": self.host(zone, place), "ports": [self.base, self.base + 8],
            "seeds": ["%s:%d" % (self.host(each, 1), self.base + 10) for each in self.zones],
            "first_start": True, "tolerated_losses": 1, "heartbeat_ms": self.heartbeat_ms,
            "link_mbit_per_s": 1000.0, "bounds": self._bounds,
        }

    def _add(self, settings):
        program = Program(self, settings)
        self.programs.append(program)
        return program

    def _core(self, zone):
        settings = self._settings(zone, 1, "control")
        settings["data_folder"] = os.path.join(self.folder, "disk-" + zone)
        os.makedirs(settings["data_folder"])
        settings["operators"] = "%s:%d" % (settings["host"], self.base + 10)
        return self._add(settings)

    def add_entry(self, zone, place=20):
        settings = self._settings(zone, place, "entry")
        settings["callers"] = "%s:%d" % (settings["host"], self.base + 11)
        settings["readiness"] = "%s:%d" % (settings["host"], self.base + 12)
        entry = self._add(settings)
        self.entries.append(entry)
        return entry

    def stop(self):
        for program in self.programs:
            program.end()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].split(b"\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        fields[name.strip().lower().decode()] = value.strip().decode()
    return lines[0].decode(), fields


async def read_body(reader, fields, *, until_close=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_close else b""


async def http(address, method, path, fields=None, body=b"", *, timeout_s=5.0):
    """Send one request on a connection of its own; (status or what went wrong, fields, body)."""
    host, _, port = address.partition(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            sent = {"Host": address, **(fields or {})}
            if body or method in ("PUT", "POST"):
                sent["Content-Length"] = str(len(body))
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            head += "".join("%s: %s\r\n" % pair for pair in sent.items()) + "\r\n"
            writer.write(head.encode() + body)
            line, got = await read_head(reader)
            return int(line.split()[1]), got, await read_body(reader, got, until_close=True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (asyncio.TimeoutError, TimeoutError):
        return "no answer", {}, b""
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        return type(error).__name__, {}, b""


async def operate(lab, method, path, body=b"", *, timeout_s=15.0, call_s=1.0):
    """Call control as the operator does: one replica after the other, with growing pauses."""
    until_s = now() + timeout_s
    turn, pause_s = random.randrange(3), 0.05
    while now() < until_s:
        address = lab.cores[turn % 3].settings["operators"]
        status, _, got = await http(
            address, method, path, {"Content-Type": "application/json"}, body, timeout_s=call_s
        )
        if status in (200, 400, 409, 412, 413, 422):
            return status, got
        turn += 1
        await asyncio.sleep(pause_s)
        pause_s = min(1.0, 2 * pause_s)
    return None, b""


class Server:
    """A server of a service, by the platform's protocol: heartbeats, instance check, a handler."""

    def __init__(self, lab, zone, place, service, handler, *, slots=8):
        self._lab, self._zone, self._service, self._handler = lab, zone, service, handler
        self._slots = slots
        self.host, self.port = lab.host(zone, place), lab.base + 14
        self.id, self._sequence = "i-%08x" % random.randrange(1 << 32), 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self._task = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            for core in random.sample(self._lab.cores, 3):
                self._sequence += 1
                beat = {
                    "service": self._service, "address": "%s:%d" % (self.host, self.port),
                    "zone": self._zone, "version": "v1", "slots": self._slots, "state": "ready",
                    "coldRemainingMs": 0, "sequence": self._sequence,
                }
                status, _, _ = await http(
                    core.settings["operators"], "PUT", "/-/instances/" + self.id,
                    {"Content-Type": "application/json"}, json.dumps(beat).encode(), timeout_s=1.0,
                )
                if status == 200:
                    break
            await asyncio.sleep(self._lab.heartbeat_ms / 1000)

    async def _serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, fields)
                attempt = fields.get("x-attempt-id", "")
                if fields.get("x-expect-instance", self.id) != self.id:
                    status, extra, answer = "421 Misdirected Request", "X-Not-Executed: 1\r\n", b""
                elif path == "/health":
                    status, extra, answer = "200 OK", "X-Instance-Id: %s\r\n" % self.id, b""
                else:
                    status, extra, answer = await self._handler(self, method, path, fields, body)
                writer.write(
                    ("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
                     % (status, attempt, extra, len(answer))).encode() + answer
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()


def signed(attempt):
    """The signature field of an answer."""
    return "X-Response-Signature: s.%s\r\n" % attempt


async def all_ready(entries, *, timeout_s=25.0):
    """Wait until all entries say that they are ready."""
    until_s = now() + timeout_s
    while now() < until_s:
        answers = [
            await http(entry.settings["readiness"], "GET", "/-/ready", timeout_s=1.0)
            for entry in entries
        ]
        if all(answer[0] == 200 for answer in answers):
            return True
        await asyncio.sleep(0.1)
    return False


def run(main, folder, *, bounds=None):
    """Run a case to its exit code; whatever happens, all processes end."""
    lab, record = Lab(bounds=bounds), Record(folder)
    try:
        code = asyncio.run(main(lab, record))
    except Exception as error:  # the case could not run
        record("could not run:", repr(error))
        code = NOT_RUN
    finally:
        lab.stop()
    record("exit", code)
    print({BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "not run"}[code])
    sys.exit(code)
