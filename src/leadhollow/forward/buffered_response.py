"""Buffers responses of plain services, so that a short one can be retried before it is relayed."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from result import Err, Ok, Result

from leadhollow.failure import Failure
from leadhollow.forward.exchange import AttemptFailure, Exchange
from leadhollow.http1.messages import ResponseHead
from leadhollow.http1.pieces import Pieces

MAX_BUFFERED_BYTES = 256 * 1024


class BufferedResponse:
    """A response with its complete body, or with the beginning of a long body.

    Parameters
    ----------
    body
        What was read of the body.
    complete
        Whether that is all of it.
    """

    __slots__ = ("body", "complete", "exchange")

    def __init__(self, *, exchange: Exchange, body: Pieces, complete: bool) -> None:
        self.exchange = exchange
        self.body = body
        self.complete = complete

    def release_connection(self) -> None:
        """Return the connection to the pool and keep the body."""
        self.body = self.body.take()
        self.exchange.finish()

    @property
    def head(self) -> ResponseHead:
        """Head of the response."""
        return self.exchange.response.head

    @property
    def successful(self) -> bool:
        """Whether the response reports success and is signed by the server."""
        return self.head.status < HTTPStatus.BAD_REQUEST and self.exchange.metadata.signed

    @property
    def server_error(self) -> bool:
        """Whether the server reports that it failed to process the request."""
        return self.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR


async def buffer_response(exchange: Exchange) -> Result[BufferedResponse, Failure]:
    """Read the body of a response, and stop after more than ``MAX_BUFFERED_BYTES``.

    Errors
    ------
    PEER_LOST
        The connection broke before the end of the body.
    """
    pieces = exchange.kept
    while pieces.size_bytes <= MAX_BUFFERED_BYTES:
        read = await exchange.read()
        if read.is_err():
            return Err(read.unwrap_err())
        piece = read.unwrap()
        if not piece:
            return Ok(BufferedResponse(exchange=exchange, body=pieces, complete=True))
        pieces.append(piece)
    return Ok(BufferedResponse(exchange=exchange, body=pieces, complete=False))


async def first_successful(
    tasks: set[asyncio.Task[Result[BufferedResponse, AttemptFailure]]],
) -> Result[BufferedResponse, AttemptFailure]:
    """Wait for the first successful response; if there is none, return the last result."""
    pending = set(tasks)
    ended: Result[BufferedResponse, AttemptFailure] | None = None
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            ended = task.result()
            if ended.is_ok() and ended.unwrap().successful:
                return ended
    assert ended is not None
    return ended


__all__ = ["BufferedResponse", "buffer_response", "first_successful"]
