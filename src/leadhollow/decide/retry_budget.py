"""Limits the repeats that this entry sends to its share of what all entries may send."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import log_decision
from leadhollow.settings.node import Bounds

ACCRUED_SHARE = 0.8
SAVED_SHARE = 0.15
"""Shares of what all entries may send in a window: as tokens that accrue in a window, and as saved
tokens. A window holds no more repeats than the tokens saved at its start and those accrued in it.
The rest allows for requests that others count slightly earlier or later."""

MIN_SAVED = 1.0  # tokens; with less, an entry with few requests could never repeat one


class RepeatCause(Enum):
    """Why a request is sent to another server."""

    REFUSED = "refused"
    """The last server stated that it did not run the request."""

    FAILED = "failed"
    """The last attempt failed or was broken off, or its connection could not be made."""

    HEDGED = "hedged"
    """The last server has not responded for long; its attempt goes on."""


class RetryBudget:
    """Token bucket of the repeats of each service.

    Tokens accrue with requests and with time. A process starts without any: it does not know what
    the process before it on its VM has sent, and leaves it the tokens for the time before.

    Parameters
    ----------
    entries
        Returns the number of live entries, or more. The slack is divided evenly among them.
    clock
        Returns the time including suspensions.
    """

    __slots__ = ("_bounds", "_buckets", "_clock", "_entries", "_started_s")

    def __init__(
        self, *, bounds: Bounds, entries: Callable[[], int], clock: Callable[[], float]
    ) -> None:
        self._bounds = bounds
        self._entries = entries
        self._clock = clock
        self._started_s = clock()
        self._buckets: dict[str, _Bucket] = {}

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        bucket = self._refilled(service)
        bucket.requests_s.append(self._clock())
        bucket.tokens += ACCRUED_SHARE * self._bounds.retry_ratio

    def demand_per_s(self, service: str) -> float:
        """Return the rate of callers' requests per second in the current window."""
        return len(self._refilled(service).requests_s) / self._bounds.retry_window_s

    def try_acquire(self, service: str, cause: RepeatCause, *, request: str = "") -> bool:
        """Take the token for one repeat; return False if there is none.

        Parameters
        ----------
        request
            Attempt id of the caller, for the log.
        """
        bucket = self._refilled(service)
        remaining = bucket.tokens
        permitted = remaining >= 1
        if permitted:
            bucket.tokens -= 1
        log_decision(
            "repeat permitted" if permitted else "repeat not permitted",
            request=request,
            service=service,
            cause=cause.value,
            remaining=round(remaining, 2),
            entries=self._entries(),
            started_s=round(self._clock() - self._started_s, 2),
        )
        return permitted

    def refund(self, service: str) -> None:
        """Return the token of a repeat that was not sent."""
        self._refilled(service).tokens += 1

    def remaining(self, service: str) -> float:
        """Return the number of repeats that may be sent now."""
        return self._refilled(service).tokens

    def _refilled(self, service: str) -> _Bucket:
        """Return the bucket of a service, with what accrued until now, up to what may be saved."""
        now_s = self._clock()
        window_s = self._bounds.retry_window_s
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = _Bucket(refilled_s=self._started_s)
        bucket.drop_requests_before(now_s - window_s)
        slack = self._bounds.retry_slack / max(1, self._entries())
        allowed = slack + self._bounds.retry_ratio * len(bucket.requests_s)
        bucket.tokens += ACCRUED_SHARE * slack * (now_s - bucket.refilled_s) / window_s
        bucket.tokens = min(bucket.tokens, max(MIN_SAVED, SAVED_SHARE * allowed))
        bucket.refilled_s = now_s
        return bucket


class _Bucket:
    """Tokens for the repeats of one service, and the times of its requests within a window."""

    __slots__ = ("refilled_s", "requests_s", "tokens")

    def __init__(self, *, refilled_s: float) -> None:
        self.refilled_s = refilled_s
        self.requests_s: deque[float] = deque()
        self.tokens = 0.0

    def drop_requests_before(self, oldest_s: float) -> None:
        while self.requests_s and self.requests_s[0] < oldest_s:
            self.requests_s.popleft()


def cause_of_repeat(failure: Failure) -> RepeatCause:
    """Return why a request is repeated after a failed attempt."""
    return RepeatCause.REFUSED if failure.code is Code.BACKEND_REFUSED else RepeatCause.FAILED


__all__ = ["RepeatCause", "RetryBudget", "cause_of_repeat"]
