"""Answers of plain services, taken whole before they are passed on where they are short."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from result import Err, Ok, Result

from leadhollow.failure import Failure
from leadhollow.forward.exchange import AttemptFailure, Exchange
from leadhollow.http1.messages import ResponseHead

HELD_BYTES = 256 * 1024  # answers up to it are taken whole


class BufferedResponse:
    """An answer taken whole, or its beginning where it is long."""

    __slots__ = ("data", "exchange", "complete")

    def __init__(self, *, exchange: Exchange, data: bytes, complete: bool) -> None:
        self.exchange = exchange
        self.data = data
        self.complete = complete

    @property
    def head(self) -> ResponseHead:
        """Head of the answer."""
        return self.exchange.response.head

    @property
    def successful(self) -> bool:
        """Whether it is a success that bears the server's signature."""
        return self.head.status < HTTPStatus.BAD_REQUEST and self.exchange.metadata.signed

    @property
    def server_error(self) -> bool:
        """Whether the server says that it failed at the request itself."""
        return self.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR


async def buffer_response(exchange: Exchange) -> Result[BufferedResponse, Failure]:
    """Take an answer whole, or its beginning where it is long.

    Errors
    ------
    PEER_LOST
        It broke off.
    """
    parts: list[bytes] = []
    size = 0
    while size <= HELD_BYTES:
        read = await exchange.read()
        if read.is_err():
            return Err(read.unwrap_err())
        data = read.unwrap()
        if not data:
            return Ok(BufferedResponse(exchange=exchange, data=b"".join(parts), complete=True))
        parts.append(data)
        size += len(data)
    return Ok(BufferedResponse(exchange=exchange, data=b"".join(parts), complete=False))


async def first_successful(
    tasks: set[asyncio.Task[Result[BufferedResponse, AttemptFailure]]],
) -> Result[BufferedResponse, AttemptFailure]:
    """Wait for the first good answer, else for the last of the others."""
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


__all__ = ["WholeAnswer", "first_good", "take_whole"]
