"""Limits the repeats that this entry sends to its share of what all entries may send."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import log_decision
from leadhollow.settings.node import Bounds

RATIO_USED = 0.8  # share of the allowed ratio; other nodes count requests slightly earlier or later
SLACK_USED = 0.8


class RepeatCause(Enum):
    """Why a request is sent to another server."""

    REFUSED = "refused"
    """The last server stated that it did not run the request."""

    FAILED = "failed"
    """The last attempt failed or was broken off, or its connection could not be made."""

    HEDGED = "hedged"
    """The last server has not responded for long; its attempt goes on."""


class RetryBudget:
    """Repeats of each service within a sliding window.

    Parameters
    ----------
    entries
        Returns the number of live entries. The slack is divided evenly among them.
    clock
        Returns the time including suspensions. If the clock stopped during a suspension, the
        window would become too long.
    """

    __slots__ = ("_bounds", "_clock", "_entries", "_repeats", "_requests", "_started_s")

    def __init__(
        self, *, bounds: Bounds, entries: Callable[[], int], clock: Callable[[], float]
    ) -> None:
        self._bounds = bounds
        self._entries = entries
        self._clock = clock
        self._started_s = clock()
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._requests.setdefault(service, deque()).append(self._clock())

    def demand_per_s(self, service: str) -> float:
        """Return the rate of callers' requests per second in the current window."""
        return self._count(self._requests, service) / self._bounds.retry_window_s

    def try_acquire(self, service: str, cause: RepeatCause, *, request: str = "") -> bool:
        """Take the permission for one repeat; return False if none is left.

        Parameters
        ----------
        request
            Attempt id of the caller, for the log.
        """
        remaining = self.remaining(service)
        permitted = remaining >= 1
        if permitted:
            self._repeats.setdefault(service, deque()).append(self._clock())
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
        """Return the newest permission of a repeat that was not sent."""
        if repeats := self._repeats.get(service):
            repeats.pop()

    def remaining(self, service: str) -> float:
        """Return the number of repeats that are left in the current window."""
        bounds = self._bounds
        allowed = bounds.retry_slack * SLACK_USED / max(1, self._entries())
        allowed += bounds.retry_ratio * RATIO_USED * self._count(self._requests, service)
        return allowed - self._count(self._repeats, service)

    def _count(self, times: dict[str, deque[float]], service: str) -> int:
        found = times.get(service)
        if found is None:
            return 0
        oldest_s = self._clock() - self._bounds.retry_window_s
        while found and found[0] < oldest_s:
            found.popleft()
        return len(found)


def cause_of_repeat(failure: Failure) -> RepeatCause:
    """Return why a request is repeated after a failed attempt."""
    return RepeatCause.REFUSED if failure.code is Code.BACKEND_REFUSED else RepeatCause.FAILED


__all__ = ["RepeatCause", "RetryBudget", "cause_of_repeat"]
