"""Writes a response to the caller, buffered or streamed."""

from __future__ import annotations

from aiohttp import web

from leadhollow.entry.call import Call
from leadhollow.entry.call_result import (
    CODE_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    CallResult,
    final_events,
    outcome_headers,
)
from leadhollow.entry.idempotency import StoredResponse

MAX_BUFFERED_BYTES = 1024 * 1024
HOP_BY_HOP_HEADERS = frozenset({"connection", "transfer-encoding", "content-length", "keep-alive"})


class ResponseWriter:
    """Writes the response of a call to its caller.

    A short response is buffered until the result is known, because its headers report the result.
    An event stream is forwarded immediately; its last event reports the result. A response of a
    plain service that exceeds the buffer is streamed. If it fails, the connection is closed without
    a proper end, so that the caller detects the truncation.
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
        """Whether part of the response was already sent to the caller."""
        return self._response is not None

    async def write_head(self, status: int, headers: dict[str, str]) -> None:
        """Accept status and headers."""
        self._status = status
        self._headers = {
            name: value for name, value in headers.items() if not _is_internal_or_hop_by_hop(name)
        }
        self._wants_stream = self._call.stream and status == 200

    async def write(self, data: bytes) -> None:
        """Accept a part of the body, and buffer or send it."""
        if self._response is None and not self._wants_stream:
            self._body += data
            if len(self._body) <= MAX_BUFFERED_BYTES:
                return
            data = bytes(self._body)
            self._body.clear()
        if self._response is None:
            await self._start_stream()
        if self._response is not None:
            try:
                await self._response.write(data)
            except ConnectionError:
                return  # the caller disconnected; aiohttp cancels its handler

    async def finish(self, result: CallResult) -> web.StreamResponse:
        """Finish the response and report the result of the call."""
        if self._response is None:
            return self._complete_response(result)
        if self._call.stream:
            await self._response.write(final_events(result, self._call.request_id))
            await self._response.write_eof()
        elif result.failure is None:
            await self._response.write_eof()
        elif self._request.transport is not None:
            self._request.transport.close()
        return self._response

    def stored_response(self) -> StoredResponse:
        """Return the response to store for a resend of this call."""
        return StoredResponse(
            status=self._status,
            content_type=self._headers.get("Content-Type", "application/octet-stream"),
            body=bytes(self._body),
        )

    def _complete_response(self, result: CallResult) -> web.Response:
        headers = {**self._headers, **outcome_headers(result, self._call.request_id)}
        return web.Response(status=self._status, body=bytes(self._body), headers=headers)

    async def _start_stream(self) -> None:
        headers = {**self._headers, REQUEST_ID_HEADER: self._call.request_id}
        response = web.StreamResponse(status=self._status, headers=headers)
        try:
            await response.prepare(self._request)
        except ConnectionError:
            return
        self._response = response


def _is_internal_or_hop_by_hop(name: str) -> bool:
    lower = name.lower()
    internal = {CODE_HEADER.lower(), OUTCOME_HEADER.lower(), REQUEST_ID_HEADER.lower()}
    return lower in HOP_BY_HOP_HEADERS or lower in internal


__all__ = ["ResponseWriter"]
