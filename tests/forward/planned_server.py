"""A server that follows the plans of the model, played with and judged.

``python -m tests.forward.planned_server plain 1 20 40`` plays 20 seeds from 1 on, each with 40
servers of 8 requests; ``stream`` reads the answers as event streams.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from collections.abc import Callable, Sequence

from tests.forward.answer_model import ANY_STATUS_LINE, AnswerPlanner, Plan, Result, own_readings
from tests.forward.odd_server import OddServer

PATIENCE_S = 0.5
SERVERS = 40
REQUESTS = 8  # at each server


class PlannedServer(OddServer):
    """A server that sends what a planner says.

    Attributes
    ----------
    plans
        Plan of each request that arrived, by the request's id.
    """

    def __init__(self, planner: AnswerPlanner) -> None:
        super().__init__(_no_script, patience_s=PATIENCE_S)
        self.plans: dict[str, Plan] = {}
        self._planner = planner

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.append(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.append(task)
        await serve_planned(reader, writer, self._plan)

    def _plan(self, head: bytes, earlier: Sequence[str]) -> Plan:
        plan = self._planner.plan(field_of(head, "X-Attempt-Id"), earlier)
        self.plans[plan.request_id] = plan
        return plan


class Judgement:
    """Counts what callers got.

    Attributes
    ----------
    wrong
        Answers that were passed on and must not be, with the bytes that led to them.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.wrong: list[str] = []

    def judge(self, plan: Plan | None, result: Result | None) -> None:
        """Judge the whole answer that a caller got, None if it got a failure."""
        if result is None:
            self.counts["failed"] += 1
            if plan is not None and not plan.kinds and not any(plan.received):
                self._blame("a proper answer failed", plan, result)
        elif plan is None:
            self.wrong.append(f"an answer without a request: {result}")
        elif result == plan.own:
            self.counts["own"] += 1
        elif result in own_readings(plan):
            kind = "its connection ended" if plan.ends else "filled up exactly"
            self.counts[f"not to be told apart: {kind}"] += 1
        else:
            self._blame("not the own answer", plan, result)

    def judge_any(self, plans: Sequence[Plan], result: Result | None) -> None:
        """Judge the whole answer of any of the servers that a request was sent to."""
        if result is None:
            self.counts["failed"] += 1
        elif any(result == plan.own for plan in plans):
            self.counts["own"] += 1
        elif any(result in own_readings(plan) for plan in plans):
            self.counts["not to be told apart"] += 1
        elif not plans:
            self.wrong.append(f"an answer without a request: {result}")
        else:
            for plan in plans:
                self._blame("not the own answer", plan, result)

    def judge_events(
        self, plans: Sequence[Plan], events: list[bytes], own: list[bytes], *, whole: bool
    ) -> None:
        """Judge the events of a success that a caller got, and whether their end was proper.

        Parameters
        ----------
        plans
            Of each server that the request was sent to; later ones may go on after earlier ones.
        """
        data = b"".join(events)
        if not plans:
            if events or whole:
                self.wrong.append(f"events without a request: {events}")
        elif events == own[: len(events)] and (not whole or len(events) == len(own)):
            self.counts["own" if whole else "failed"] += 1
        elif any(ANY_STATUS_LINE.search(event) for event in events if event not in own):
            self._blame("an event holds the head of another answer", plans[-1], events)
        elif not whole:
            self.counts["not to be told apart, then failed"] += 1
        elif any(
            data == b"".join(own[:first]) + body
            for plan in plans
            for _, _, body in own_readings(plan)
            for first in range(len(own) + 1)
        ):
            self.counts["not to be told apart"] += 1
        else:
            for plan in plans:
                self._blame("foreign events", plan, events)

    def _blame(self, fault: str, plan: Plan, result: object) -> None:
        sent = [data for data, _ in (*plan.pieces, *plan.late)]
        self.wrong.append(
            f"{fault}: got {result!r:.300}\n  received {plan.received}\n  sent {sent!r:.3000}"
            f"\n  first {plan.first} ends {plan.ends} kinds {plan.kinds}"
        )


async def serve_planned(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    plan_of: Callable[[bytes, Sequence[str]], Plan],
) -> None:
    """Serve a connection; the plan of a request comes of its head and of the ids before it."""
    earlier: list[str] = []
    late: asyncio.Task[None] | None = None
    behind: list[bytes] = []
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(field_of(head, "Content-Length") or 0))
            plan = plan_of(head, earlier)
            plan.received = behind
            if late is not None:
                await late
            await _send(writer, plan.pieces)
            earlier.append(plan.request_id)
            late = asyncio.create_task(_send(writer, plan.late))
            behind = plan.behind
            if plan.ends:
                await late
                break
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if late is not None:
            late.cancel()
        writer.close()


def field_of(head: bytes, name: str) -> str:
    """Return the value of a field of a request's head, empty if it has none."""
    for line in head.decode("latin-1").split("\r\n"):
        found, _, value = line.partition(":")
        if found.lower() == name.lower():
            return value.strip()
    return ""


async def _no_script(*_: object) -> None:
    return


async def _send(writer: asyncio.StreamWriter, pieces: list[tuple[bytes, float]]) -> None:
    for data, pause_s in pieces:
        if writer.is_closing():
            return
        try:
            writer.write(data)
            await writer.drain()
        except OSError:
            return
        if pause_s:
            await asyncio.sleep(pause_s)


def events_of(request_id: str, size: int) -> list[bytes]:
    """Return the events of the stream that answers a request."""
    return [f"id: {n}\ndata: {request_id}/{n}\n\n".encode() for n in range(min(size, 40))]


async def play_plain(seed: int, judgement: Judgement) -> None:
    """Send requests to one server, one after another, and judge their answers."""
    async with PlannedServer(AnswerPlanner(seed=seed)) as server:
        for number in range(REQUESTS):
            attempt_id = f"{seed:06x}-{number:02d}"
            result = await server.request(attempt_id)
            judgement.judge(server.plans.get(attempt_id), result)


async def play_stream(seed: int, judgement: Judgement) -> None:
    """Send requests to one server, one after another, and judge the events of their answers."""
    planner = AnswerPlanner(seed=seed, parts_of=events_of)
    async with PlannedServer(planner) as server:
        for number in range(REQUESTS):
            attempt_id = f"{seed:06x}-{number:02d}"
            events, whole = await server.events(attempt_id)
            plan = server.plans.get(attempt_id)
            own = [] if plan is None else events_of(attempt_id, plan.own[2].count(b"id:"))
            plans = [] if plan is None else [plan]
            judgement.judge_events(plans, events, own, whole=whole)


async def play(kind: str, seed: int, *, servers: int = SERVERS) -> Judgement:
    """Play several servers at once."""
    judgement = Judgement()
    player = {"plain": play_plain, "stream": play_stream}[kind]
    await asyncio.gather(*(player(seed * 1000 + each, judgement) for each in range(servers)))
    return judgement


async def _run_by_hand(kind: str, first_seed: int, seeds: int, servers: int) -> None:
    """Play seeds and print what callers got."""
    counts: Counter[str] = Counter()
    wrong = 0
    for seed in range(first_seed, first_seed + seeds):
        judgement = await play(kind, seed, servers=servers)
        counts += judgement.counts
        wrong += len(judgement.wrong)
        for line in judgement.wrong:
            print(f"seed {seed}: {line}")
    print(kind, sum(counts.values()) + wrong, "exchanges,", dict(counts), "wrong:", wrong)


if __name__ == "__main__":
    asyncio.run(_run_by_hand(sys.argv[1], *map(int, sys.argv[2:5])))


__all__ = [
    "REQUESTS",
    "SERVERS",
    "Judgement",
    "PlannedServer",
    "field_of",
    "play",
    "serve_planned",
]
