"""Backend servers that announce a rate limit in their responses and count requests."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.node.crashing import CrashingEngine, CrashingServer, CrashLog


class Arrivals:
    """Arrival times of the requests at one server, by loop time."""

    def __init__(self) -> None:
        self.times_s: list[float] = []
        self.first_limit_s: float | None = None  # time of the first response with a limit

    def max_in_window(self, window_s: float, *, after_s: float) -> int:
        """Return the most arrivals in any window that starts at or after a time."""
        times_s = [at_s for at_s in self.times_s if at_s >= after_s]
        return max(
            (sum(1 for at_s in times_s if start_s <= at_s < start_s + window_s))
            for start_s in [*times_s, after_s]
        )

    def count(self, start_s: float, end_s: float) -> int:
        """Count the arrivals in a period."""
        return sum(1 for at_s in self.times_s if start_s <= at_s < end_s)


class _Limiting:
    """Adds the header of the rate limit to responses while a limit is set.

    Attributes
    ----------
    limit
        Value of the header as it is sent; None to send none.
    """

    limit: str | None = None

    def __init__(self, *, number: int, service: str, run_s: float = 0.02) -> None:
        super().__init__(number=number, service=service, crash_log=CrashLog())  # type: ignore[call-arg]
        self.response_time_s = run_s
        self.arrivals = Arrivals()

    def _limit_headers(self) -> dict[str, str]:
        if self.limit is None:
            return {}
        if self.arrivals.first_limit_s is None:
            self.arrivals.first_limit_s = asyncio.get_running_loop().time()
        return {"Server-Limit": self.limit}

    async def _answer_normally(self, request: web.Request) -> web.StreamResponse:
        self.arrivals.times_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.response_time_s)
        return await super()._answer_normally(request)  # type: ignore[misc]


class LimitingServer(_Limiting, CrashingServer):
    """Plain server that can announce a rate limit."""

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        answer = await super()._answer(request)
        answer.headers.update(self._limit_headers())
        return answer


class LimitingEngine(_Limiting, CrashingEngine):
    """Model engine that can announce a rate limit."""

    def _extra_headers(self) -> dict[str, str]:
        return self._limit_headers()


__all__ = ["Arrivals", "LimitingEngine", "LimitingServer"]
