"""Signs in a server's bytes that two responses were joined.

A server may stop within a response and send another one on the same connection. A parser then
takes the second status line for a part of the first response.
"""

from __future__ import annotations

import re

from leadhollow.http1.headers import Headers

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d")
STATUS_LINE_START = b"HTTP/1."
EMBEDDED_HEAD = re.compile(rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]{0,200}\r?\n[!-9;-~]{1,100}:")
LONGEST_EMBEDDED_BYTES = 320  # of a status line and the name of its first field


class UnacceptableResponse(Exception):  # noqa: N818 - raised through the parser's callbacks
    """A response holds another one."""


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
        if STATUS_LINE_START in joined:
            self._status_line_began = True
            self.embeds_head = self.embeds_head or EMBEDDED_HEAD.search(joined) is not None
            self._tail = joined[-LONGEST_EMBEDDED_BYTES:]
        else:
            kept = LONGEST_EMBEDDED_BYTES if self._status_line_began else len(STATUS_LINE_START)
            self._tail = joined[-kept:]

    @property
    def may_be_joined(self) -> bool:
        """Whether bytes behind the body would show that another response began within it."""
        if self._status_line_began:
            return True
        lengths = range(1, len(STATUS_LINE_START))
        return any(self._tail.endswith(STATUS_LINE_START[:length]) for length in lengths)


def check_head(reason: bytes, headers: Headers) -> None:
    """Check that a head holds no status line of another response.

    Raises
    ------
    UnacceptableResponse
        It does: the response before it was cut within its head.
    """
    if STATUS_LINE.search(reason) or any(
        STATUS_LINE_START in value and STATUS_LINE.search(value) for _, value in headers
    ):
        raise UnacceptableResponse("the head holds another response's status line")


__all__ = [
    "JoinedResponseDetector",
    "UnacceptableResponse",
    "check_head",
]
