"""One attempt at one backend server: the request is sent, and its own answer found."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
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
from leadhollow.http1.client_connection import Answer, ClientConnection
from leadhollow.http1.messages import Framing, RequestHead
from leadhollow.kernel import active_time, clocks
from leadhollow.observe.logs import get_logger

MOST_STRAY_ANSWERS = 4
SILENT_S = 0.3
"""Without an answer, on a connection that was used before: connections of the same age may have
gone silent together, as behind a device that forgot them."""


log = get_logger("exchange")


class AttemptEnd(Enum):
    """What is known of an attempt that gave no answer to pass on."""

    NOT_SENT = "not-sent"
    WITHHELD = "withheld"
    """What the backend server says of itself left no room; nothing was sent, and it is not ill."""

    NOT_EXECUTED = "not-executed"
    UNKNOWN = "unknown"


class AttemptFailure:
    """Why an attempt gave no answer, and whether the request may have run."""

    __slots__ = ("end", "failure", "status")

    def __init__(self, *, end: AttemptEnd, failure: Failure, status: int = 0) -> None:
        self.end = end
        self.failure = failure
        self.status = status

    @property
    def may_have_run(self) -> bool:
        """Whether the backend server may have begun to work on it."""
        return self.end is AttemptEnd.UNKNOWN


class Exchange:
    """An answer that belongs to the request, with the connection it comes on."""

    __slots__ = ("_connection", "_pool", "_sender", "address", "response", "closed", "metadata")

    def __init__(
        self,
        *,
        address: str,
        connection: ClientConnection,
        pool: ConnectionPool,
        response: Answer,
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
        """Status of the answer."""
        return self.response.head.status

    async def read(self) -> Result[bytes, Failure]:
        """Give the next bytes of the answer's body; ``b""`` at its end."""
        return await self.response.body.read()

    def finish(self) -> None:
        """Give the connection back, where request and answer are both whole."""
        if self.closed:
            return
        self.closed = True
        sent = self._sender is None or (self._sender.done() and not self._sender.cancelled())
        if sent and self.response.body.ended:
            self._pool.release(self.address, self._connection)
        else:
            self._stop()

    def abort(self) -> None:
        """Break the connection, so that the backend server stops to work."""
        if not self.closed:
            self.closed = True
            self._stop()

    def _stop(self) -> None:
        if self._sender is not None:
            self._sender.cancel()
        self._connection.close()


class ResponseListener(Protocol):
    """Hears of every answer, whatever its status, what its server says of itself."""

    def record_response(
        self,
        server: Server,
        facts: ResponseMetadata,
        *,
        sent_s: float | None,
        call: OwnCall | None,
    ) -> None:
        """Take what an answer says of its server.

        Parameters
        ----------
        sent_s
            When its request was sent, by the clock with suspensions; None where that is not known,
            or was of no use then.
        call
            Request that it answers; None where that is an earlier one on the connection.
        """
        ...


class BackendClient:
    """Makes attempts; all requests to backend servers and all their answers pass here.

    Parameters
    ----------
    listeners
        Hear what each answer says of its server, before anybody else reads it.
    """

    __slots__ = ("_dialect", "_listeners", "_pool", "stray_responses")

    def __init__(
        self, *, dialect: CallDialect, pool: ConnectionPool, listeners: Sequence[ResponseListener]
    ) -> None:
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
        """Send a request and wait for the head of its answer.

        Cancelling this breaks the connection.
        """
        began_s = asyncio.get_running_loop().time()
        address = server.instance.address
        acquired = await self._pool.acquire(address, fresh=fresh, timeout_s=connect_timeout_s)
        dispatch.connect_s = asyncio.get_running_loop().time() - began_s
        if acquired.is_err():
            failure = acquired.unwrap_err()
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
            for name, value in body.framing_fields:
                headers.add(name, value)
            sent_head = RequestHead(method=head.method, target=head.target, headers=headers)
            connection.begin(sent_head.encode(), method=head.method)
            if body.complete:
                await body.send(connection)
            else:
                sender = asyncio.get_running_loop().create_task(body.send(connection))
            found = await self._own_answer(
                connection, server, attempt_id, sent_s=limited_sent_s, call=own_call
            )
            if found.is_err():
                failure = found.unwrap_err()
                return Err(AttemptFailure(end=AttemptEnd.UNKNOWN, failure=failure))
            answer, facts = found.unwrap()
            exchange = Exchange(
                address=address,
                connection=connection,
                pool=self._pool,
                response=answer,
                metadata=facts,
                sender=sender,
            )
            return Ok(exchange)
        finally:
            if exchange is None:
                if sender is not None:
                    sender.cancel()
                self._note_silence(address, connection, sent_s)
                connection.close()

    def _note_silence(self, address: str, connection: ClientConnection, sent_s: float) -> None:
        """Close the idle connections to a server that was silent on one of them."""
        silent_s = active_time.active_s() - sent_s
        if connection.exchanges > 1 and connection.usable and silent_s > SILENT_S:
            log.info("idle connections closed", address=address, silent_s=round(silent_s, 2))
            self._pool.close_idle(address)

    async def _own_answer(
        self,
        connection: ClientConnection,
        server: Server,
        attempt_id: str,
        *,
        sent_s: float | None,
        call: OwnCall,
    ) -> Result[tuple[Answer, ResponseMetadata], Failure]:
        """Find the answer to a request; those to earlier ones on the connection are skipped.

        What these say of the server holds as well.
        """
        for _ in range(MOST_STRAY_ANSWERS):
            read = await connection.read_answer()
            if read.is_err():
                return Err(read.unwrap_err())
            answer = read.unwrap()
            facts = self._dialect.parse_response(answer.head)
            named = facts.attempt_id
            own = named is None or named == attempt_id or not attempt_id
            if own:
                self._note(server, answer, facts, sent_s=sent_s, call=call)
            else:
                self._note(server, answer, facts, sent_s=None, call=None)
            if own:
                return Ok((answer, facts))
            self.stray_responses += 1
            log.warning("answer to another request dropped", named=named, expected=attempt_id)
            if answer.head.framing is Framing.UNTIL_CLOSE:
                break
            skipped = await _skip(answer)
            if skipped.is_err():
                return Err(skipped.unwrap_err())
        connection.close()
        detail = "only answers to other requests came"
        return Err(Failure(code=Code.PEER_LOST, detail=detail))

    def _note(
        self,
        server: Server,
        answer: Answer,
        facts: ResponseMetadata,
        *,
        sent_s: float | None,
        call: OwnCall | None,
    ) -> None:
        """Tell the listeners, unless it may be another incarnation that answered."""
        if answer.head.status == HTTPStatus.MISDIRECTED_REQUEST and facts.instance is None:
            return
        for listener in self._listeners:
            listener.record_response(server, facts, sent_s=sent_s, call=call)


async def _skip(answer: Answer) -> Result[None, Failure]:
    while True:
        read = await answer.body.read()
        if read.is_err():
            return Err(read.unwrap_err())
        if not read.unwrap():
            return Ok(None)


__all__ = ["AnswerListener", "AttemptEnd", "AttemptFailure", "Exchange", "Exchanger"]
