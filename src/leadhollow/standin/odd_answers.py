"""Odd bytes around the answers of a stand-in, which belong to no request."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

REQUEST_ID_FIELD = "X-Request-Id"  # only requests of callers have it
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
NO_HTTP = b"\x00\x01\x02"
LATE_S = 0.005
CUT_SHARE = 0.2  # of the odd answers to requests that may be repeated
CUT_OPEN_S = 0.2  # for which a connection stays open after an answer that was cut

_seeds = itertools.count(1)


class OddAnswers:
    """Middleware that sends odd bytes with a share of the answers; each one has another seed.

    Parameters
    ----------
    share
        Gives the share of the answers.
    cuts
        Whether answers may be cut; their requests have to be repeatable.

    Attributes
    ----------
    counts
        Number of odd answers of each kind.
    """

    __slots__ = ("_cuts", "_random", "_share", "counts")

    def __init__(self, *, share: Callable[[], float], cuts: bool) -> None:
        self._random = random.Random(next(_seeds))
        self._share = share
        self._cuts = cuts
        self.counts: Counter[str] = Counter()

    def middleware(self) -> Middleware:
        """Return the middleware for an application."""

        @web.middleware
        async def run(request: web.Request, handler: Handler) -> web.StreamResponse:
            if REQUEST_ID_FIELD not in request.headers or self._random.random() >= self._share():
                return await handler(request)
            return await self._answer(request, handler)

        return run

    async def _answer(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        source = self._random
        if self._cuts and source.random() < CUT_SHARE:
            return await self._cut(request)
        kind = source.choice(("interim", "copy", "late copy", "beginning", "no-http"))
        self.counts[kind] += 1
        if kind == "interim":
            _write(request.transport, INTERIM)
        response = await handler(request)
        if not response.prepared:
            await response.prepare(request)
            await response.write_eof()
        copy = _other_answer()
        if kind == "late copy":
            asyncio.get_running_loop().call_later(LATE_S, _write, request.transport, copy)
        elif kind == "beginning":
            _write(request.transport, copy[: source.randrange(1, len(copy))])
        elif kind != "interim":
            _write(request.transport, NO_HTTP if kind == "no-http" else copy)
        return response

    async def _cut(self, request: web.Request) -> web.StreamResponse:
        """Answer in part, without running the request, and send another answer behind it."""
        self.counts["cut"] += 1
        whole = _other_answer()
        _write(request.transport, whole[: self._random.randrange(1, len(whole) - 1)])
        _write(request.transport, _other_answer())
        await asyncio.sleep(CUT_OPEN_S)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)


def _write(transport: asyncio.Transport | None, data: bytes) -> None:
    if transport is not None and not transport.is_closing():
        transport.write(data)


def _other_answer() -> bytes:
    body = b'{"error": "the answer to another request"}'
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


__all__ = ["OddAnswers"]
