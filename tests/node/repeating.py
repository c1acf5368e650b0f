"""Backend servers that refuse requests, and a record of how often each request arrives."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from aiohttp import web

from leadhollow.settings.node import Bounds
from tests.node.crashing import CrashingEngine, CrashingServer, CrashLog


class ArrivalLog:
    """Arrivals of requests at all servers of a test, and what callers sent, by loop time."""

    def __init__(self) -> None:
        self.sent_s: list[float] = []
        self.repeats_s: list[float] = []  # arrivals beyond the first of their request
        self._arrived: set[str] = set()

    def record_sent(self) -> None:
        self.sent_s.append(asyncio.get_running_loop().time())

    def record_arrival(self, attempt_id: str) -> None:
        if attempt_id in self._arrived:
            self.repeats_s.append(asyncio.get_running_loop().time())
        self._arrived.add(attempt_id)

    def worst_excess(self, bounds: Bounds) -> float:
        """Return by how many the repeats of any window exceed what is allowed in it."""
        return max((self._excess(end_s, bounds) for end_s in self.repeats_s), default=0.0)

    def _excess(self, end_s: float, bounds: Bounds) -> float:
        window_s = bounds.retry_window_s
        repeats = _count(self.repeats_s, end_s - window_s, end_s)
        requests = max(
            _count(self.sent_s, end_s - shift * window_s - window_s, end_s - shift * window_s)
            for shift in (0.0, 0.5, 1.0)
        )
        return repeats - bounds.retry_ratio * requests - bounds.retry_slack


def _count(times_s: Sequence[float], start_s: float, end_s: float) -> int:
    return sum(1 for time_s in times_s if start_s < time_s <= end_s)


class _Refusing:
    """Refuses requests while told to, and records all arrivals."""

    def __init__(self, *, number: int, service: str, arrivals: ArrivalLog) -> None:
        super().__init__(number=number, service=service, crash_log=CrashLog())  # type: ignore[call-arg]
        self.arrivals = arrivals
        self.refuses = False

    async def _answer_normally(self, request: web.Request) -> web.StreamResponse:
        self.arrivals.record_arrival(request.headers["X-Attempt-Id"])
        if not self.refuses:
            return await super()._answer_normally(request)  # type: ignore[misc]
        headers = {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Instance-Id": self.instance,  # type: ignore[attr-defined]
            "X-Not-Executed": "full",
        }
        return web.Response(status=503, headers=headers)


class RefusingServer(_Refusing, CrashingServer):
    """Plain server that can refuse its requests."""


class RefusingEngine(_Refusing, CrashingEngine):
    """Model engine that can refuse its requests."""


__all__ = ["ArrivalLog", "RefusingEngine", "RefusingServer"]
