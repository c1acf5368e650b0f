"""Heads of requests and responses, and the framing of bodies."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus

from leadhollow.http1.headers import Headers

BODYLESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class Framing(Enum):
    """How a body is delimited."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until-close"


class RequestHead:
    """Request line and header fields of a request.

    Parameters
    ----------
    method, target
        As the caller sent them.
    http_1_0
        Whether the caller speaks HTTP/1.0, which has no chunked encoding.
    """

    __slots__ = ("headers", "http_1_0", "method", "target")

    def __init__(
        self, *, method: bytes, target: bytes, headers: Headers, http_1_0: bool = False
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.http_1_0 = http_1_0

    @property
    def path(self) -> str:
        """Path without the query string, as text."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def framing(self) -> Framing:
        """Framing of the request body."""
        if self.headers.get(b"transfer-encoding") is not None:
            return Framing.CHUNKED
        if self.headers.get(b"content-length") is not None:
            return Framing.LENGTH
        return Framing.NONE

    def encode(self) -> bytes:
        """Encode the head for the wire."""
        return b"%b %b HTTP/1.1\r\n%b\r\n" % (self.method, self.target, self.headers.encode())


class ResponseHead:
    """Status line and header fields of a response."""

    __slots__ = ("framing", "headers", "reason", "status")

    def __init__(self, *, status: int, reason: bytes, headers: Headers, framing: Framing) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers
        self.framing = framing

    @property
    def content_length(self) -> int | None:
        """Content-Length in bytes; None if the body is not delimited by it."""
        value = self.headers.get(b"content-length")
        if self.framing is not Framing.LENGTH or value is None:
            return None
        return int(value)


def response_framing(*, status: int, method: bytes, headers: Headers) -> Framing:
    """Return the framing of a response body (RFC 9112, section 6.3)."""
    if method == b"HEAD" or status < HTTPStatus.OK or status in BODYLESS_STATUSES:
        return Framing.NONE
    if b"chunked" in headers.tokens(b"transfer-encoding"):
        return Framing.CHUNKED
    if headers.get(b"content-length") is not None:
        return Framing.LENGTH
    return Framing.UNTIL_CLOSE


def encode_chunk(data: bytes) -> bytes:
    """Encode data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"

__all__ = [
    "LAST_CHUNK",
    "Framing",
    "RequestHead",
    "ResponseHead",
    "encode_chunk",
    "response_framing",
]
