"""Measures an entry beside one crowd: ``python -m tests.hostile --kind KIND``; a JSON line.

Kind ``uploads`` is no crowd: ordinary callers send long bodies, all at once, three times.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import statistics
import tempfile
import time
from pathlib import Path

from tests.hostile.crowd_process import CROWDS, start_crowd
from tests.hostile.deployment import Deployment, Watch
from tests.support import eventually

UPLOAD_BYTES = 4_000_000
UPLOAD_ROUNDS = 3
UPLOADS = "uploads"
ORDINARY_INTERVAL_S = 0.05
START_S = 1.0  # of the process of the crowd
COME_S = 1.0  # until all have come


async def send_ordinary(deployment: Deployment, until_s: float) -> dict[str, object]:
    """Send ordinary requests one after the other; return how many were served, and their times."""
    durations_s: list[float] = []
    served = 0
    while time.monotonic() < until_s:
        began_s = time.monotonic()
        served += await deployment.is_served()
        durations_s.append(time.monotonic() - began_s)
        await asyncio.sleep(ORDINARY_INTERVAL_S)
    return {
        "ordinary": len(durations_s),
        "ordinary_served": served,
        "ordinary_median_s": round(statistics.median(durations_s), 3),
        "ordinary_longest_s": round(max(durations_s), 3),
    }


async def face_crowd(
    deployment: Deployment, kind: str, connections: int, span_s: float
) -> dict[str, object]:
    """Send ordinary requests beside a crowd, which must not hold up those who measure."""
    crowd = start_crowd(deployment.callers, kind, connections=connections, span_s=COME_S + span_s)
    await asyncio.sleep(START_S + COME_S)
    beside = await send_ordinary(deployment, time.monotonic() + span_s)
    await asyncio.to_thread(crowd.join)
    if crowd.exitcode != 0:
        message = f"the crowd ended with exit code {crowd.exitcode}"
        raise RuntimeError(message)
    await eventually(deployment.is_served, "an answer after the crowd")
    return beside


async def upload(deployment: Deployment, callers: int) -> dict[str, object]:
    """Let ordinary callers send long bodies at once."""
    body = bytes(UPLOAD_BYTES)
    served = 0
    for _ in range(UPLOAD_ROUNDS):
        served += sum(await asyncio.gather(*(deployment.is_served(body) for _ in range(callers))))
    return {"uploads": UPLOAD_ROUNDS * callers, "uploads_served": served}


async def measure(arguments: argparse.Namespace, folder: Path) -> dict[str, object]:
    """Run one measurement; return its figures."""
    async with Deployment(folder=folder, memory_mb=arguments.memory_mb) as deployment:
        watch = Watch(deployment.entry.process_id)
        sampling = asyncio.create_task(watch.run())
        if arguments.kind == UPLOADS:
            found = await upload(deployment, arguments.connections)
        else:
            found = await face_crowd(
                deployment, arguments.kind, arguments.connections, arguments.span_s
            )
        sampling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampling
        return {**found, "peak_mb": round(watch.peak_mb, 1), "running": deployment.entry.running}


def main() -> None:
    """Parse the arguments, measure and print."""
    parser = argparse.ArgumentParser(prog="python -m tests.hostile", description=__doc__)
    parser.add_argument("--kind", choices=[*CROWDS, UPLOADS], required=True)
    parser.add_argument("--connections", type=int, default=200)
    parser.add_argument("--memory-mb", type=int, default=96)
    parser.add_argument("--span-s", type=float, default=6.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(measure(arguments, Path(folder)))
    print(json.dumps({**vars(arguments), **found}))


if __name__ == "__main__":
    main()
