"""Result of a call, and the headers and events that report it to the caller."""

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
RETRYABLE_CODES = (
    Code.QUEUE_FULL,
    Code.NO_CAPACITY,
    Code.RETRIES_EXHAUSTED,
    Code.CLAIM_UNAVAILABLE,
    Code.STOPPING,
    Code.DEADLINE_PASSED,
    Code.IDEMPOTENCY_RUNNING,
)


class CallResult:
    """Result of a call.

    Parameters
    ----------
    outcome
        One of :class:`leadhollow.codes.Outcome`.
    failure
        None if the complete response was delivered.
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
        """Code that is reported to the caller."""
        return Code.OK if self.failure is None else self.failure.code


def not_executed(failure: Failure) -> CallResult:
    """Make the result of a call that was never dispatched."""
    return CallResult(outcome=Outcome.NOT_EXECUTED, failure=failure)


def outcome_headers(result: CallResult, request_id: str) -> dict[str, str]:
    """Build the headers that report the result of a call."""
    headers = {
        OUTCOME_HEADER: result.outcome,
        CODE_HEADER: str(int(result.code)),
        REQUEST_ID_HEADER: request_id,
    }
    if result.version:
        headers[VERSION_HEADER] = result.version
    if result.code in RETRYABLE_CODES:
        headers["Retry-After"] = str(RETRY_AFTER_S)
    return headers


def final_events(result: CallResult, request_id: str) -> bytes:
    """Build the last events of a stream: the outcome and ``[DONE]``, or an error."""
    payload = {
        "outcome": result.outcome,
        "code": int(result.code),
        "request_id": request_id,
        "version": result.version,
    }
    if result.failure is None:
        return b"event: outcome\ndata: " + msgspec.json.encode(payload) + b"\n\ndata: [DONE]\n\n"
    problem = problem_of(result.failure, outcome=result.outcome, request_id=request_id)
    return b"event: error\ndata: " + msgspec.json.encode({"error": problem}) + b"\n\n"


__all__ = [
    "CODE_HEADER",
    "DEADLINE_HEADER",
    "OUTCOME_HEADER",
    "REPEATABLE_HEADER",
    "REPLAYED_HEADER",
    "REQUEST_ID_HEADER",
    "VERSION_HEADER",
    "CallResult",
    "final_events",
    "not_executed",
    "outcome_headers",
]
