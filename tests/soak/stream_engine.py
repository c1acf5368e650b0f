"""Writes a stream as planned, and records how it ended."""

from __future__ import annotations

import asyncio
import math
import time

from aiohttp import web

from tests.soak.stream_plan import StreamPlan
from tests.soak.stream_records import RunEnd, StreamRun, event_of

LOOK_S = 0.02  # between two looks at the connection


class _Gone(Exception):
    """Whoever had sent the request is gone."""


class PlannedStream:
    """One run.

    Parameters
    ----------
    numbers
        Of the events that are to be written.
    """

    __slots__ = ("_answer", "_numbers", "_plan", "_request", "_run")

    def __init__(
        self,
        *,
        run: StreamRun,
        plan: StreamPlan,
        request: web.Request,
        answer: web.StreamResponse,
        numbers: range,
    ) -> None:
        self._run = run
        self._plan = plan
        self._request = request
        self._answer = answer
        self._numbers = numbers

    async def write(self) -> None:
        """Write the stream to its end, whichever it is."""
        try:
            self._note_end(await self._write())
        except (_Gone, ConnectionError):
            self._note_end(RunEnd.LET_GO)
        except asyncio.CancelledError:
            self._note_end(RunEnd.ENDED)
            raise

    async def _write(self) -> RunEnd:
        plan, end = self._plan, RunEnd.WHOLE
        if plan.head_first:
            await self._answer.prepare(self._request)
        for number in self._numbers:
            await self._pause(math.inf if number == plan.hangs_at else plan.pause_before_s(number))
            if not self._answer.prepared:
                await self._answer.prepare(self._request)
            if number == plan.short_at:
                end = RunEnd.SHORT
                break
            if number == plan.torn_at:
                return await self._tear(number)
            await self._event(number)
        if not self._answer.prepared:
            await self._answer.prepare(self._request)
        await self._answer.write_eof()
        return end

    async def _event(self, number: int) -> None:
        event = event_of(self._run, number)
        half = len(event) // 2 if self._plan.drip_s else 0
        if half:
            await self._answer.write(event[:half])
            await self._pause(self._plan.drip_s)
        await self._answer.write(event[half:])
        self._run.last = number
        self._run.wrote_s.append(time.monotonic())

    async def _tear(self, number: int) -> RunEnd:
        event = event_of(self._run, number)
        await self._answer.write(event[: len(event) // 2])
        if self._request.transport is not None:
            self._request.transport.abort()
        return RunEnd.BROKE_OFF

    async def _pause(self, seconds: float) -> None:
        until_s = time.monotonic() + seconds
        while (left_s := until_s - time.monotonic()) > 0:
            await asyncio.sleep(min(left_s, LOOK_S))
            transport = self._request.transport
            if transport is None or transport.is_closing():
                raise _Gone

    def _note_end(self, end: RunEnd) -> None:
        self._run.note_end(end, time.monotonic())


__all__ = ["PlannedStream"]
