"""Backend servers that report in their responses that they leave or want a back-off."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.node.crashing import CrashingEngine, CrashingServer, CrashLog


class _SelfReporting:
    """Adds the reports that a test sets to its responses, while its heartbeats report ready.

    Attributes
    ----------
    leaving
        Whether every response reports that the server leaves.
    draining
        Whether its heartbeats report the state ``draining``.
    retry_after
        Value of the Retry-After header of refusals; None to refuse nothing.
    refusal_status
        Status of the refusals.
    arrivals_s
        Arrival times by loop time, without requests that were meant for another life.
    first_report_s
        Time of the first response that reported leaving or a back-off.
    """

    def __init__(self, *, number: int, service: str, run_s: float = 0.02) -> None:
        super().__init__(number=number, service=service, crash_log=CrashLog())  # type: ignore[call-arg]
        self.leaving = False
        self.draining = False
        self.retry_after: str | None = None
        self.refusal_status = 503
        self.arrivals_s: list[float] = []
        self.first_report_s: float | None = None
        self.response_time_s = run_s

    def arrivals_after(self, time_s: float) -> int:
        """Count requests that arrived after a time."""
        return sum(1 for at_s in self.arrivals_s if at_s > time_s)

    def reset(self) -> None:
        """Clear the records and report nothing from now on."""
        self.leaving = False
        self.retry_after = None
        self.first_report_s = None
        self.arrivals_s.clear()

    def heartbeat(self) -> dict[str, object]:
        body: dict[str, object] = super().heartbeat()  # type: ignore[misc]
        return {**body, "state": "draining" if self.draining else "ready"}

    def _report_headers(self) -> dict[str, str]:
        if not self.leaving and self.retry_after is None:
            return {}
        if self.first_report_s is None:
            self.first_report_s = asyncio.get_running_loop().time()
        return {"Server-Leaving": "1"} if self.leaving else {}

    async def _answer_normally(self, request: web.Request) -> web.StreamResponse:
        intended = request.headers.get("X-Expect-Instance") == self.instance  # type: ignore[attr-defined]
        if intended:
            self.arrivals_s.append(asyncio.get_running_loop().time())
        if intended and self.retry_after is not None:
            headers = {
                "X-Attempt-Id": request.headers["X-Attempt-Id"],
                "X-Not-Executed": "1",
                "Retry-After": self.retry_after,
                **self._report_headers(),
            }
            return web.Response(status=self.refusal_status, headers=headers)
        await asyncio.sleep(self.response_time_s)
        return await super()._answer_normally(request)  # type: ignore[misc]


class SelfReportingServer(_SelfReporting, CrashingServer):
    """Plain server with such reports."""

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        answer = await super()._answer(request)
        answer.headers.update(self._report_headers())
        return answer


class SelfReportingEngine(_SelfReporting, CrashingEngine):
    """Model engine with such reports."""

    def _extra_headers(self) -> dict[str, str]:
        return self._report_headers()


__all__ = ["SelfReportingEngine", "SelfReportingServer"]
