"""Limits the requests that this entry sends to a backend server with a rate limit."""

from __future__ import annotations

import random
from collections.abc import Callable

LEASED_SHARE = 0.95  # of a limit; control leases it to the entries that need it
UNLEASED_SHARE = 0.3
"""Share of a limit that entries without a lease divide evenly, so that a server stays in use while
control is unavailable. If only some entries are out of touch, the leader leases correspondingly
less."""

PROBE_RATE_PER_S = 0.1
"""Lower bound of the rate that a limit allows. A server that gets no requests could never state
that its limit is over."""

UNLEASED_TOKEN_VALID_S = 1.0
"""Time after which an unused token of the unleased share expires. Otherwise entries that had
nothing to send could all spend saved tokens at the same time."""


class SendLimiter:
    """Token bucket of one entry for one server.

    Parameters
    ----------
    per_s
        Limit of the server for all entries together, in requests per second.
    entries
        Returns the number of live entries.
    clock
        Returns the time including suspensions.
    unleased_share
        Share of the limit that entries without a lease divide evenly.
    token_valid_s
        Time after which an unused token of the unleased share expires.

    Attributes
    ----------
    admitted
        Number of tokens taken.
    withheld
        Number of times that a request found no token.
    """

    __slots__ = (
        "_clock",
        "_entries",
        "_leased_until_s",
        "_random",
        "_refilled_s",
        "_share",
        "_token_valid_s",
        "_tokens",
        "_unleased",
        "_unleased_share",
        "admitted",
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
        unleased_share: float = UNLEASED_SHARE,
        token_valid_s: float = UNLEASED_TOKEN_VALID_S,
    ) -> None:
        self.per_s = per_s
        self._unleased_share = unleased_share
        self._token_valid_s = token_valid_s
        self._entries = entries
        self._clock = clock
        self._random = source
        self._share = 0.0
        self._leased_until_s = float("-inf")
        self._refilled_s = clock()
        self._tokens = source.random()
        self._unleased = True  # whether the tokens belong to the unleased share
        self.admitted = 0
        self.withheld = 0

    def set_limit(
        self,
        per_s: float,
        *,
        unleased_share: float = UNLEASED_SHARE,
        token_valid_s: float = UNLEASED_TOKEN_VALID_S,
    ) -> None:
        """Change the limit. Tokens saved under the old limit are capped by the new one."""
        self._refill()
        self.per_s = per_s
        self._unleased_share = unleased_share
        self._token_valid_s = token_valid_s
        self._tokens = min(self._tokens, self._capacity())

    def lease(self, share: float, *, until_s: float) -> None:
        """Set the share of the limit that control leases to this entry.

        Parameters
        ----------
        share
            Share of the limit; 0 if other entries hold all of it.
        until_s
            End of the lease, by the clock that includes suspensions.
        """
        self._refill()
        if until_s <= self._clock() or until_s < self._leased_until_s:
            return
        if self._unleased or not self._share or not share:
            self._tokens = 0.0
        self._unleased = False
        self._share = share
        self._leased_until_s = until_s

    @property
    def leased(self) -> bool:
        """Whether a lease is in force, including one with a share of 0."""
        return self._clock() < self._leased_until_s

    def rate_per_s(self) -> float:
        """Return the rate in requests per second that this entry may send now."""
        limit_per_s = max(self.per_s, PROBE_RATE_PER_S)
        if self.leased:
            return self._share * limit_per_s
        return self._unleased_share * limit_per_s / max(1, self._entries())

    def admits(self) -> bool:
        """Tell whether a request may be sent now."""
        self._refill()
        return self._tokens >= 1.0

    def try_acquire(self) -> bool:
        """Take the token for one request; return False if there is none."""
        if not self.admits():
            self.withheld += 1
            return False
        self._tokens -= 1.0
        self.admitted += 1
        return True

    def refund(self) -> None:
        """Return the token of a request that was not sent."""
        self._refill()
        self.admitted -= 1
        self._tokens = min(self._tokens + 1.0, self._capacity())

    def _capacity(self) -> float:
        """Return the number of tokens that may be saved: more for a larger share of the limit."""
        return 1.0 if self._unleased else 1.0 + self._share

    def _refill(self) -> None:
        now_s = self._clock()
        if not self._unleased and not self.leased:
            self._unleased = True
            self._tokens = self._random.random()
            self._refilled_s = now_s
            return
        rate_per_s = self.rate_per_s()
        self._tokens += max(0.0, now_s - self._refilled_s) * rate_per_s
        self._refilled_s = now_s
        if not self._unleased or rate_per_s >= 1.0:
            self._tokens = min(self._tokens, self._capacity())
        elif self._tokens >= 1.0 + self._token_valid_s * rate_per_s:
            self._tokens %= 1.0


__all__ = ["LEASED_SHARE", "UNLEASED_SHARE", "SendLimiter"]
