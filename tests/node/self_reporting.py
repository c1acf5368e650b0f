"""Backend servers that say in their answers that they leave, or turn requests away for a while."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.node.crashing import CrashingEngine, CrashingServer, CrashLog


class _SelfReporting:
    """Says of itself what a test sets, and keeps announcing itself as ready.

    Attributes
    ----------
    leaving
        Whether every answer says that the server leaves.
    draining
        Whether its heartbeats say so.
    retry_after
        Value of the field in answers that turn requests away; None while none is turned away.
    turned_away_status
        Status of these.
    arrivals_s
        When requests arrived, by loop time; those meant for another life are left out.
    told_s
        When the first answer went out that says that it leaves, or turns away.
    """

    def __init__(self, *, number: int, service: str, run_s: float = 0.02) -> None:
        super().__init__(number=number, service=service, crash_log=CrashLog())  # type: ignore[call-arg]
        self.leaving = False
        self.draining = False
        self.retry_after: str | None = None
        self.turned_away_status = 503
        self.arrivals_s: list[float] = []
        self.told_s: float | None = None
        self.answer_s = run_s

    def arrivals_after(self, time_s: float) -> int:
        """Count what arrived later than a time."""
        return sum(1 for at_s in self.arrivals_s if at_s > time_s)

    def reset(self) -> None:
        """Forget what arrived, and say nothing special from now on."""
        self.leaving = False
        self.retry_after = None
        self.told_s = None
        self.arrivals_s.clear()

    def heartbeat(self) -> dict[str, object]:
        said: dict[str, object] = super().heartbeat()  # type: ignore[misc]
        return {**said, "state": "draining" if self.draining else "ready"}

    def _own_fields(self) -> dict[str, str]:
        if not self.leaving and self.retry_after is None:
            return {}
        if self.told_s is None:
            self.told_s = asyncio.get_running_loop().time()
        return {"Server-Leaving": "1"} if self.leaving else {}

    async def _answer_well(self, request: web.Request) -> web.StreamResponse:
        own = request.headers.get("X-Expect-Instance") == self.instance  # type: ignore[attr-defined]
        if own:
            self.arrivals_s.append(asyncio.get_running_loop().time())
        if own and self.retry_after is not None:
            fields = {
                "X-Attempt-Id": request.headers["X-Attempt-Id"],
                "X-Not-Executed": "1",
                "Retry-After": self.retry_after,
                **self._own_fields(),
            }
            return web.Response(status=self.turned_away_status, headers=fields)
        await asyncio.sleep(self.answer_s)
        return await super()._answer_well(request)  # type: ignore[misc]


class SelfReportingServer(_SelfReporting, CrashingServer):
    """A plain server."""

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        answer = await super()._answer(request)
        answer.headers.update(self._own_fields())
        return answer


class SelfReportingEngine(_SelfReporting, CrashingEngine):
    """A model engine."""

    def _more_fields(self) -> dict[str, str]:
        return self._own_fields()


__all__ = ["SelfReportingEngine", "SelfReportingServer"]
