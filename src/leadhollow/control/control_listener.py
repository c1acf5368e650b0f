"""HTTP listener of a control replica, for operators and for announcements of backend servers."""

from __future__ import annotations

import asyncio

from result import Result

from leadhollow.codes import Code
from leadhollow.control.api import (
    Announce,
    ControlDialect,
    ControlRequest,
    ControlResponse,
    Deregister,
    GetRouteTable,
    NameWeightsVersion,
    PutRouteTable,
    SetDomainEvacuation,
)
from leadhollow.control.departures import Departures
from leadhollow.control.evacuation_orders import EvacuationOrders
from leadhollow.control.registry import Registry
from leadhollow.failure import Failure
from leadhollow.http1.incoming_request import HttpLimits, IncomingRequest
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.observe.logs import get_logger
from leadhollow.overload.memory import CallerMemory
from leadhollow.settings.address import Address
from leadhollow.state.commands import Command, NameVersion
from leadhollow.state.gateway import LeaderGateway
from leadhollow.state.replica import Replica
from leadhollow.state.route_tables import replacement_command

COMMIT_TIMEOUT_S = 0.9  # clients of operators try another replica after 1 s
CONFIRM_TIMEOUT_S = 0.8
MAX_BODY_BYTES = 16 * 1024 * 1024
DRAIN_TIMEOUT_S = 1.0

log = get_logger("operators")


class ControlListener:
    """Serves control requests on every replica, whether it leads or not."""

    __slots__ = (
        "_departures",
        "_dialect",
        "_evacuations",
        "_gateway",
        "_registry",
        "_replica",
        "_server",
    )

    def __init__(
        self,
        *,
        address: Address,
        dialect: ControlDialect,
        replica: Replica,
        gateway: LeaderGateway,
        registry: Registry,
        evacuations: EvacuationOrders,
        departures: Departures,
        memory: CallerMemory | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._departures = departures
        self._evacuations = evacuations
        self._dialect = dialect
        self._replica = replica
        self._gateway = gateway
        self._registry = registry
        limits = HttpLimits(body_bytes=MAX_BODY_BYTES, header_timeout_ms=10_000)
        self._server = HttpServer(
            address=address,
            handler=self._handle,
            limits=lambda: limits,
            memory=memory,
            max_connections=max_connections,
        )

    async def start(self) -> Result[None, Failure]:
        """Open the listener."""
        return await self._server.start()

    async def drain(self) -> None:
        """Announce that connections close, and wait for requests in progress."""
        self._server.announce_close()
        await self._server.wait_idle(asyncio.get_running_loop().time() + DRAIN_TIMEOUT_S)

    async def stop(self) -> None:
        """Close the listener."""
        await self._server.stop()

    async def _handle(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        body = await request.body.read_all(MAX_BODY_BYTES)
        if body.is_err():
            await self._send(reply, self._dialect.error_response(body.unwrap_err()))
            return
        now_s = asyncio.get_running_loop().time()
        parsed = self._dialect.parse_request(request.head, body.unwrap(), now_s)
        if parsed.is_err():
            failure = parsed.unwrap_err()
            log.warning("control request rejected", path=request.head.path, failure=str(failure))
            await self._send(reply, self._dialect.error_response(failure))
            return
        await self._send(reply, await self._execute(parsed.unwrap()))

    async def _execute(self, request: ControlRequest) -> ControlResponse:
        match request:
            case PutRouteTable():
                command = replacement_command(request.table, request.source)
                return await self._propose(command, what="route table", number=request.table.number)
            case NameWeightsVersion():
                return await self._propose(
                    NameVersion(model=request.model, number=request.number),
                    what=f"weights of {request.model}",
                    number=request.number,
                )
            case SetDomainEvacuation():
                changed = await self._evacuations.execute(
                    request.domain, evacuated=request.evacuated, timeout_s=COMMIT_TIMEOUT_S
                )
                if changed.is_err():
                    return self._dialect.error_response(changed.unwrap_err())
            case GetRouteTable():
                return await self._get_route_table()
            case Announce():
                self._registry.announce(request.instance)
                return await self._acknowledge_departure(request.instance.instance)
            case Deregister():
                self._registry.deregister(request.instance, born_ms=request.born_ms)
                return await self._acknowledge_departure(request.instance)
        return self._dialect.accepted_response()

    async def _acknowledge_departure(self, instance: str) -> ControlResponse:
        if await self._departures.confirm(instance):
            return self._dialect.accepted_response()
        return self._dialect.error_response(Failure(code=Code.DEPARTURE_UNCONFIRMED))

    async def _propose(self, command: Command, *, what: str, number: int) -> ControlResponse:
        proposed = await self._gateway.propose(command, timeout_s=COMMIT_TIMEOUT_S)
        if proposed.is_err():
            failure = proposed.unwrap_err()
            log.warning("order not acknowledged", what=what, number=number, failure=str(failure))
            return self._dialect.error_response(failure)
        log.info("order acknowledged", what=what, number=number)
        return self._dialect.accepted_response()

    async def _get_route_table(self) -> ControlResponse:
        confirmed = await self._gateway.confirm(timeout_s=CONFIRM_TIMEOUT_S)
        if confirmed.is_err():
            return self._dialect.error_response(confirmed.unwrap_err())
        source = self._replica.machine.route_tables.document()
        if source is None:
            return self._dialect.error_response(
                Failure(code=Code.READ_UNCONFIRMED, detail="there is no route table yet")
            )
        return self._dialect.document_response(source)

    async def _send(self, reply: ReplyWriter, response: ControlResponse) -> None:
        await reply.send(response.status, response.headers, response.body)


__all__ = ["ControlListener"]
