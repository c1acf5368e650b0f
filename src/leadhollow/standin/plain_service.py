"""Stand-in for a plain service: records every execution of a request."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from leadhollow.standin.http_server import StandinServer
from leadhollow.standin.odd_answers import OddAnswers


class ServiceFaults(msgspec.Struct, kw_only=True):
    """Injected faults; ``POST /admin/faults`` sets them.

    Parameters
    ----------
    cut_after_run
        Number of coming requests that are executed and whose connection is then aborted.
    delay_ms
        Duration of each request, in milliseconds.
    odd_share
        Share of the answers that are sent with bytes of no request.
    """

    cut_after_run: int = 0
    delay_ms: int = 5
    odd_share: float = 0.0


class Execution(msgspec.Struct, frozen=True, kw_only=True):
    """One execution of a request."""

    request_id: str
    method: str
    path: str
    body: str


class ServiceStandin:
    """Service that answers any path with a serial number and the body of the request."""

    __slots__ = ("executions", "faults", "odd", "server")

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.faults = ServiceFaults()
        self.odd = OddAnswers(share=lambda: self.faults.odd_share, cuts=False)
        application = web.Application(
            client_max_size=64 * 1024 * 1024, middlewares=[self.odd.middleware()]
        )
        application.router.add_post("/admin/faults", self._set_faults)
        application.router.add_get("/admin/ledger", self._get_ledger)
        application.router.add_route("*", "/{path:.*}", self._run)
        self.server = StandinServer(application=application)

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=ServiceFaults)
        return web.Response(status=204)

    async def _get_ledger(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.executions), content_type="application/json"
        )

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.executions.append(
            Execution(
                request_id=request.headers.get("X-Request-Id", ""),
                method=request.method,
                path=request.path_qs,
                body=body.decode(errors="replace"),
            )
        )
        serial = len(self.executions)
        await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.cut_after_run > 0 and request.transport is not None:
            self.faults.cut_after_run -= 1
            request.transport.abort()
        return web.json_response({"serial": serial, "echo": body.decode(errors="replace")})


__all__ = ["Execution", "ServiceFaults", "ServiceStandin"]
