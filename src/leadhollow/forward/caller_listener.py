"""HTTP listener for callers: checks each request against the route table and forwards it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from http import HTTPStatus

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.retry_after import RefusalReason
from leadhollow.failure import Failure
from leadhollow.forward.body_retention import BodyRetention
from leadhollow.forward.call import ForwardedCall, call_deadline_s
from leadhollow.forward.call_regions import CallRegions
from leadhollow.forward.dialect import CallDialect, RequestMetadata
from leadhollow.forward.failure_response import FailureResponder
from leadhollow.forward.fingerprint import fingerprint_of, part_fingerprints
from leadhollow.forward.plain_forwarder import PlainForwarder
from leadhollow.forward.request_body import RequestBody
from leadhollow.forward.stream_forwarder import StreamForwarder
from leadhollow.forward.suspect_sync import SuspectSync
from leadhollow.forward.targets import TargetChooser
from leadhollow.http1.incoming_request import HttpLimits, IncomingRequest
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger
from leadhollow.overload.memory import CallerMemory
from leadhollow.routing.index import RouteIndex
from leadhollow.routing.model import Organisation, Route
from leadhollow.settings.address import Address

STOP_MARGIN_S = 0.7  # end of the grace period, reserved to close and exit before SIGKILL
BALANCER_DELAY_S = 2.8
"""Time in which the load balancer notices that the entry is not ready: two failed checks, a second
apart, and a margin. Requests that are accepted later might not end within the grace period."""

log = get_logger("callers")


class CallerListener(TaskService):
    """Listens for callers on one entry.

    Parameters
    ----------
    has_table
        Returns whether requests may be checked against the route table.
    memory
        Account of what callers make the process hold.
    max_connections
        Largest number of connections of callers.
    stop_grace_s
        Time from the stop signal until the process is killed.
    seed
        Seed of the random part of retry times for refused callers.
    """

    __slots__ = (
        "_chooser",
        "_closed",
        "_closing_connections",
        "_dialect",
        "_has_table",
        "_plain",
        "_random",
        "_responder",
        "_retention",
        "_routes",
        "_server",
        "_stop_grace_s",
        "_streams",
        "_suspects",
        "stopping",
    )

    def __init__(
        self,
        *,
        address: Address,
        dialect: CallDialect,
        routes: RouteIndex,
        has_table: Callable[[], bool],
        chooser: TargetChooser,
        plain: PlainForwarder,
        streams: StreamForwarder,
        suspects: SuspectSync,
        responder: FailureResponder,
        memory: CallerMemory | None = None,
        max_connections: int | None = None,
        stop_grace_s: float,
        seed: int,
    ) -> None:
        self._dialect = dialect
        self._routes = routes
        self._has_table = has_table
        self._chooser = chooser
        self._plain = plain
        self._streams = streams
        self._suspects = suspects
        self._responder = responder
        self._stop_grace_s = stop_grace_s
        callers_memory = memory or CallerMemory()
        self._retention = BodyRetention(callers_bytes=callers_memory.limit_bytes)
        self._random = random.Random(seed)
        self._server = HttpServer(
            address=address,
            handler=self._handle,
            limits=self._limits,
            memory=callers_memory,
            max_connections=max_connections,
        )
        self.stopping = False
        self._closed = False
        self._closing_connections = False
        super().__init__()

    async def start(self) -> Result[None, Failure]:
        """Start listening."""
        return await self._server.start()

    async def drain(self) -> None:
        """Keep serving until the load balancer sends no more requests, then finish running ones."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        self.stopping = True
        self._server.announce_close()
        await asyncio.sleep(BALANCER_DELAY_S)
        self._closed = True
        self._server.stop_accepting()
        await self._server.wait_idle(start_s + self._stop_grace_s - STOP_MARGIN_S)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._closing_connections = True
        await self._server.stop()

    def _limits(self) -> HttpLimits:
        limits = self._routes.limits
        return HttpLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        )

    async def _handle(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        if self._closed:
            failure = Failure(code=Code.STOPPING)
            await self._refuse(request, reply, failure)
            return
        checked = await self._check(request, reply)
        if checked.is_err():
            await self._refuse(request, reply, checked.unwrap_err())
            return
        call = checked.unwrap()
        try:
            await self._forward(call)
        except asyncio.CancelledError:
            if self._closing_connections:
                self._responder.stopped(call)
            else:
                self._responder.caller_left(call)
            raise
        except Exception:
            log.exception("request failed with an exception", request=call.request_id)
            raise
        finally:
            call.body.release()

    async def _forward(self, call: ForwardedCall) -> None:
        if not self._suspects.quarantine.admits(call):
            await self._responder.quarantined(call)
            return
        service = self._routes.services.get(call.service)
        if service is not None and service.engine is not None:
            await self._streams.run(call, service)
        else:
            await self._plain.run(call)

    async def _check(
        self, request: IncomingRequest, reply: ReplyWriter
    ) -> Result[ForwardedCall, Failure]:
        """Parse the request, and find its route and the group of its caller."""
        read = self._dialect.parse_request(request.head)
        if read.is_err():
            return Err(read.unwrap_err())
        metadata = read.unwrap()
        if not self._has_table():
            detail = "no route table that a majority confirmed is known here yet"
            return Err(Failure(code=Code.STOPPING, detail=detail))
        host = request.head.headers.text(b"host").partition(":")[0]
        route = self._routes.route(host, request.head.path)
        if route is None:
            return Err(Failure(code=Code.SERVICE_UNKNOWN, detail="no route leads there"))
        found = self._organisation(route, metadata)
        if found.is_err():
            return Err(found.unwrap_err())
        organisation = found.unwrap()
        bounds = CallRegions(
            routes=self._routes,
            host=host,
            path=request.head.path,
            key=metadata.key or "",
            route=route,
            organisation=organisation,
        )
        body = RequestBody(
            head=request.head,
            incoming=request.body,
            limit_bytes=self._routes.limits.body_bytes,
            retention=self._retention,
        )
        request.uses.append(body)
        collected = await body.collect(
            deadline_s=call_deadline_s(route, metadata, request.received_s),
            idle_s=self._routes.limits.idle_timeout_ms / 1000,
        )
        if collected.is_err():
            return Err(collected.unwrap_err())
        service = self._chooser.choose(route, bounds.allowed())
        call = ForwardedCall(
            head=request.head,
            body=body,
            metadata=metadata,
            route=route,
            service=service,
            organisation=organisation,
            reply=reply,
            received_s=request.received_s,
            fingerprint=fingerprint_of(
                request.head,
                body,
                organisation="" if organisation is None else organisation.name,
            ),
            parts=part_fingerprints(metadata.prefix_ids, model=metadata.model),
            bounds=bounds,
            ranks=self._routes.ranks(service),
        )
        self._chooser.record_request(call.service)
        return Ok(call)

    def _organisation(
        self, route: Route, metadata: RequestMetadata
    ) -> Result[Organisation | None, Failure]:
        if route.public or not self._routes.keyed:
            return Ok(None)
        organisation = self._routes.organisation(metadata.key) if metadata.key else None
        if organisation is None:
            return Err(Failure(code=Code.KEY_UNKNOWN))
        return Ok(organisation)

    async def _refuse(self, request: IncomingRequest, reply: ReplyWriter, failure: Failure) -> None:
        status = failure.code.http_status
        log.info(
            "request refused",
            path=request.head.path,
            status=int(status),
            code=int(failure.code),
            table=self._routes.number,
        )
        retry_after_s: float | None = None
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_s = self._refusal_reason(failure).retry_after_s(self._random)
        if failure.code in (Code.BODY_TIMEOUT, Code.CALLERS_OVERLOAD):
            reply.close_after = True  # nobody knows whether the rest will ever come
        headers = self._dialect.error_headers(failure, retry_after_s)
        body = f"{int(failure.code)} {failure.code.title}\n".encode()
        await reply.send(status, headers, body)

    def _refusal_reason(self, failure: Failure) -> RefusalReason:
        if self._closed:
            return RefusalReason.STOPPING
        if failure.code is Code.CALLERS_OVERLOAD:
            return RefusalReason.OVERLOADED
        return RefusalReason.NOT_READY


__all__ = ["CallerListener"]
