"""Servers that run a request, fail and answer with a status that callers take for "not run"."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from aiohttp import web

from tests.node.crashing import CrashingEngine, CrashLog
from tests.node.load import FIELDS
from tests.node.site import HOST, PlainServer, Site, route
from tests.support import eventually

STATUSES = [408, 429, 503]
UNKNOWN = 502
STREAMING = {"type": "streaming", "gapTargetMs": 400}


def failed_answer(request: web.Request, *, states_not_run: bool) -> web.Response:
    """Return a signed failure with the status that the request's path ends with."""
    headers = {
        "X-Attempt-Id": request.headers["X-Attempt-Id"],
        "X-Response-Signature": "signed",
    }
    if states_not_run:
        headers["X-Not-Executed"] = "1"
    status = int(request.path.rpartition("/")[2])
    return web.Response(status=status, body=b"locked", headers=headers)


class FailingServer(PlainServer):
    """Plain server that fails where the path ends with a status."""

    states_not_run = False

    async def _answer(self, request: web.Request) -> web.Response:
        if request.path.endswith("/ready"):
            return await super()._answer(request)
        return failed_answer(request, states_not_run=self.states_not_run)


class FailingEngine(CrashingEngine):
    """Model engine that fails in the same way."""

    states_not_run = False

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        if request.path.endswith("/ready"):
            return await super()._answer(request)
        return failed_answer(request, states_not_run=self.states_not_run)


def run_on_site(
    folder: Path, server: PlainServer, kind: dict[str, object], work: Callable[..., Awaitable[None]]
) -> None:
    """Run a test with one server and a route of a kind, to which each caller sends one request."""

    async def answer(site: Site, status: int) -> tuple[int, bool, bytes]:
        headers = {"Host": HOST, "X-Attempt-Id": f"{status:016x}", **FIELDS}
        url = f"http://{site.callers}/ask/{status}"
        async with site.http.post(url, data=b"order", headers=headers) as found:
            return found.status, "X-Response-Signature" in found.headers, await found.read()

    async def run() -> None:
        async with Site(folder=folder, servers=[server]) as site:
            await site.put_routes({**route("/ask/", "service"), **kind, "maxAttempts": 1})

            async def ready() -> bool:
                return await site.post("/ask/ready", b"order", fields=FIELDS) == 200

            await eventually(ready, "an answer")
            await work(lambda status: answer(site, status))

    asyncio.run(asyncio.wait_for(run(), 60))


def plain() -> FailingServer:
    return FailingServer(instance="s-1", service="service")


def engine() -> FailingEngine:
    return FailingEngine(number=1, service="service", crash_log=CrashLog())


class TestFailureThatLooksLikeARefusal:
    # Guards against: a caller is promised that a request has not run, and sends it once more.
    @pytest.mark.parametrize(
        ("server", "kind"), [(plain, {"type": "non_idempotent"}), (engine, STREAMING)]
    )
    def test_promises_nothing_if_the_request_may_run_once_only(self, tmp_path, server, kind):
        async def work(answer: Callable[[int], Awaitable[tuple[int, bool, bytes]]]) -> None:
            for status in STATUSES:
                found, signed, _ = await answer(status)
                assert (found, signed) == (UNKNOWN, False)

        run_on_site(tmp_path, server(), kind, work)

    # Guards against: the failures of other requests, and other failures, are replaced as well.
    @pytest.mark.parametrize(
        ("kind", "statuses"), [("idempotent", STATUSES), ("non_idempotent", [400, 500, 504])]
    )
    def test_is_returned_unchanged_else(self, tmp_path, kind, statuses):
        async def work(answer: Callable[[int], Awaitable[tuple[int, bool, bytes]]]) -> None:
            for status in statuses:
                assert await answer(status) == (status, True, b"locked")

        run_on_site(tmp_path, plain(), {"type": kind}, work)

    def test_is_a_refusal_if_the_server_says_so(self, tmp_path):
        server = plain()
        server.states_not_run = True

        async def work(answer: Callable[[int], Awaitable[tuple[int, bool, bytes]]]) -> None:
            for status in STATUSES:
                assert (await answer(status))[:2] == (503, False)

        run_on_site(tmp_path, server, {"type": "non_idempotent"}, work)
