"""Limits retries to a ratio of the requests, so that retries cannot multiply the load."""

from __future__ import annotations

INITIAL_TOKENS = 10.0
MAX_TOKENS = 1_000.0


class RetryBudget:
    """Token bucket of retries: a request adds ``ratio`` tokens, a retry takes one.

    Parameters
    ----------
    ratio
        Retries allowed per request, on average.
    """

    __slots__ = ("_ratio", "_tokens")

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = INITIAL_TOKENS

    def deposit(self) -> None:
        """Add the tokens for one request."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def try_withdraw(self) -> bool:
        """Take one token; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


__all__ = ["RetryBudget"]
