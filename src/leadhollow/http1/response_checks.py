"""Checks of a server's bytes: bounds of a response, and signs that two responses were joined.

A server may stop within a response and send another one on the same connection. A parser then
takes the second status line for a part of the first response.
"""

from __future__ import annotations

import re

from leadhollow.http1.headers import Headers

MAX_OVERHEAD_BYTES = 64 * 1024
"""Bytes that a server may send without a part of a body: heads, interim responses, trailers."""

MAX_FIELDS = 256  # in one head, or in the trailers of a body
MAX_INTERIM_RESPONSES = 16

STATUS_LINE_START = b"HTTP/"
STATUS_LINE = re.compile(rb"HTTP/\d(?:\.\d)?[ \t]+\d{3}(?![^ \t])", re.IGNORECASE)
EMBEDDED_HEAD = re.compile(
    rb"HTTP/\d(?:\.\d)?[ \t]+\d{3}(?:[ \t][^\r\n]{0,200})?\r\n"
    rb"(?!(?:data|event|id|retry):)"  # the next line of an event whose text is about HTTP
    rb"[!-9;-~]{1,100}:",
    re.IGNORECASE,
)
"""A status line and the first field behind it."""

CUT_HEAD = re.compile(
    rb"HTTP/(?:\d(?:\.\d?)?(?:[ \t]+\d{0,3})?)?\Z"
    rb"|HTTP/\d(?:\.\d)?[ \t]+\d{3}(?:[ \t][^\r\n]{0,200})?(?:\r(?:\n[!-9;-~]{0,100})?)?\Z",
    re.IGNORECASE,
)
"""The beginning of a head at the end of the searched bytes."""

LONGEST_EMBEDDED_BYTES = 320  # of a status line and the name of its first field
CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class UnacceptableResponse(Exception):  # noqa: N818 - raised through the parser's callbacks
    """A response exceeds a bound, or holds another one."""


class ResponseBounds:
    """Counts what a server sends for one request beside the body of its response.

    Raises
    ------
    UnacceptableResponse
        A bound is exceeded. The methods raise it.
    """

    __slots__ = ("_fields", "_interim_responses", "_overhead_bytes")

    def __init__(self) -> None:
        self._fields = 0
        self._interim_responses = 0
        self._overhead_bytes = 0

    def begin_request(self) -> None:
        """Start to count anew."""
        self._interim_responses = 0
        self._overhead_bytes = 0

    def begin_message(self) -> None:
        """Start to count the fields of a response."""
        self._fields = 0

    def add_field(self) -> None:
        """Count a header or trailer field."""
        self._fields += 1
        if self._fields > MAX_FIELDS:
            raise UnacceptableResponse(f"more than {MAX_FIELDS} fields")

    def add_interim(self) -> None:
        """Count an interim response."""
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise UnacceptableResponse(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    def add_overhead(self, count: int) -> None:
        """Count bytes that brought no part of a body."""
        self._overhead_bytes += count
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            raise UnacceptableResponse(f"more than {MAX_OVERHEAD_BYTES} bytes without a body")

    def reset_overhead(self) -> None:
        """Record that a part of a body has arrived."""
        self._overhead_bytes = 0


class JoinedResponseDetector:
    """Looks for the head of another response within a body.

    Attributes
    ----------
    embeds_head
        Whether a status line with a field behind it was found.
    """

    __slots__ = ("_status_line_began", "_tail", "embeds_head")

    def __init__(self) -> None:
        self._tail = b""
        self._status_line_began = False
        self.embeds_head = False

    def feed(self, data: bytes) -> None:
        """Search the next bytes of the body."""
        joined = self._tail + data
        if STATUS_LINE_START in joined.upper():
            self._status_line_began = True
            self.embeds_head = self.embeds_head or EMBEDDED_HEAD.search(joined) is not None
        kept = LONGEST_EMBEDDED_BYTES if self._status_line_began else len(STATUS_LINE_START)
        self._tail = joined[-kept:]

    @property
    def ends_within_head(self) -> bool:
        """Whether the body ends within the head of another response, or behind one."""
        return self.embeds_head or (
            self._status_line_began and CUT_HEAD.search(self._tail) is not None
        )

    @property
    def may_be_joined(self) -> bool:
        """Whether bytes behind the body would show that another response began within it."""
        if self._status_line_began:
            return True
        lengths = range(1, len(STATUS_LINE_START))
        return any(self._tail.upper().endswith(STATUS_LINE_START[:length]) for length in lengths)


def check_head(reason: bytes, headers: Headers) -> None:
    """Check that a head holds no status line of another response, and its body is not encoded.

    Raises
    ------
    UnacceptableResponse
        The response before it was cut within its head, or its framing is not known.
    """
    if CONTROL_CHARACTERS.search(reason):
        raise UnacceptableResponse("the reason phrase holds control characters")
    if any(_holds_status_line(value) for value in (reason, *(value for _, value in headers))):
        raise UnacceptableResponse("the head holds another response's status line")
    codings = b",".join(headers.get_all(b"transfer-encoding")).strip()
    if codings and codings.lower() != b"chunked":
        raise UnacceptableResponse("the transfer coding is not chunked")


def _holds_status_line(value: bytes) -> bool:
    return b"/" in value and STATUS_LINE.search(value) is not None


__all__ = [
    "MAX_FIELDS",
    "MAX_INTERIM_RESPONSES",
    "MAX_OVERHEAD_BYTES",
    "JoinedResponseDetector",
    "ResponseBounds",
    "UnacceptableResponse",
    "check_head",
]
