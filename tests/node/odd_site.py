"""A site whose backend servers answer as the model of odd answers plans, and its callers.

``python -m tests.node.odd_site 1 4 600`` plays 4 seeds from 1 on, with 600 requests each.
"""

from __future__ import annotations

import asyncio
import random
import re
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import aiohttp

from leadhollow.node.entry_role import EntryDispatcher
from tests.forward.answer_model import AnswerPlanner, Plan, Result
from tests.forward.odd_server import body_of
from tests.forward.planned_server import Judgement, field_of, serve_planned
from tests.node.site import HOST, PlainServer, Site, route
from tests.node.streaming import FIELDS, streaming_route
from tests.support import eventually

CALLERS = 24
TIMEOUT_MS = 900
KEY = "key"
ORGANISATIONS = [{"name": "g", "apiKeys": [KEY]}]
EVENTS = 9
EVENT_END = re.compile(rb"(?<=\n\n)|(?<=\r\n\r\n)")
EVENT_STATUSES = ("200 OK", "200 OK", "200 OK", "200 OK", "500 Internal Server Error")


def events_of(request_id: str, first: int) -> list[bytes]:
    """Return the events of a stream, from one of them on."""
    return [f"id: {n}\ndata: {request_id}/{n}\n\n".encode() for n in range(first, EVENTS)]


class OddPlainServer(PlainServer):
    """Backend server that follows a planner.

    Attributes
    ----------
    plans
        Plans of the requests that it got, by the request's id.
    """

    def __init__(self, *, instance: str, service: str, seed: int) -> None:
        super().__init__(instance=instance, service=service)
        self.plans: dict[str, list[Plan]] = {}
        self._planner = self._make_planner(seed)
        self._listener: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        assert self._listener is not None
        self._listener.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def _make_planner(self, seed: int) -> AnswerPlanner:
        return AnswerPlanner(
            seed=seed,
            odd_share=0.5,
            parts_of=lambda request_id, size: [body_of(f"{request_id}/{self.instance}", size)],
            name=self.instance,
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)
        await serve_planned(reader, writer, self._plan)

    def _plan(self, head: bytes, earlier: Sequence[str]) -> Plan:
        plan = self._planner.plan(field_of(head, "X-Attempt-Id"), earlier)
        self.plans.setdefault(plan.request_id, []).append(plan)
        return plan


class OddEngine(OddPlainServer):
    """Engine that follows a planner; it resumes streams."""

    def __init__(self, *, instance: str, service: str, seed: int) -> None:
        self._firsts: dict[str, int] = {}
        super().__init__(instance=instance, service=service, seed=seed)

    def record(self) -> dict[str, object]:
        return {
            "name": self.service,
            "engine": {
                "slots": 64,
                "models": [{"name": "m", "warmS": 0.1}],
                "step_ms": 1.0,
                "read_per_s": 100_000.0,
            },
        }

    def heartbeat(self) -> dict[str, object]:
        models = [{"name": "m", "version": 1, "adapters": []}]
        return {**super().heartbeat(), "slots": 64, "models": models}

    def _make_planner(self, seed: int) -> AnswerPlanner:
        return AnswerPlanner(
            seed=seed,
            odd_share=0.5,
            parts_of=lambda request_id, _: events_of(request_id, self._firsts.get(request_id, 0)),
            name=self.instance,
            statuses=EVENT_STATUSES,
        )

    def _plan(self, head: bytes, earlier: Sequence[str]) -> Plan:
        last = field_of(head, "Last-Event-Id")
        self._firsts[field_of(head, "X-Attempt-Id")] = int(last) + 1 if last else 0
        return super()._plan(head, earlier)


class OddSite:
    """Callers of a site with odd servers, and what they got.

    Attributes
    ----------
    judgement
        Of all answers so far.
    """

    def __init__(self, *, folder: Path, seed: int) -> None:
        self.judgement = Judgement()
        self._seed = seed
        self._random = random.Random(seed)
        self._sent = 0
        self._plain = self._servers(OddPlainServer, "plain", 4)
        self._engines = self._servers(OddEngine, "engines", 4)
        self._site = Site(folder=folder, servers=[*self._plain, *self._engines])

    async def play(self, requests: int) -> None:
        """Send requests on all routes, some at a time."""
        async with self._site as site:
            usual = {"timeoutMs": TIMEOUT_MS, "targetLatencyMs": 300, "maxAttempts": 3}
            stream = streaming_route(resumable=True, gapTargetMs=200)
            await site.put_routes(
                {**route("/plain/", "plain"), **usual},
                {**route("/keyed/", "plain"), **usual, "public": False},
                {**stream, **usual, **_path("/resumed/")},
                {**stream, **usual, **_path("/once/"), "resumable": False},
                organisations=ORGANISATIONS,
            )
            await site.pause()
            dispatcher = site.entry.kernel.get("dispatching", EntryDispatcher)
            await eventually(dispatcher.has_confirmed_table, "a confirmed table")
            self._left = requests
            async with asyncio.TaskGroup() as group:
                for _ in range(CALLERS):
                    group.create_task(self._ask_on(site))

    def _servers(
        self, kind: type[OddPlainServer], service: str, count: int
    ) -> list[OddPlainServer]:
        return [
            kind(instance=f"i-{service}-{index}", service=service, seed=1000 * self._seed + index)
            for index in range(count)
        ]

    async def _ask_on(self, site: Site) -> None:
        while self._left > 0:
            self._left -= 1
            self._sent += 1
            request_id = f"{self._seed:04x}{self._sent:08x}"
            path = self._random.choice(("/plain/", "/keyed/", "/resumed/", "/once/"))
            result = await self._ask(site, path, request_id)
            if path in ("/plain/", "/keyed/"):
                self._judge_plain(request_id, result)
            else:
                self._judge_stream(request_id, result)

    async def _ask(self, site: Site, path: str, request_id: str) -> tuple[Result, bool] | None:
        """Return the answer, as far as it came, and whether it is whole; None if none came."""
        fields = {"Host": HOST, "X-Attempt-Id": request_id, "Authorization": f"Bearer {KEY}"}
        if path not in ("/plain/", "/keyed/"):
            fields |= FIELDS
        url, data, whole = f"http://{site.callers}{path}a", b"", False
        try:
            sent = site.http.post(url, data=request_id.encode(), headers=fields)
            async with sent as answer:
                signature = answer.headers.get("X-Response-Signature", "")
                try:
                    async for part in answer.content.iter_any():
                        data += part
                    whole = True
                except (aiohttp.ClientError, TimeoutError):
                    pass
                return (answer.status, signature, data), whole
        except (aiohttp.ClientError, TimeoutError):
            return None

    def _judge_plain(self, request_id: str, found: tuple[Result, bool] | None) -> None:
        result = None if found is None or not found[1] else found[0]
        if result is not None and not result[1]:
            self._judge_own_failure(request_id, result)
            return
        plans = self._plans(self._plain, request_id)
        self.judgement.judge_any(plans, result)

    def _judge_stream(self, request_id: str, found: tuple[Result, bool] | None) -> None:
        if found is None:
            self.judgement.counts["failed"] += 1
            return
        (status, signature, data), whole = found
        plans = self._plans(self._engines, request_id)
        if not signature:
            self._judge_own_failure(request_id, (status, signature, data))
        elif status != 200:
            self.judgement.judge_any(plans, found[0] if whole else None)
        elif not any(plan.own[:2] == (status, signature) for plan in plans):
            self.judgement.wrong.append(f"{request_id}: no server said {status} {signature}")
        else:
            *events, rest = EVENT_END.split(data)
            if rest and whole:
                self.judgement.wrong.append(f"{request_id}: ends within an event: {rest!r}")
            self.judgement.judge_events(plans, events, events_of(request_id, 0), whole=whole)

    def _judge_own_failure(self, request_id: str, result: Result) -> None:
        self.judgement.counts["failed"] += 1
        if result[0] < 400:
            self.judgement.wrong.append(f"{request_id}: a success without a signature: {result}")

    def _plans(self, servers: Sequence[OddPlainServer], request_id: str) -> list[Plan]:
        return [plan for server in servers for plan in server.plans.get(request_id, [])]


def _path(prefix: str) -> dict[str, object]:
    return {
        "name": f"r-{prefix.strip('/')}",
        "pathPrefix": prefix,
        "service": "engines",
    }


async def _run_by_hand(first_seed: int, seeds: int, requests: int) -> None:
    for seed in range(first_seed, first_seed + seeds):
        with tempfile.TemporaryDirectory() as folder:
            odd = OddSite(folder=Path(folder), seed=seed)
            await odd.play(requests)
        print(f"seed {seed}:", dict(odd.judgement.counts), "wrong:", len(odd.judgement.wrong))
        for line in odd.judgement.wrong:
            print(line)


if __name__ == "__main__":
    asyncio.run(_run_by_hand(*map(int, sys.argv[1:4])))


__all__ = ["OddSite"]
