"""Long requests, some of which their engine answers before they are in. See claim.txt."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from clients import Client, make_body
from deployment import ZONES, CannotRun, Deployment, Record, run_case
from engines import EARLY_FAILURE, Engine

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 75.0
CLIENTS = 12
PAUSE_S = 0.9
BODY_BYTES = 400 * 1024  # maxBodyBytes is 4,194,304
LINK_BYTES_PER_S = 25e6 / 8  # what a client's own link carries
EARLY_EACH = 50  # x = 0.02, at one engine of three (share 0.35)
HOST = "uploads.example"
PATH = "/notes/"
SERVICE = "depot"
TIMEOUT_MS = 2000
LATE_S = 0.5  # after the route's timeout, as the rule says


def configuration() -> dict[str, object]:
    return {
        "version": 1,
        "routes": [
            {
                "name": "r-notes", "host": HOST, "pathPrefix": PATH, "type": "non_idempotent",
                "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 1000, "priority": 1, "service": SERVICE,
                "maxAttempts": 1, "public": False, "sticky": False, "resumable": False,
            }
        ],
        "services": [
            {"name": SERVICE, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": False}
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


async def main(folder: Path, record: Record) -> int:
    deployment = Deployment(folder, record)
    engines = [
        Engine(
            name=f"engine-{zone}", service=SERVICE, zone=ZONES[zone], host=deployment.host(zone, 5),
            port=deployment.port + 13, record=record,
            controls=[str(each.settings["operators"]) for each in deployment.controls],
            early=EARLY_FAILURE if TROUBLE and zone == 0 else "", early_each=EARLY_EACH,
        )
        for zone in range(3)
    ]
    answers = []
    try:
        deployment.start()
        await deployment.configure(configuration())
        for engine in engines:
            await engine.start()
        await deployment.wait_ready()
        await asyncio.sleep(2.0)

        async def run(number: int) -> None:
            entry = deployment.entries[number % len(deployment.entries)]
            client = Client(
                name=f"client-{number}", address=str(entry.settings["callers"]), host_field=HOST,
                path=PATH, record=record, link_bytes_per_s=LINK_BYTES_PER_S,
            )
            until_s = record.now() + SECONDS
            while record.now() < until_s:
                body = make_body(BODY_BYTES)
                body = b"%015d\n" % random.randrange(10**15) + body[16:]
                attempt = await client.request(body, chunked=False)
                answers.append(attempt)
                await asyncio.sleep(PAUSE_S * random.uniform(0.5, 1.5))
            client.close()

        await asyncio.gather(*(run(number) for number in range(CLIENTS)))
    finally:
        deployment.stop()
        for engine in engines:
            await engine.stop()
    served = sum(answer.status == 200 for answer in answers)
    early = sum(engine.early_answers for engine in engines)
    due = [answer for answer in answers if answer.waited_s > TIMEOUT_MS / 1000]
    late = [answer for answer in due if answer.waited_s > TIMEOUT_MS / 1000 + LATE_S]
    never = sum(answer.status == 0 for answer in late)
    record.write(
        "result", trouble=TROUBLE, sent=len(answers), served=served, answered_early=early,
        unanswered_at_timeout=len(due), unanswered_later=len(late), never_answered=never,
    )
    print(
        f"sent {len(answers)}, served {served}, answered early by an engine {early}, unanswered at the"
        f" route's timeout {len(due)}, still {LATE_S} s later {len(late)}, never answered {never}"
    )
    if served < len(answers) / 2 or (TROUBLE and not early):
        raise CannotRun("too little was served, or nothing was answered early")
    return 1 if len(late) > len(due) / 2 else 0


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
