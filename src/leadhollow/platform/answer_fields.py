"""Header fields of responses from backend servers: decoded, ignored and rare ones.

Fields that are in none of these sets are reported as unknown.
"""

from __future__ import annotations

DECODED = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "retry-after",
        "server-leaving",
        "server-limit",
        "transfer-encoding",
        "x-attempt-id",
        "x-cold-ms",
        "x-instance-id",
        "x-not-executed",
        "x-response-signature",
    }
)
"""Fields that this package or `http1` decodes."""

IGNORED = {
    "at-server": "names the engine at fault on a path of several engines, which are not used",
    "cache-control": "is the caller's: answers are not kept",
    "content-encoding": "is the caller's: bodies are passed on as they come",
    "content-type": "is the caller's",
    "date": "is the caller's, and no clock is set by it",
    "server": "is the caller's",
    "x-weight-versions": "is the caller's; versions are known from reports",
}
"""Fields that are not decoded, each with the reason."""

UNUSUAL = frozenset({"retry-after", "server-leaving", "server-limit", "x-cold-ms"})
"""Decoded fields that few responses have. Other responses are not searched for them."""

KNOWN = DECODED | IGNORED.keys()

__all__ = ["DECODED", "IGNORED", "KNOWN", "UNUSUAL"]
