"""Random long and short requests against servers that answer early, reset or fail.

``python -m tests.node.random_bodies --requests 10000 --seed 1`` plays more than the test does.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import tempfile
from collections import Counter
from pathlib import Path

from tests.node.early_answers import EarlyServer, LongCaller
from tests.node.site import Site, route
from tests.support import eventually

SERVERS = 3
CALLERS = 8
MAX_BYTES = 4 * 1024 * 1024
STATUSES = {200, 413, 500, 502, 503}
LATE_S = 2.7  # the route's timeout is 2 s; busy machines need some time


class RandomServer(EarlyServer):
    """Answers early, resets, or is slow, at random.

    Attributes
    ----------
    runs
        How often it ran each attempt.
    """

    def __init__(self, *, instance: str, service: str, seed: str) -> None:
        super().__init__(instance=instance, service=service)
        self.random = random.Random(seed)
        self.early = self._choose
        self.runs: Counter[str] = Counter()

    def _choose(self) -> int:
        drawn = self.random.random()
        self.resets = 0.1 < drawn < 0.15
        self.refuses = drawn < 0.1
        return 503 if drawn < 0.15 else 413 if drawn < 0.2 else 0

    async def run(self, attempt: str, body: bytes) -> None:
        self.runs[attempt] += 1
        await super().run(attempt, body)
        if self.random.random() < 0.05:
            await asyncio.sleep(0.8)  # longer than a hedge waits


class Findings:
    """What was seen of all requests."""

    def __init__(self) -> None:
        self.statuses: Counter[int] = Counter()
        self.wrong: list[str] = []


async def play(folder: Path, *, requests: int, seed: int) -> Findings:
    """Send random requests and compare what ran with what was sent."""
    servers = [
        RandomServer(instance=f"s-{number}", service="service", seed=f"{seed}/{number}")
        for number in range(SERVERS)
    ]
    findings = Findings()
    async with Site(folder=folder, servers=servers) as site:
        kinds = ("idempotent", "non_idempotent")
        await site.put_routes(*({**route(f"/{kind}/", "service"), "type": kind} for kind in kinds))

        async def served() -> bool:
            found = [await site.post("/idempotent/", b"short") for _ in range(6)]
            return set(found) == {200} and all(server.ran for server in servers)

        await eventually(served, "answers of all servers")

        async def call(number: int) -> None:
            source = random.Random(f"{seed}/caller/{number}")
            kind = kinds[number % 2]
            caller = LongCaller(address=site.callers, path=f"/{kind}/")
            for _ in range(requests // CALLERS):
                size = int(MAX_BYTES * source.random() ** 4)
                await check(caller, size, chunked=source.random() < 0.5, once=kind == kinds[1])
            caller.close()

        async def check(caller: LongCaller, size: int, *, chunked: bool, once: bool) -> None:
            start_s = asyncio.get_running_loop().time()
            status, head, attempt = await caller.request(size, chunked=chunked)
            took_s = asyncio.get_running_loop().time() - start_s
            findings.statuses[status] += 1
            ran = [server.ran[attempt] for server in servers if attempt in server.ran]
            count = sum(server.runs[attempt] for server in servers)
            problems = [
                (any(each != caller.sent[attempt] for each in ran), "ran with another body"),
                (status == 200 and not ran, "answered without a run"),
                (status == 503 and once and count > 0, "refused and has run"),
                (once and count > 1, "ran twice"),
                (status not in STATUSES, f"status {status}"),
                (took_s > LATE_S, f"answered after {took_s:.1f} s"),
                (status == 503 and b"retry-after" not in head.lower(), "no Retry-After"),
            ]
            findings.wrong += [f"{attempt}: {text}" for found, text in problems if found]

        await asyncio.gather(*(call(number) for number in range(CALLERS)))
    return findings


def main() -> None:
    """Play and print the findings."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=1_000)
    parser.add_argument("--seed", type=int, default=1)
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(play(Path(folder), requests=chosen.requests, seed=chosen.seed))
    print(f"statuses {dict(found.statuses)}, wrong {len(found.wrong)}: {found.wrong[:10]}")


if __name__ == "__main__":
    main()
