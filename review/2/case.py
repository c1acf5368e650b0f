"""Two control machines lose their disks, one after the other, after many changes of a large table.

See claim.txt.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import string
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import BOUNDS, CannotRun, Deployment, Process, Record, call, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IDLE_ROUTES = 110
ADDED_ROUTES = 350  # of one change of the kind big_config
BIG_CONFIGS = 5
CHANGES = int(os.environ.get("CHANGES", "245"))  # before the first loss
BETWEEN_CHANGES_S = 0.06  # the shortest gap of config_storm in a day of the site
DOWN_S = 3.0
BETWEEN_S = 8.0  # from one machine's return to the next loss; catchUpS is 4
RECOVER_S = 12.0
READ_S = float(BOUNDS["contact_ms"]) / 1000 + 2.0
SERVICE = "depot"
ALPHABET = string.ascii_lowercase + string.digits


def name(length: int) -> str:
    return "".join(random.choices(ALPHABET, k=length))


def route() -> dict[str, object]:
    return {
        "name": f"r-{name(7)}", "host": f"{name(6)}.example", "pathPrefix": f"/{name(7)}/{name(4)}/",
        "type": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 405, "priority": 1,
        "service": SERVICE, "maxAttempts": 2, "public": False, "sticky": False, "resumable": False,
    }


def configuration(version: int, routes: list[dict[str, object]]) -> dict[str, object]:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": SERVICE, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": False}
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
    }


class Operator:
    """Sends configurations, each until it is acknowledged, and reads them back."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._controls = [str(each.settings["operators"]) for each in deployment.controls]
        self._record = record
        self._place = 0
        self.acknowledged = 0
        self.acknowledged_by = 0  # place of the control machine

    def use_next(self) -> None:
        """Begin with the next control machine."""
        self._place += 1

    async def send(self, document: dict[str, object], patience_s: float = 20.0) -> bool:
        body = json.dumps(document).encode()
        until_s = time.monotonic() + patience_s
        while time.monotonic() < until_s:
            address = self._controls[self._place % len(self._controls)]
            status, _ = await call(address, "PUT", "/-/config", body, timeout_s=3.0)
            if status == 200:
                self.acknowledged = int(str(document["version"]))
                self.acknowledged_by = self._place % len(self._controls)
                self._record.write(
                    "acknowledged", version=document["version"], bytes=len(body), by=address
                )
                return True
            self._record.write("not acknowledged", version=document["version"], status=status, by=address)
            self._place += 1
            await asyncio.sleep(0.2)
        return False

    async def read(self) -> dict[str, int]:
        """Read the configuration at each control machine: the version, or minus the status."""
        found = {}
        for address in self._controls:
            status, body = await call(address, "GET", "/-/config", timeout_s=3.0)
            found[address] = int(json.loads(body)["version"]) if status == 200 else -status
        self._record.write("read", found=found)
        return found


async def lose_disk(control: Process, record: Record) -> None:
    """Let a machine lose power and its disk, and come back after a while."""
    control.send(signal.SIGKILL)
    await control.wait_end(2.0)
    folder = Path(str(control.settings["data_folder"]))
    shutil.rmtree(folder)
    folder.mkdir()
    record.write("disk lost", vm=control.vm)
    await asyncio.sleep(DOWN_S)
    control.start()
    record.write("back with an empty disk", vm=control.vm)


async def main(folder: Path, record: Record) -> int:
    deployment = Deployment(folder, record)
    operator = Operator(deployment, record)
    try:
        deployment.start()
        routes = [route() for _ in range(IDLE_ROUTES)]
        await deployment.configure(configuration(1, routes))
        await deployment.wait_ready()

        async def change(version: int) -> None:
            if version <= 1 + BIG_CONFIGS:
                routes.extend(route() for _ in range(ADDED_ROUTES))
            random.choice(routes)["timeoutMs"] = random.randrange(1000, 4000)
            if not await operator.send(configuration(version, routes)):
                raise CannotRun(f"version {version} was not acknowledged")
            await asyncio.sleep(BETWEEN_CHANGES_S)

        for version in range(2, CHANGES + 1):
            await change(version)
        changed_s = record.now()
        lost: list[Process] = []
        for _ in range(2 if TROUBLE else 0):
            control = deployment.controls[operator.acknowledged_by]
            if control in lost:
                raise CannotRun("a machine acknowledged that had lost its disk before")
            lost.append(control)
            await lose_disk(control, record)
            await asyncio.sleep(BETWEEN_S)
            await operator.read()
            if len(lost) == 1:
                operator.use_next()
                await change(operator.acknowledged + 1)
        await asyncio.sleep(RECOVER_S)
        until_s = time.monotonic() + READ_S
        newest = -1
        while time.monotonic() < until_s and newest < operator.acknowledged:
            newest = max(newest, *(await operator.read()).values())
            await asyncio.sleep(0.3)
    finally:
        deployment.stop()
        if os.environ.get("KEEP"):
            for process in deployment.processes:
                shutil.copy(process.folder / "log", Path(os.environ["KEEP"]) / f"{process.vm}.log")
    record.write(
        "result", trouble=TROUBLE, acknowledged=operator.acknowledged, read_back=newest,
        changes_took_s=round(changed_s, 1),
    )
    print(f"newest acknowledged version {operator.acknowledged}, read back at the end: {newest}")
    return 1 if newest < operator.acknowledged else 0


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
