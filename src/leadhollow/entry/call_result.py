"""How a call ended, and what the caller is told of it."""

from __future__ import annotations

import msgspec

from leadhollow.codes import Code, Outcome
from leadhollow.failure import Failure
from leadhollow.problem import problem_of

OUTCOME_HEADER = "Leadhollow-Outcome"
CODE_HEADER = "Leadhollow-Code"
REQUEST_ID_HEADER = "Leadhollow-Request-Id"
VERSION_HEADER = "Leadhollow-Model-Version"
REPEATABLE_HEADER = "Leadhollow-Repeatable"
DEADLINE_HEADER = "Leadhollow-Deadline-Ms"
REPLAYED_HEADER = "Leadhollow-Replayed"
RETRY_AFTER_S = 1
RETRY_LATER = (
    Code.QUEUE_FULL,
    Code.NO_CAPACITY,
    Code.RETRIES_EXHAUSTED,
    Code.CLAIM_UNAVAILABLE,
    Code.STOPPING,
    Code.DEADLINE_PASSED,
    Code.IDEMPOTENCY_RUNNING,
)


class Ending:
    """Last word on a call.

    Parameters
    ----------
    outcome
        One of :class:`leadhollow.codes.Outcome`.
    failure
        None where the whole answer was delivered.
    """

    __slots__ = ("attempts", "failure", "generated_tokens", "outcome", "version")

    def __init__(
        self,
        *,
        outcome: str,
        failure: Failure | None = None,
        attempts: int = 0,
        generated_tokens: int = 0,
        version: str = "",
    ) -> None:
        self.outcome = outcome
        self.failure = failure
        self.attempts = attempts
        self.generated_tokens = generated_tokens
        self.version = version

    @property
    def code(self) -> Code:
        """Number of the ending."""
        return Code.OK if self.failure is None else self.failure.code


def refused(failure: Failure) -> Ending:
    """End a call of which nothing was dispatched."""
    return Ending(outcome=Outcome.NOT_EXECUTED, failure=failure)


def outcome_headers(ending: Ending, request_id: str) -> dict[str, str]:
    """Build the headers that tell a call's ending."""
    headers = {
        OUTCOME_HEADER: ending.outcome,
        CODE_HEADER: str(int(ending.code)),
        REQUEST_ID_HEADER: request_id,
    }
    if ending.version:
        headers[VERSION_HEADER] = ending.version
    if ending.code in RETRY_LATER:
        headers["Retry-After"] = str(RETRY_AFTER_S)
    return headers


def last_events(ending: Ending, request_id: str) -> bytes:
    """Build the events that close a stream: the outcome, then the usual end mark."""
    told = {
        "outcome": ending.outcome,
        "code": int(ending.code),
        "request_id": request_id,
        "version": ending.version,
    }
    if ending.failure is None:
        return b"event: outcome\ndata: " + msgspec.json.encode(told) + b"\n\ndata: [DONE]\n\n"
    problem = problem_of(ending.failure, outcome=ending.outcome, request_id=request_id)
    return b"event: error\ndata: " + msgspec.json.encode({"error": problem}) + b"\n\n"


__all__ = [
    "CODE_HEADER",
    "DEADLINE_HEADER",
    "OUTCOME_HEADER",
    "REPEATABLE_HEADER",
    "REPLAYED_HEADER",
    "REQUEST_ID_HEADER",
    "VERSION_HEADER",
    "Ending",
    "last_events",
    "outcome_headers",
    "refused",
]
