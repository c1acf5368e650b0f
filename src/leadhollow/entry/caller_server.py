"""HTTP towards callers: model calls and plain services."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.entry.attempt_runner import AttemptRunner
from leadhollow.entry.call import Call
from leadhollow.entry.call_parser import CallReader, new_request_id
from leadhollow.entry.call_result import (
    REPLAYED_HEADER,
    Ending,
    outcome_headers,
    refused,
)
from leadhollow.entry.idempotency import KeptAnswer, KeyClaims, ending_of_claim
from leadhollow.entry.response_writer import AnswerWriter
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.observe.metrics import Metrics
from leadhollow.problem import PROBLEM_TYPE, problem_of
from leadhollow.settings.address import Address
from leadhollow.settings.model import EntrySettings
from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import ClaimAnswer, FinishClaim

STOP_TIMEOUT_S = 0.5


log = get_logger("callers")


class CallerHttpServer:
    """Listener for callers of one entry."""

    __slots__ = (
        "_catalog",
        "_claims",
        "_closed",
        "_idle",
        "_in_progress",
        "_metrics",
        "_reader",
        "_runner",
        "_settings",
        "_site",
        "_site_runner",
        "_stopping",
        "address",
    )

    def __init__(
        self,
        *,
        settings: EntrySettings,
        catalog: Catalog,
        runner: AttemptRunner,
        claims: KeyClaims,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._catalog = catalog
        self._runner = runner
        self._claims = claims
        self._reader = CallReader(settings=settings, catalog=catalog)
        self._metrics = metrics
        self._site_runner: web.AppRunner | None = None
        self._in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._site: web.TCPSite | None = None
        self._stopping = False
        self._closed = False
        self.address = Address(host="", port=0)

    async def start(self) -> Result[None, Failure]:
        """Open the listener."""
        application = web.Application(client_max_size=self._settings.body_limit_bytes)
        application.router.add_get("/healthz", self._health)
        application.router.add_route("*", "/{tail:.*}", self._handle)
        runner = web.AppRunner(
            application, access_log=None, handler_cancellation=True, shutdown_timeout=STOP_TIMEOUT_S
        )
        await runner.setup()
        parsed = Address.parse(self._settings.listen)
        if parsed.is_err():
            return Err(parsed.unwrap_err())
        listen = parsed.unwrap()
        site = web.TCPSite(runner, listen.host, listen.port, backlog=1024)
        try:
            await site.start()
        except OSError as error:
            return Err(Failure(code=Code.ADDRESS_IN_USE, detail=f"{listen}: {error}"))
        self._site_runner = runner
        self._site = site
        port = runner.addresses[0][1]
        self.address = Address(host=listen.host, port=port)
        return Ok(None)

    async def drain(self) -> None:
        """Turn the health answer, wait for the balancer, close, and let requests finish."""
        self._stopping = True
        await asyncio.sleep(self._settings.balancer_grace_ms / 1000)
        self._closed = True
        if self._site is not None:
            await self._site.stop()
        await self._idle.wait()

    async def stop(self) -> None:
        """Close the listener."""
        if self._site_runner is not None:
            await self._site_runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        ready = self._catalog.revision > 0 and not self._stopping
        return web.Response(status=200 if ready else 503, text="ready" if ready else "not ready")

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self._in_progress += 1
        self._idle.clear()
        try:
            return await self._answer(request)
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        request_id = new_request_id(request)
        if self._closed:  # a kept connection that outlived the balancer's grace
            return _problem_response(refused(Failure(code=Code.STOPPING)), request_id)
        understood = await self._reader.read(request, request_id)
        if understood.is_err():
            failure = understood.unwrap_err()
            log.info("request refused", request_id=request_id, failure=str(failure))
            return _problem_response(refused(failure), request_id)
        call = understood.unwrap()
        work = asyncio.get_running_loop().create_task(self._run(request, call))
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            if call.repeatable:
                work.cancel()  # the caller went away; what may not be repeated runs to its end
            raise

    async def _run(self, request: web.Request, call: Call) -> web.StreamResponse:
        claimed = bool(call.key) and not call.repeatable
        if claimed:
            settled = await self._claim(call)
            if settled is not None:
                return settled
        writer = AnswerWriter(request=request, call=call)
        started_s = asyncio.get_running_loop().time()
        ending = await self._runner.run(call, writer)
        self._metrics.count(f"calls.{ending.outcome}")
        elapsed_ms = (asyncio.get_running_loop().time() - started_s) * 1000
        self._metrics.timing("calls.duration", elapsed_ms)
        if claimed:
            await self._claims.finish(call, ending, _kept(writer, ending, call.request_id))
        if ending.failure is not None and not writer.streaming:
            return _problem_response(ending, call.request_id)
        return await writer.finish(ending)

    async def _claim(self, call: Call) -> web.Response | None:
        """Claim the key; a response where this call must not run."""
        claimed = await self._claims.claim(call)
        if claimed.is_err():
            return _problem_response(refused(claimed.unwrap_err()), call.request_id)
        answer: ClaimAnswer = claimed.unwrap()
        if answer.fresh:
            return None
        ending = ending_of_claim(answer)
        if ending is not None:
            return _problem_response(ending, call.request_id)
        return _replay(answer.finished, call.request_id)


def _problem_response(ending: Ending, request_id: str) -> web.Response:
    failure = ending.failure or Failure(code=Code.INTERNAL)
    problem = problem_of(failure, outcome=ending.outcome, request_id=request_id)
    return web.Response(
        status=problem.status,
        body=msgspec.json.encode(problem),
        content_type=PROBLEM_TYPE,
        headers=outcome_headers(ending, request_id),
    )


def _replay(finished: FinishClaim | None, request_id: str) -> web.Response:
    if finished is None:
        return _problem_response(refused(Failure(code=Code.INTERNAL)), request_id)
    ending = Ending(outcome=finished.outcome)
    headers = outcome_headers(ending, request_id)
    headers[REPLAYED_HEADER] = finished.request_id
    headers["Content-Type"] = finished.content_type
    return web.Response(status=finished.status, body=finished.body, headers=headers)


def _kept(writer: AnswerWriter, ending: Ending, request_id: str) -> KeptAnswer:
    if ending.failure is None:
        return writer.kept()
    problem = problem_of(ending.failure, outcome=ending.outcome, request_id=request_id)
    return KeptAnswer(
        status=problem.status,
        content_type=PROBLEM_TYPE,
        body=msgspec.json.encode(problem),
    )


__all__ = ["CallerHttp"]
