"""Writes an answer to its caller: whole where it is short, streamed where it is a stream."""

from __future__ import annotations

from aiohttp import web

from leadhollow.entry.call import Call
from leadhollow.entry.call_result import (
    CODE_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Ending,
    last_events,
    outcome_headers,
)
from leadhollow.entry.idempotency import KeptAnswer

BUFFER_BYTES = 1024 * 1024
HOP_HEADERS = frozenset({"connection", "transfer-encoding", "content-length", "keep-alive"})


class AnswerWriter:
    """Takes an answer from the attempts.

    A short answer is held until its ending is known, so that its headers are true. An event
    stream goes out as it comes and its last event tells the ending. A long answer of a plain
    service is streamed; if it breaks, the connection is cut rather than ended.
    """

    __slots__ = ("_body", "_call", "_headers", "_request", "_response", "_status", "_wants_stream")

    def __init__(self, *, request: web.Request, call: Call) -> None:
        self._request = request
        self._call = call
        self._status = 200
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._response: web.StreamResponse | None = None
        self._wants_stream = False

    @property
    def streaming(self) -> bool:
        """Whether part of the answer is already on its way to the caller."""
        return self._response is not None

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Take status and headers."""
        self._status = status
        self._headers = {name: value for name, value in headers.items() if not _ours_or_hop(name)}
        self._wants_stream = self._call.stream and status == 200

    async def data(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self._response is None and not self._wants_stream:
            self._body += data
            if len(self._body) <= BUFFER_BYTES:
                return
            data = bytes(self._body)
            self._body.clear()
        if self._response is None:
            await self._begin()
        if self._response is not None:
            try:
                await self._response.write(data)
            except ConnectionError:
                return  # the caller is gone; its handler is cancelled

    async def finish(self, ending: Ending) -> web.StreamResponse:
        """Close the answer and tell its ending."""
        if self._response is None:
            return self._whole(ending)
        if self._call.stream:
            await self._response.write(last_events(ending, self._call.request_id))
            await self._response.write_eof()
        elif ending.failure is None:
            await self._response.write_eof()
        elif self._request.transport is not None:
            self._request.transport.close()
        return self._response

    def kept(self) -> KeptAnswer:
        """Give what a resend of this call is to be answered."""
        return KeptAnswer(
            status=self._status,
            content_type=self._headers.get("Content-Type", "application/octet-stream"),
            body=bytes(self._body),
        )

    def _whole(self, ending: Ending) -> web.Response:
        headers = {**self._headers, **outcome_headers(ending, self._call.request_id)}
        return web.Response(status=self._status, body=bytes(self._body), headers=headers)

    async def _begin(self) -> None:
        headers = {**self._headers, REQUEST_ID_HEADER: self._call.request_id}
        response = web.StreamResponse(status=self._status, headers=headers)
        try:
            await response.prepare(self._request)
        except ConnectionError:
            return
        self._response = response


def _ours_or_hop(name: str) -> bool:
    lower = name.lower()
    ours = {CODE_HEADER.lower(), OUTCOME_HEADER.lower(), REQUEST_ID_HEADER.lower()}
    return lower in HOP_HEADERS or lower in ours


__all__ = ["AnswerWriter"]
