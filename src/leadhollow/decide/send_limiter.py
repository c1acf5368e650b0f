"""How many requests this entry may send to a backend server that limits what it takes."""

from __future__ import annotations

import random
from collections.abc import Callable

LEASED_SHARE = 0.95  # of a limit, which control leases to the entries that need it
UNLEASED_SHARE = 0.3
"""Of a limit, which entries without a lease share evenly, so that a server stays in use while
control is away. Where only some entries are out of touch, the leader leases as much less as they
may use."""

TRIAL_PER_S = 0.1
"""Least rate that a limit stands for: a server that gets no request cannot say that its limit is
over."""

SPARE_TOKEN_VALID_S = 1.0
"""A token of the spare part that is not used in this time is void, so that entries which had
nothing to send do not all spend saved tokens at once."""


class SendLimiter:
    """Token bucket of one entry for one server.

    Parameters
    ----------
    per_s
        The server's limit for all entries together.
    entries
        Gives the number of live entries.
    clock
        Gives the time, suspensions included.

    Attributes
    ----------
    withheld
        Times that a request found no token.
    """

    __slots__ = (
        "_clock",
        "_entries",
        "_leased_until_s",
        "_random",
        "_refilled_s",
        "_share",
        "_spare",
        "_tokens",
        "per_s",
        "withheld",
    )

    def __init__(
        self,
        *,
        per_s: float,
        entries: Callable[[], int],
        clock: Callable[[], float],
        source: random.Random,
    ) -> None:
        self.per_s = per_s
        self._entries = entries
        self._clock = clock
        self._random = source
        self._share = 0.0
        self._leased_until_s = float("-inf")
        self._refilled_s = clock()
        self._tokens = source.random()
        self._spare = True  # whether the tokens are of the spare part
        self.withheld = 0

    def set_limit(self, per_s: float) -> None:
        """Take another limit; what was saved up under the old one stays bounded by the new one."""
        self._refill()
        self.per_s = per_s
        self._tokens = min(self._tokens, self._capacity())

    def lease(self, share: float, *, until_s: float) -> None:
        """Take the share of the limit that control leases to this entry.

        Parameters
        ----------
        share
            Part of the limit; 0 where other entries hold all of it.
        until_s
            When the lease ends, by the clock with suspensions.
        """
        self._refill()
        if until_s <= self._clock() or until_s < self._leased_until_s:
            return
        if self._spare or not self._share or not share:
            self._tokens = 0.0
        self._spare = False
        self._share = share
        self._leased_until_s = until_s

    @property
    def leased(self) -> bool:
        """Whether a lease of control is in force, also one of nothing."""
        return self._clock() < self._leased_until_s

    def rate_per_s(self) -> float:
        """Give the requests a second that this entry may send now."""
        limit_per_s = max(self.per_s, TRIAL_PER_S)
        if self.leased:
            return self._share * limit_per_s
        return UNLEASED_SHARE * limit_per_s / max(1, self._entries())

    def admits(self) -> bool:
        """Tell whether a request may be sent now."""
        self._refill()
        return self._tokens >= 1.0

    def try_acquire(self) -> bool:
        """Take the right to send one request; False where there is none."""
        if not self.admits():
            self.withheld += 1
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return the right to a request that was not sent."""
        self._refill()
        self._tokens = min(self._tokens + 1.0, self._capacity())

    def _capacity(self) -> float:
        """Give how many tokens may be saved up: more, the fewer entries share the limit."""
        return 1.0 if self._spare else 1.0 + self._share

    def _refill(self) -> None:
        now_s = self._clock()
        if not self._spare and not self.leased:
            self._spare = True
            self._tokens = self._random.random()
            self._refilled_s = now_s
            return
        rate_per_s = self.rate_per_s()
        self._tokens += max(0.0, now_s - self._refilled_s) * rate_per_s
        self._refilled_s = now_s
        if not self._spare or rate_per_s >= 1.0:
            self._tokens = min(self._tokens, self._capacity())
        elif self._tokens >= 1.0 + SPARE_TOKEN_VALID_S * rate_per_s:
            self._tokens %= 1.0


__all__ = ["LEASED_PART", "SPARE_PART", "SendAllowance"]
