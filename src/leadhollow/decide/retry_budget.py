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

    __slots__ = ("_bounds", "_clock", "_entries", "_idle_since_s", "_services", "_started_s")

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
        self._started_s = clock()
        self._idle_since_s = self._started_s - (bounds.retry_window_s if first_start else 0.0)
        self._services: dict[str, _ServiceBudget] = {}

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._updated(service).record_request(self._clock(), self._accrued_share())

    def demand_per_s(self, service: str) -> float:
        """Return the rate of callers' requests per second in the current window."""
        return len(self._updated(service).requests_s) / self._bounds.retry_window_s

    def try_acquire(self, service: str, cause: RepeatCause, *, request: str = "") -> bool:
        """Take the permission for one repeat; return False if none is left.

        Parameters
        ----------
        request
            Attempt id of the caller, for the log.
        """
        found = self._updated(service)
        remaining = found.remaining()
        permitted = remaining >= 1
        if permitted:
            found.record_repeat(self._clock())
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
        self._updated(service).refund()

    def remaining(self, service: str) -> float:
        """Return the number of repeats that may be sent now."""
        return self._updated(service).remaining()

    def _updated(self, service: str) -> _ServiceBudget:
        found = self._services.get(service)
        if found is None:
            found = _ServiceBudget(bounds=self._bounds, idle_since_s=self._idle_since_s)
            self._services[service] = found
        slack = self._bounds.retry_slack / max(1, self._entries())
        found.update(self._clock(), slack, self._accrued_share())
        return found

    def _accrued_share(self) -> float:
        young = self._clock() - self._idle_since_s < self._bounds.retry_window_s
        return YOUNG_ACCRUED_SHARE if young else ACCRUED_SHARE


class _ServiceBudget:
    """Requests and repeats of one service within the window, and saved tokens."""

    __slots__ = ("_bounds", "_repeats_s", "_slack", "_tokens", "_updated_s", "requests_s")

    def __init__(self, *, bounds: Bounds, idle_since_s: float) -> None:
        self._bounds = bounds
        self._slack = 0.0
        self._tokens = 0.0
        self._updated_s = idle_since_s
        self._repeats_s: deque[float] = deque()
        self.requests_s: deque[float] = deque()

    def update(self, now_s: float, slack: float, accrued_share: float) -> None:
        """Let tokens accrue until now, and forget what is older than the window.

        Parameters
        ----------
        slack
            Repeats per window that are allowed to this entry beside the ratio.
        """
        window_s = self._bounds.retry_window_s
        for times_s in (self._repeats_s, self.requests_s):
            while times_s and times_s[0] < now_s - window_s:
                times_s.popleft()
        self._slack = slack
        self._tokens += accrued_share * slack * (now_s - self._updated_s) / window_s
        self._tokens = min(self._tokens, max(MIN_SAVED, SAVED_SHARE * self._allowed()))
        self._updated_s = now_s

    def record_request(self, now_s: float, accrued_share: float) -> None:
        self.requests_s.append(now_s)
        self._tokens += accrued_share * self._bounds.retry_ratio

    def record_repeat(self, now_s: float) -> None:
        self._repeats_s.append(now_s)
        self._tokens -= 1

    def refund(self) -> None:
        if self._repeats_s:
            self._repeats_s.pop()
            self._tokens += 1

    def remaining(self) -> float:
        return min(self._tokens, WINDOW_SHARE * self._allowed() - len(self._repeats_s))

    def _allowed(self) -> float:
        return self._slack + self._bounds.retry_ratio * len(self.requests_s)


def cause_of_repeat(failure: Failure) -> RepeatCause:
    """Return why a request is repeated after a failed attempt."""
    return RepeatCause.REFUSED if failure.code is Code.BACKEND_REFUSED else RepeatCause.FAILED


__all__ = ["RepeatCause", "RetryBudget", "cause_of_repeat"]
