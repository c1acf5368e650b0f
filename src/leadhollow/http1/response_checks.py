"""Signs in a server's bytes that two responses were joined.

A server may stop within a response and send another one on the same connection. A parser then
takes the second status line for a part of the first response.
"""

from __future__ import annotations

import re

from leadhollow.http1.headers import Headers

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d")
STATUS_LINE_START = b"HTTP/1."


class UnacceptableResponse(Exception):  # noqa: N818 - raised through the parser's callbacks
    """A response holds another one."""


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
    "UnacceptableResponse",
    "check_head",
]
