"""Callers of streams, event by event: patient ones, such that give up, and such that leave."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

import aiohttp

from tests.soak.parts import EVERY_S, prompt_parts
from tests.soak.stream_judge import CALLER_WAITS_S, TIMEOUT_S
from tests.soak.stream_records import StreamTold
from tests.soak.traffic import HOST, KEY
from tests.soak.weights import MODEL
from tests.soak.world import World

CALLERS = 36
EVENTS = (2, 25)
BEYOND_TIMEOUT_S = 8.0  # that the patient ones wait for the end that the entry makes
LEAVES_WITHIN_S = (0.2, 3.0)
DEADLINE_S = (1.5, 5.0)
CONNECT_S = 1.0
PAUSE_S = (0.02, 0.15)
AFTER_FAILURE_S = (0.2, 0.6)


class StreamCallers:
    """A crowd of callers whose streams may, or may not, be resumed.

    Parameters
    ----------
    crashing
        Whether some requests have a part that crashes engines.
    """

    def __init__(self, *, world: World, crashing: bool = False) -> None:
        self._world = world
        self._crashing = crashing
        self._random = random.Random(f"callers {world.seed}")
        self._sent = 0
        self.asking = True
        self.told: list[StreamTold] = []

    async def run(self) -> None:
        """Ask until told not to, and hear every answer to its end."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self._ask_on())
            if self._crashing:
                group.create_task(self._crash_on())

    async def _ask_on(self) -> None:
        while self.asking:
            told = await self._ask()
            pause_s = PAUSE_S if told.status == HTTPStatus.OK else AFTER_FAILURE_S
            await asyncio.sleep(self._random.uniform(*pause_s))

    async def _crash_on(self) -> None:
        async with asyncio.TaskGroup() as group:
            while self.asking:
                group.create_task(self.ask_crashing())
                await asyncio.sleep(EVERY_S)

    async def ask_crashing(self) -> StreamTold:
        """Send a request with the crashing part."""
        return await self._ask(crashing=True)

    async def _ask(self, *, crashing: bool = False) -> StreamTold:
        self._sent += 1
        source = random.Random(f"{self._world.seed} asks {self._sent}")
        patience = source.choices(["patient", "usual", "deadline", "leaves"], [50, 30, 12, 8])[0]
        told = StreamTold(
            request=f"{0x5_0000_0000 + self._sent:x}",
            entry=source.choice(self._world.callers()),
            resumable=source.random() < 0.4,
            events=source.randint(*EVENTS),
            sent_s=self._world.ledger.now_s(),
            deadline_s=source.uniform(*DEADLINE_S) if patience == "deadline" else None,
            crashing=crashing,
        )
        self.told.append(told)
        self._world.ledger.senders[told.request] = self._world.sender(told.entry)
        in_all_s = TIMEOUT_S + BEYOND_TIMEOUT_S
        if patience == "leaves":
            in_all_s = source.uniform(*LEAVES_WITHIN_S)
        gap_s = CALLER_WAITS_S if patience == "usual" else in_all_s
        try:
            async with asyncio.timeout(in_all_s):
                await self._hear(told, gap_s, crashing=crashing)
        except TimeoutError:
            told.left = True
        except (aiohttp.ClientError, OSError):
            pass  # what came before it counts
        finally:
            told.told_s = self._world.ledger.now_s()
        return told

    async def _hear(self, told: StreamTold, gap_s: float, *, crashing: bool) -> None:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            self._answer(session, told, gap_s, crashing=crashing) as answer,
        ):
            told.status = answer.status
            rest = b""
            while data := await asyncio.wait_for(answer.content.readany(), gap_s):
                *events, rest = (rest + data).split(b"\n\n")
                for event in events:
                    self._hear_event(told, event)
            told.whole = True
            self._hear_event(told, rest)

    def _hear_event(self, told: StreamTold, event: bytes) -> None:
        if event and told.status == HTTPStatus.OK:
            told.hear(event, self._world.ledger.now_s())

    @asynccontextmanager
    async def _answer(
        self, session: aiohttp.ClientSession, told: StreamTold, gap_s: float, *, crashing: bool
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        kind = "more" if told.resumable else "once"
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Attempt-Id": told.request,
            "X-Model": MODEL,
            "X-Token-Usage": f"200,{told.events}",
            "X-Prompt-Prefix": prompt_parts(
                random.Random(told.request), told.request, crashing=crashing
            ),
        }
        if told.deadline_s is not None:
            headers["X-Deadline-Ms"] = str(round(1000 * told.deadline_s))
        url = f"http://{told.entry}/{kind}/{told.events}"
        async with asyncio.timeout(gap_s):
            answer = await session.post(url, headers=headers, data=f"soak {told.request}".encode())
        try:
            yield answer
        finally:
            answer.close()


__all__ = ["StreamCallers"]
