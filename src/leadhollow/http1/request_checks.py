"""Checks of a caller's bytes: signs that two requests were joined, and bounds beside a body."""

from __future__ import annotations

import re

from leadhollow.http1.headers import Headers

MAX_PIPELINED_REQUESTS = 64  # that wait behind the one that is handled

VERSIONS = (b" HTTP/1.1", b" HTTP/1.0")
REQUEST_LINE = re.compile(rb"[A-Z]{3,} \S+ HTTP/1\.[01]$")


def is_joined(headers: Headers) -> bool:
    """Return whether a head seems to be the beginning of one request and the rest of another.

    A sender that stops within a head and goes on with the next one makes the request line of the
    second a part of a field of the first. Several Host fields are not allowed either.
    """
    hosts = 0
    for name, value in headers:
        if value.endswith(VERSIONS) and REQUEST_LINE.search(value):
            return True
        hosts += len(name) == len(b"host") and name.lower() == b"host"
    return hosts > 1


__all__ = ["MAX_PIPELINED_REQUESTS", "is_joined"]
