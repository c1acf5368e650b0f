"""Model engines that pause within their streams now and then, and end few of them themselves."""

from __future__ import annotations

import asyncio
import random
import time

from aiohttp import web

from tests.node.streaming import Script, StreamRun
from tests.soak.backend import Backend, event

EVENT_S = 0.05
PAUSING_SHARE = 0.2
PAUSE_S = (0.2, 3.0)
OWN_END_SHARE = 0.01
DRIP_SHARE = 0.05
DRIP_S = 0.03
LOOK_S = 0.05  # between looks whether the entry is still there


class EngineRun(StreamRun):
    """One run of a stream.

    Attributes
    ----------
    own_end
        Whether the engine broke it off itself.
    wrote_s
        When it wrote an event last.
    broken_s
        When it saw that nobody reads any more, before the stream was whole.
    """

    def __init__(self, *, attempt_id: str, first: int, instance: str) -> None:
        super().__init__(attempt_id=attempt_id, first=first)
        self.instance = instance
        self.own_end = False
        self.wrote_s = self.began_s
        self.broken_s: float | None = None

    def note_broken(self) -> None:
        """Note that whoever asked is gone."""
        self.broken = True
        self.broken_s = time.monotonic()


class PausingEngine(Backend):
    """An engine whose streams follow a script that each run draws; it loads when it is idle.

    Parameters
    ----------
    runs
        Where runs are noted, by request.
    """

    def __init__(self, *, runs: dict[str, list[EngineRun]], seed: int, **usual: object) -> None:
        super().__init__(**usual)
        self._runs = runs
        self._seed = seed

    async def _load(self, version: int, staged: dict[int, bytes]) -> None:
        while self._running:
            await asyncio.sleep(LOOK_S)
        await super()._load(version, staged)

    async def _run(self, request: web.Request, attempt: str, body: bytes) -> web.StreamResponse:
        events = int(request.match_info["path"].rpartition("/")[2])
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        run = EngineRun(attempt_id=attempt, first=first, instance=self.instance)
        self._runs[attempt].append(run)
        answer = web.StreamResponse(
            headers={
                "X-Attempt-Id": attempt,
                "X-Response-Signature": f"{attempt}/{self.instance}",
                "Content-Type": "text/event-stream",
            }
        )
        script = draw_script(random.Random(f"{self._seed} {attempt} {self.instance}"), events)
        try:
            await self._write(request, answer, run, script)
        except ConnectionError:
            run.note_broken()
        except asyncio.CancelledError:
            run.note_broken()
            raise
        return answer

    async def _write(
        self, request: web.Request, answer: web.StreamResponse, run: EngineRun, script: Script
    ) -> None:
        for number in range(run.first, script.events + 1):
            await _sleep(request, script.pauses_s.get(number, script.pause_s))
            if not answer.prepared:
                await answer.prepare(request)
            if number == script.ends_after:
                run.own_end = True
                assert request.transport is not None
                request.transport.abort()
                return
            data = event(run.attempt_id, number)
            half = len(data) // 2 if script.drip_s else 0
            if half:
                await answer.write(data[:half])
                await _sleep(request, script.drip_s)
            await answer.write(data[half:])
            run.written += 1
            run.wrote_s = time.monotonic()
        await answer.write_eof()
        run.whole = True


def draw_script(source: random.Random, events: int) -> Script:
    """Draw what an engine does with a stream; one of a single event has nothing special."""
    if events == 1:
        return Script(events=1, pause_s=EVENT_S)
    pauses_s = {}
    if source.random() < PAUSING_SHARE:
        pauses_s[source.randint(1, events)] = source.uniform(*PAUSE_S)
    return Script(
        events=events,
        pause_s=EVENT_S,
        pauses_s=pauses_s,
        ends_after=source.randint(1, events) if source.random() < OWN_END_SHARE else None,
        drip_s=DRIP_S if source.random() < DRIP_SHARE else 0.0,
    )


async def _sleep(request: web.Request, pause_s: float) -> None:
    """Wait while whoever asked is there."""
    until_s = time.monotonic() + pause_s
    while (left_s := until_s - time.monotonic()) > 0:
        await asyncio.sleep(min(left_s, LOOK_S))
        if request.transport is None or request.transport.is_closing():
            raise ConnectionResetError


__all__ = ["EVENT_S", "EngineRun", "PausingEngine", "draw_script"]
