"""Answers of plain services, taken whole before they are passed on where they are short."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from result import Err, Ok, Result

from leadhollow.failure import Failure
from leadhollow.forward.exchange import AttemptFailure, Exchange
from leadhollow.http1.messages import ResponseHead

HELD_BYTES = 256 * 1024  # answers up to it are taken whole


class WholeAnswer:
    """An answer taken whole, or its beginning where it is long."""

    __slots__ = ("data", "exchange", "whole")

    def __init__(self, *, exchange: Exchange, data: bytes, whole: bool) -> None:
        self.exchange = exchange
        self.data = data
        self.whole = whole

    @property
    def head(self) -> ResponseHead:
        """Head of the answer."""
        return self.exchange.answer.head

    @property
    def good(self) -> bool:
        """Whether it is a success that bears the server's signature."""
        return self.head.status < HTTPStatus.BAD_REQUEST and self.exchange.facts.signed

    @property
    def own_failure(self) -> bool:
        """Whether the server says that it failed at the request itself."""
        return self.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR


async def take_whole(exchange: Exchange) -> Result[WholeAnswer, Failure]:
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
            return Ok(WholeAnswer(exchange=exchange, data=b"".join(parts), whole=True))
        parts.append(data)
        size += len(data)
    return Ok(WholeAnswer(exchange=exchange, data=b"".join(parts), whole=False))


async def first_good(
    tasks: set[asyncio.Task[Result[WholeAnswer, AttemptFailure]]],
) -> Result[WholeAnswer, AttemptFailure]:
    """Wait for the first good answer, else for the last of the others."""
    pending = set(tasks)
    ended: Result[WholeAnswer, AttemptFailure] | None = None
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            ended = task.result()
            if ended.is_ok() and ended.unwrap().good:
                return ended
    assert ended is not None
    return ended


__all__ = ["WholeAnswer", "first_good", "take_whole"]
