"""Represents failures in HTTP responses as problem details of RFC 9457."""

from __future__ import annotations

import msgspec

from leadhollow.failure import Failure

PROBLEM_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Problem details of RFC 9457 with the extension members code, outcome and request_id."""

    type: str
    title: str
    status: int
    detail: str
    code: int
    outcome: str
    request_id: str


def problem_of(failure: Failure, *, outcome: str, request_id: str) -> Problem:
    """Build the problem details of a failure."""
    return Problem(
        type=f"urn:leadhollow:code:{int(failure.code)}",
        title=failure.code.title,
        status=int(failure.code.http_status),
        detail=str(failure.detail) if not failure.field else f"{failure.field}: {failure.detail}",
        code=int(failure.code),
        outcome=outcome,
        request_id=request_id,
    )


__all__ = ["PROBLEM_TYPE", "Problem", "problem_of"]
