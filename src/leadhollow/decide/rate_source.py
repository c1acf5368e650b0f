"""Sources of rate limits of backend servers, and the strictest limit of several sources."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from leadhollow.decide.send_limiter import UNLEASED_SHARE, UNLEASED_TOKEN_VALID_S


class RateLimit:
    """Rate limit of one life of a server, for all entries together.

    Parameters
    ----------
    per_s
        Limit in requests per second.
    unleased_share
        Share of the limit that entries without a lease divide evenly.
    token_valid_s
        Time after which an unused token of the unleased share expires.
    max_holders
        Number of entries that may hold leases, even if their demand does not cover the limit. Each
        may have saved up a token. None if it does not matter.
    source
        Name of the source, for operators.
    """

    __slots__ = ("max_holders", "per_s", "source", "token_valid_s", "unleased_share")

    def __init__(
        self,
        *,
        per_s: float,
        unleased_share: float = UNLEASED_SHARE,
        token_valid_s: float = UNLEASED_TOKEN_VALID_S,
        max_holders: int | None = None,
        source: str = "response",
    ) -> None:
        self.per_s = per_s
        self.unleased_share = unleased_share
        self.token_valid_s = token_valid_s
        self.max_holders = max_holders
        self.source = source


class RateSource(Protocol):
    """Knows rate limits of servers from one kind of statement."""

    def rate_limit(self, life: str) -> RateLimit | None:
        """Return the limit in force for a life, or None."""
        ...

    def limited_lives(self) -> Iterable[str]:
        """Return the lives that have a limit in force."""
        ...


class StrictestRate:
    """Combines sources: the lowest limit applies, and so does the lowest unleased rate.

    Parameters
    ----------
    sources
        Sources that apply together.
    """

    __slots__ = ("_sources",)

    def __init__(self, sources: Sequence[RateSource]) -> None:
        self._sources = tuple(sources)

    def rate_limit(self, life: str) -> RateLimit | None:
        """Return the limit in force for a life, or None."""
        strictest: RateLimit | None = None
        for source in self._sources:
            found = source.rate_limit(life)
            if found is not None:
                strictest = found if strictest is None else _stricter(strictest, found)
        return strictest

    def limited_lives(self) -> set[str]:
        """Return the lives that have a limit in force."""
        lives: set[str] = set()
        for source in self._sources:
            lives.update(source.limited_lives())
        return lives


def _stricter(first: RateLimit, second: RateLimit) -> RateLimit:
    lower, other = (first, second) if first.per_s <= second.per_s else (second, first)
    holders = [each.max_holders for each in (first, second) if each.max_holders is not None]
    unleased_per_s = min(lower.unleased_share * lower.per_s, other.unleased_share * other.per_s)
    return RateLimit(
        per_s=lower.per_s,
        unleased_share=unleased_per_s / lower.per_s if lower.per_s > 0 else lower.unleased_share,
        token_valid_s=min(lower.token_valid_s, other.token_valid_s),
        max_holders=min(holders, default=None),
        source=lower.source,
    )


__all__ = ["RateLimit", "RateSource", "StrictestRate"]
