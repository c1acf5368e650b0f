"""HTTP server for callers: model calls and plain services."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.entry.attempt_runner import AttemptRunner
from leadhollow.entry.call import Call
from leadhollow.entry.call_parser import CallParser, new_request_id
from leadhollow.entry.call_result import (
    REPLAYED_HEADER,
    CallResult,
    not_executed,
    outcome_headers,
)
from leadhollow.entry.idempotency import IdempotencyClaims, StoredResponse, result_of_claim
from leadhollow.entry.response_writer import ResponseWriter
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.observe.metrics import Metrics
from leadhollow.problem import PROBLEM_TYPE, problem_of
from leadhollow.settings.address import Address
from leadhollow.settings.model import EntrySettings
from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import ClaimAnswer, FinishClaim

SHUTDOWN_TIMEOUT_S = 0.5


log = get_logger("callers")


class CallerHttpServer:
    """HTTP server of one entry for its callers."""

    __slots__ = (
        "_catalog",
        "_claims",
        "_closed",
        "_idle",
        "_in_progress",
        "_metrics",
        "_parser",
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
        claims: IdempotencyClaims,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._catalog = catalog
        self._runner = runner
        self._claims = claims
        self._parser = CallParser(settings=settings, catalog=catalog)
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
        """Start listening."""
        application = web.Application(client_max_size=self._settings.body_limit_bytes)
        application.router.add_get("/healthz", self._health)
        application.router.add_route("*", "/{tail:.*}", self._handle)
        runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
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
        """Report not ready, wait for the load balancer, stop listening and let requests finish."""
        self._stopping = True
        await asyncio.sleep(self._settings.balancer_grace_ms / 1000)
        self._closed = True
        if self._site is not None:
            await self._site.stop()
        await self._idle.wait()

    async def stop(self) -> None:
        """Close the server."""
        if self._site_runner is not None:
            await self._site_runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        ready = self._catalog.revision > 0 and not self._stopping
        return web.Response(status=200 if ready else 503, text="ready" if ready else "not ready")

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self._in_progress += 1
        self._idle.clear()
        try:
            return await self._respond(request)
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        request_id = new_request_id(request)
        if self._closed:  # keep-alive connection older than the balancer's grace period
            return _problem_response(not_executed(Failure(code=Code.STOPPING)), request_id)
        parsed = await self._parser.parse(request, request_id)
        if parsed.is_err():
            failure = parsed.unwrap_err()
            log.info("request refused", request_id=request_id, failure=str(failure))
            return _problem_response(not_executed(failure), request_id)
        call = parsed.unwrap()
        call_task = asyncio.get_running_loop().create_task(self._run(request, call))
        try:
            return await asyncio.shield(call_task)
        except asyncio.CancelledError:
            if call.repeatable:
                call_task.cancel()  # the caller left; an unrepeatable call runs to its end
            raise

    async def _run(self, request: web.Request, call: Call) -> web.StreamResponse:
        claimed = bool(call.key) and not call.repeatable
        if claimed:
            early_response = await self._claim_key(call)
            if early_response is not None:
                return early_response
        writer = ResponseWriter(request=request, call=call)
        started_s = asyncio.get_running_loop().time()
        result = await self._runner.run(call, writer)
        self._metrics.count(f"calls.{result.outcome}")
        elapsed_ms = (asyncio.get_running_loop().time() - started_s) * 1000
        self._metrics.timing("calls.duration", elapsed_ms)
        if claimed:
            await self._claims.finish(
                call, result, _response_to_store(writer, result, call.request_id)
            )
        if result.failure is not None and not writer.streaming:
            return _problem_response(result, call.request_id)
        return await writer.finish(result)

    async def _claim_key(self, call: Call) -> web.Response | None:
        """Claim the key of a call; return a response if the call must not run."""
        claimed = await self._claims.claim(call)
        if claimed.is_err():
            return _problem_response(not_executed(claimed.unwrap_err()), call.request_id)
        answer: ClaimAnswer = claimed.unwrap()
        if answer.fresh:
            return None
        result = result_of_claim(answer)
        if result is not None:
            return _problem_response(result, call.request_id)
        return _replayed_response(answer.finished, call.request_id)


def _problem_response(result: CallResult, request_id: str) -> web.Response:
    failure = result.failure or Failure(code=Code.INTERNAL)
    problem = problem_of(failure, outcome=result.outcome, request_id=request_id)
    return web.Response(
        status=problem.status,
        body=msgspec.json.encode(problem),
        content_type=PROBLEM_TYPE,
        headers=outcome_headers(result, request_id),
    )


def _replayed_response(finished: FinishClaim | None, request_id: str) -> web.Response:
    if finished is None:
        return _problem_response(not_executed(Failure(code=Code.INTERNAL)), request_id)
    result = CallResult(outcome=finished.outcome)
    headers = outcome_headers(result, request_id)
    headers[REPLAYED_HEADER] = finished.request_id
    headers["Content-Type"] = finished.content_type
    return web.Response(status=finished.status, body=finished.body, headers=headers)


def _response_to_store(
    writer: ResponseWriter, result: CallResult, request_id: str
) -> StoredResponse:
    if result.failure is None:
        return writer.stored_response()
    problem = problem_of(result.failure, outcome=result.outcome, request_id=request_id)
    return StoredResponse(
        status=problem.status,
        content_type=PROBLEM_TYPE,
        body=msgspec.json.encode(problem),
    )


__all__ = ["CallerHttpServer"]
