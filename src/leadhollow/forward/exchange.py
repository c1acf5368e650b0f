"""Client for backend servers: sends one attempt of a request and finds its response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum
from http import HTTPStatus
from typing import Protocol

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.failure import Failure
from leadhollow.forward.dialect import CallDialect, DispatchMetadata, ResponseMetadata
from leadhollow.forward.pool import CONNECT_TIMEOUT_S, ConnectionPool
from leadhollow.forward.request_body import RequestBody
from leadhollow.http1.client_connection import ClientConnection, IncomingResponse
from leadhollow.http1.messages import Framing, RequestHead
from leadhollow.http1.pieces import Pieces
from leadhollow.kernel import active_time, clocks
from leadhollow.observe.logs import get_logger

MAX_STRAY_RESPONSES = 4
MAX_STRAY_BYTES = 256 * 1024  # of the body of a response to another request
SILENT_CONNECTION_S = 0.3
"""After this time without a response on a reused connection, all idle connections to the server are
closed: they may all be dead, for example after a NAT device dropped their state."""

log = get_logger("exchange")


class AttemptEnd(Enum):
    """How an attempt ended that yielded no response to relay."""

    NOT_SENT = "not-sent"
    WITHHELD = "withheld"
    """The server is leaving, backing off or at its limit; nothing was sent, its health is fine."""

    NOT_EXECUTED = "not-executed"
    UNKNOWN = "unknown"


class AttemptFailure:
    """Why an attempt yielded no response, and whether the request may have run."""

    __slots__ = ("end", "failure", "status")

    def __init__(self, *, end: AttemptEnd, failure: Failure, status: int = 0) -> None:
        self.end = end
        self.failure = failure
        self.status = status

    @property
    def may_have_run(self) -> bool:
        """Whether the backend server may have begun to run the request."""
        return self.end is AttemptEnd.UNKNOWN


class Exchange:
    """The response to a request and the connection on which it arrives."""

    __slots__ = ("_connection", "_pool", "_sender", "address", "closed", "metadata", "response")

    def __init__(
        self,
        *,
        address: str,
        connection: ClientConnection,
        pool: ConnectionPool,
        response: IncomingResponse,
        metadata: ResponseMetadata,
        sender: asyncio.Task[Result[None, Failure]] | None,
    ) -> None:
        self.address = address
        self.response = response
        self.metadata = metadata
        self._connection = connection
        self._pool = pool
        self._sender = sender
        self.closed = False

    @property
    def status(self) -> int:
        """Status of the response."""
        return self.response.head.status

    def log_fields(self) -> dict[str, object]:
        """Return log fields that tell on which connection the response came and what it named."""
        return {
            "connection": self._connection.serial,
            "exchange": self._connection.exchange_count,
            "named": self.metadata.attempt_id,
            "framing": self.response.head.framing.value,
        }

    async def read(self) -> Result[bytes, Failure]:
        """Return the next bytes of the response's body; ``b""`` at its end."""
        return await self.response.body.read()

    @property
    def kept(self) -> Pieces:
        """Beginning of the response that is kept before any of it is relayed."""
        return self._connection.kept

    def finish(self) -> None:
        """Return the connection to the pool if request and response are complete, else close it."""
        if self.closed:
            return
        self.closed = True
        sent = self._sender is None or (self._sender.done() and not self._sender.cancelled())
        if sent and self.response.body.complete:
            self._pool.release(self.address, self._connection)
        else:
            self._stop()

    def abort(self) -> None:
        """Close the connection, so that the backend server stops working on the request."""
        if not self.closed:
            self.closed = True
            self._stop()

    def _stop(self) -> None:
        if self._sender is not None:
            self._sender.cancel()
        self._connection.abandon()


class ResponseListener(Protocol):
    """Receives the metadata of every response, whatever its status."""

    def record_response(
        self,
        server: Server,
        metadata: ResponseMetadata,
        *,
        sent_s: float | None,
        call: OwnCall | None,
    ) -> None:
        """Record what a response says about its server.

        Parameters
        ----------
        sent_s
            When the request was sent, by the clock that includes suspensions; None if that is
            unknown or was not recorded.
        call
            Call that the response belongs to; None if it belongs to an earlier call on the
            connection.
        """
        ...


class BackendClient:
    """Sends attempts; all requests to backend servers and all their responses pass through it.

    Parameters
    ----------
    listeners
        Receive the metadata of each response before anything else reads it.
    on_unreachable
        Called with each server to which no connection could be made.
    """

    __slots__ = ("_dialect", "_listeners", "_on_unreachable", "_pool", "stray_responses")

    def __init__(
        self,
        *,
        dialect: CallDialect,
        pool: ConnectionPool,
        listeners: Sequence[ResponseListener],
        on_unreachable: Callable[[Server], None] = lambda server: None,
    ) -> None:
        self._on_unreachable = on_unreachable
        self._dialect = dialect
        self._listeners = listeners
        self._pool = pool
        self.stray_responses = 0

    async def send(
        self,
        *,
        server: Server,
        own_call: OwnCall,
        head: RequestHead,
        body: RequestBody,
        attempt_id: str,
        dispatch: DispatchMetadata,
        fresh: bool,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> Result[Exchange, AttemptFailure]:
        """Send a request and wait for the head of its response.

        Cancellation closes the connection.
        """
        start_s = asyncio.get_running_loop().time()
        address = server.instance.address
        acquired = await self._pool.acquire(
            address, fresh=fresh or not attempt_id, timeout_s=connect_timeout_s
        )
        dispatch.connect_s = asyncio.get_running_loop().time() - start_s
        if acquired.is_err():
            failure = acquired.unwrap_err()
            if _is_away(failure, server, start_s):
                self._on_unreachable(server)
            return Err(AttemptFailure(end=AttemptEnd.NOT_SENT, failure=failure))
        connection = acquired.unwrap()
        withheld = server.claim_send(own_call)
        if withheld is not None:
            self._pool.release(address, connection)
            failure = Failure(code=withheld, detail=server.instance.instance)
            return Err(AttemptFailure(end=AttemptEnd.WITHHELD, failure=failure))
        limited_sent_s = None if server.send_limiter is None else clocks.elapsed_s()
        sent_s = active_time.active_s()
        exchange: Exchange | None = None
        sender: asyncio.Task[Result[None, Failure]] | None = None
        try:
            headers = self._dialect.dispatch_headers(head, dispatch)
            outgoing = body.outgoing()
            for name, value in outgoing.framing_fields:
                headers.add(name, value)
            sent_head = RequestHead(method=head.method, target=head.target, headers=headers)
            connection.begin_request(sent_head.encode(), method=head.method)
            body.add_connection(connection)
            if body.complete:
                await outgoing.send(connection)
            else:
                sender = asyncio.get_running_loop().create_task(outgoing.send(connection))
            found = await self._own_response(
                connection, server, attempt_id, sent_s=limited_sent_s, call=own_call
            )
            if found.is_err():
                failure = found.unwrap_err()
                return Err(AttemptFailure(end=AttemptEnd.UNKNOWN, failure=failure))
            response, metadata = found.unwrap()
            exchange = Exchange(
                address=address,
                connection=connection,
                pool=self._pool,
                response=response,
                metadata=metadata,
                sender=sender,
            )
            return Ok(exchange)
        finally:
            if exchange is None:
                if sender is not None:
                    sender.cancel()
                self._check_silence(address, connection, sent_s)
                connection.abandon()
                body.remove_connection(connection)

    def _check_silence(self, address: str, connection: ClientConnection, sent_s: float) -> None:
        """Close the idle connections to a server if it was silent on a reused connection."""
        silent_s = active_time.active_s() - sent_s
        if connection.exchange_count > 1 and connection.usable and silent_s > SILENT_CONNECTION_S:
            log.info(
                "closed idle connections to a silent server",
                address=address,
                silent_s=round(silent_s, 2),
            )
            self._pool.close_idle(address)

    async def _own_response(
        self,
        connection: ClientConnection,
        server: Server,
        attempt_id: str,
        *,
        sent_s: float | None,
        call: OwnCall,
    ) -> Result[tuple[IncomingResponse, ResponseMetadata], Failure]:
        """Read responses until the one to this request, skipping those to earlier requests.

        A response that names no request can only belong to the first one of its connection. The
        connection then carries no other, and neither does one on which a stray response came. The
        listeners get the metadata of skipped responses too.
        """
        for _ in range(MAX_STRAY_RESPONSES):
            read = await connection.read_response()
            if read.is_err():
                return Err(read.unwrap_err())
            response = read.unwrap()
            metadata = self._dialect.parse_response(response.head)
            named = metadata.attempt_id
            unnamed = named is None or not attempt_id
            if named != attempt_id or unnamed:
                connection.retire()
            if unnamed and connection.exchange_count > 1:
                connection.close()
                detail = "a response on a used connection names no request"
                return Err(Failure(code=Code.ENGINE_FAILED, detail=detail))
            if unnamed or named == attempt_id:
                self._notify(server, response, metadata, sent_s=sent_s, call=call)
                return Ok((response, metadata))
            self._notify(server, response, metadata, sent_s=None, call=None)
            self.stray_responses += 1
            log.warning(
                "dropped the response to another request",
                connection=connection.serial,
                exchange=connection.exchange_count,
                status=response.head.status,
                named=named,
                expected=attempt_id,
            )
            if response.head.framing is Framing.UNTIL_CLOSE:
                break
            skipped = await _skip(response)
            if skipped.is_err():
                return Err(skipped.unwrap_err())
        connection.close()
        detail = "only answers to other requests came"
        return Err(Failure(code=Code.PEER_LOST, detail=detail))

    def _notify(
        self,
        server: Server,
        response: IncomingResponse,
        metadata: ResponseMetadata,
        *,
        sent_s: float | None,
        call: OwnCall | None,
    ) -> None:
        """Notify the listeners, unless the response may come from an unnamed other instance."""
        if response.head.status == HTTPStatus.MISDIRECTED_REQUEST and metadata.instance is None:
            return
        for listener in self._listeners:
            listener.record_response(server, metadata, sent_s=sent_s, call=call)


def _is_away(failure: Failure, server: Server, now_s: float) -> bool:
    """Tell whether a server, and not only this VM, seems to be the reason of a failed connection.

    A connection may also time out because this VM is busy. Then the engine still reports its load.
    """
    if failure.code is Code.PEER_TIMEOUT:
        return server.fresh_report(now_s) is None
    return failure.code in (Code.PEER_ABSENT, Code.PEER_LOST)


async def _skip(response: IncomingResponse) -> Result[None, Failure]:
    size = 0
    while size <= MAX_STRAY_BYTES:
        read = await response.body.read()
        if read.is_err():
            return Err(read.unwrap_err())
        data = read.unwrap()
        if not data:
            return Ok(None)
        size += len(data)
    detail = "the response to another request is too long"
    return Err(Failure(code=Code.ENGINE_FAILED, detail=detail))


__all__ = ["AttemptEnd", "AttemptFailure", "BackendClient", "Exchange", "ResponseListener"]
