"""Backend servers that name a limit in their answers and count what arrives."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.node.crashing import CrashingEngine, CrashingServer, CrashLog


class Arrivals:
    """What one server saw, by loop time."""

    def __init__(self) -> None:
        self.times_s: list[float] = []
        self.named_s: float | None = None  # first answer that named a limit

    def most_in(self, window_s: float, *, after_s: float) -> int:
        """Give the most arrivals in any window that begins at or after a time."""
        times_s = [at_s for at_s in self.times_s if at_s >= after_s]
        return max(
            (sum(1 for at_s in times_s if begin_s <= at_s < begin_s + window_s))
            for begin_s in [*times_s, after_s]
        )

    def count(self, begin_s: float, end_s: float) -> int:
        """Count the arrivals of a period."""
        return sum(1 for at_s in self.times_s if begin_s <= at_s < end_s)


class _Limiting:
    """Names a limit for as long as it has one.

    Attributes
    ----------
    limit
        Value of the field as it is sent; None while the server names none.
    """

    limit: str | None = None

    def __init__(self, *, number: int, service: str, run_s: float = 0.02) -> None:
        super().__init__(number=number, service=service, crash_log=CrashLog())  # type: ignore[call-arg]
        self.answer_s = run_s
        self.arrivals = Arrivals()

    def _fields(self) -> dict[str, str]:
        if self.limit is None:
            return {}
        if self.arrivals.named_s is None:
            self.arrivals.named_s = asyncio.get_running_loop().time()
        return {"Server-Limit": self.limit}

    async def _answer_well(self, request: web.Request) -> web.StreamResponse:
        self.arrivals.times_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.answer_s)
        return await super()._answer_well(request)  # type: ignore[misc]


class LimitingServer(_Limiting, CrashingServer):
    """A plain server that may name a limit."""

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        answer = await super()._answer(request)
        answer.headers.update(self._fields())
        return answer


class LimitingEngine(_Limiting, CrashingEngine):
    """A model engine that may name a limit."""

    def _more_fields(self) -> dict[str, str]:
        return self._fields()


__all__ = ["Arrivals", "LimitingEngine", "LimitingServer"]
