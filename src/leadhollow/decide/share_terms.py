"""What shares of a limit are planned by: demand of entries, terms of a limit, and the plan."""

from __future__ import annotations

from collections.abc import Mapping

from leadhollow.decide.send_limiter import PROBE_RATE_PER_S, UNLEASED_SHARE


class EntryDemand:
    """Request rates of one entry, as it last reported them.

    Parameters
    ----------
    per_s
        Requests per second for each service that has a server with a limit.
    """

    __slots__ = ("failure_domain", "heard_s", "per_s", "vm")

    def __init__(
        self, *, vm: str, failure_domain: str, per_s: Mapping[str, float], heard_s: float
    ) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.per_s = dict(per_s)
        self.heard_s = heard_s


class LimitedServer:
    """A server whose limit is shared among entries.

    Parameters
    ----------
    per_s
        Limit in requests per second.
    unleased_share
        Share of the limit that entries without a lease divide evenly.
    max_holders
        Number of entries that may hold shares, then equal ones, even if their demand does not cover
        the limit. Otherwise many entries could spend saved tokens at once. None if any number may.
    """

    __slots__ = ("failure_domain", "life", "max_holders", "per_s", "service", "unleased_share")

    def __init__(
        self,
        *,
        life: str,
        service: str,
        failure_domain: str,
        per_s: float,
        unleased_share: float = UNLEASED_SHARE,
        max_holders: int | None = None,
    ) -> None:
        self.unleased_share = unleased_share
        self.max_holders = max_holders
        self.life = life
        self.service = service
        self.failure_domain = failure_domain
        self.per_s = max(per_s, PROBE_RATE_PER_S)

    def terms(self) -> tuple[float, float, int | None]:
        """Return what a plan for the server depends on."""
        return self.per_s, self.unleased_share, self.max_holders


class SharePlan:
    """Planned shares of the limit of one server, by entry.

    Parameters
    ----------
    entries
        Number of entries that were asking when the plan was made.
    """

    __slots__ = ("entries", "per_s", "service", "shares")

    def __init__(
        self, *, service: str, per_s: float, shares: dict[str, float], entries: int
    ) -> None:
        self.entries = entries
        self.service = service
        self.per_s = per_s
        self.shares = shares


__all__ = ["EntryDemand", "LimitedServer", "SharePlan"]
