"""Limits the repeats that this entry sends to its share of what all entries may send."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import log_decision
from leadhollow.settings.node import Bounds

WINDOW_SHARE = 0.8
SAVED_SHARE = 0.4
ACCRUED_SHARE = 0.8
YOUNG_ACCRUED_SHARE = 0.3
"""Shares of what this entry may send in a window: in any window, as saved tokens, as tokens that
accrue in a window, and the same in the first window of a process.

A process that ends at the time x of a window, with x from 0 to 1, sends at most
min(0.8, 0.4 + 0.8 x) in it, and those that follow it accrue 0.3 (1 - x). The sum is at most 0.95.
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
    """Limits the repeats of each service by a sliding window and by a token bucket.

    The window contains what this process sent. The bucket limits what a process may send beside the
    process before it on its VM, whose repeats it does not know: it starts without tokens, and they
    accrue slowly at first. At the first start of the whole system there is none before it.

    Parameters
    ----------
    entries
        Returns the number of live entries, or more. The slack is divided evenly among them.
    clock
        Returns the time including suspensions. If the clock stopped during a suspension, the
        window would become too long.
    first_start
        Whether no process ran on this VM before.
    """

    __slots__ = ("_bounds", "_clock", "_entries", "_first_start", "_services", "_started_s")

    def __init__(
        self,
        *,
        bounds: Bounds,
        entries: Callable[[], int],
        clock: Callable[[], float],
        first_start: bool = False,
    ) -> None:
        self._bounds = bounds
        self._entries = entries
        self._clock = clock
        self._first_start = first_start
        self._started_s = clock()
        self._services: dict[str, _ServiceRepeats] = {}

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        now_s = self._clock()
        found = self._found(service)
        found.requests_s.append(now_s)
        found.forget_before(now_s - self._bounds.retry_window_s)
        found.tokens += self._accrued_share(now_s) * self._bounds.retry_ratio

    def demand_per_s(self, service: str) -> float:
        """Return the rate of callers' requests per second in the current window."""
        found = self._updated(service, self._clock())
        return len(found.requests_s) / self._bounds.retry_window_s

    def try_acquire(self, service: str, cause: RepeatCause, *, request: str = "") -> bool:
        """Take the permission for one repeat; return False if none is left.

        Parameters
        ----------
        request
            Attempt id of the caller, for the log.
        """
        now_s = self._clock()
        found = self._updated(service, now_s)
        remaining = self._remaining(found)
        permitted = remaining >= 1
        if permitted:
            found.repeats_s.append(now_s)
            found.tokens -= 1
        log_decision(
            "repeat permitted" if permitted else "repeat not permitted",
            request=request,
            service=service,
            cause=cause.value,
            remaining=round(remaining, 2),
            entries=self._entries(),
            started_s=round(now_s - self._started_s, 2),
        )
        return permitted

    def refund(self, service: str) -> None:
        """Return the newest permission of a repeat that was not sent."""
        found = self._updated(service, self._clock())
        if found.repeats_s:
            found.repeats_s.pop()
            found.tokens += 1

    def remaining(self, service: str) -> float:
        """Return the number of repeats that may be sent now."""
        return self._remaining(self._updated(service, self._clock()))

    def _remaining(self, found: _ServiceRepeats) -> float:
        return min(found.tokens, WINDOW_SHARE * self._allowed(found) - len(found.repeats_s))

    def _allowed(self, found: _ServiceRepeats) -> float:
        """Return how many repeats the part of this entry would be in the current window."""
        return self._slack() + self._bounds.retry_ratio * len(found.requests_s)

    def _slack(self) -> float:
        return self._bounds.retry_slack / max(1, self._entries())

    def _accrued_share(self, now_s: float) -> float:
        age_s = now_s - self._started_s
        young = age_s < self._bounds.retry_window_s and not self._first_start
        return YOUNG_ACCRUED_SHARE if young else ACCRUED_SHARE

    def _found(self, service: str) -> _ServiceRepeats:
        found = self._services.get(service)
        if found is None:
            idle_s = self._bounds.retry_window_s if self._first_start else 0.0
            found = _ServiceRepeats(updated_s=self._started_s - idle_s)
            self._services[service] = found
        return found

    def _updated(self, service: str, now_s: float) -> _ServiceRepeats:
        """Return what is kept for a service, with the tokens that accrued until now."""
        window_s = self._bounds.retry_window_s
        found = self._found(service)
        found.forget_before(now_s - window_s)
        elapsed_s, found.updated_s = now_s - found.updated_s, now_s
        found.tokens += self._accrued_share(now_s) * self._slack() * elapsed_s / window_s
        found.tokens = min(found.tokens, max(MIN_SAVED, SAVED_SHARE * self._allowed(found)))
        return found


class _ServiceRepeats:
    """Requests and repeats of one service within the window, and tokens for more repeats."""

    __slots__ = ("repeats_s", "requests_s", "tokens", "updated_s")

    def __init__(self, *, updated_s: float) -> None:
        self.repeats_s: deque[float] = deque()
        self.requests_s: deque[float] = deque()
        self.tokens = 0.0
        self.updated_s = updated_s

    def forget_before(self, oldest_s: float) -> None:
        requests_s, repeats_s = self.requests_s, self.repeats_s
        while requests_s and requests_s[0] < oldest_s:
            requests_s.popleft()
        while repeats_s and repeats_s[0] < oldest_s:
            repeats_s.popleft()


def cause_of_repeat(failure: Failure) -> RepeatCause:
    """Return why a request is repeated after a failed attempt."""
    return RepeatCause.REFUSED if failure.code is Code.BACKEND_REFUSED else RepeatCause.FAILED


__all__ = ["RepeatCause", "RetryBudget", "cause_of_repeat"]
