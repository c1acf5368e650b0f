"""Patterns, methods and result figures of the simulation of server rate limits."""

from __future__ import annotations

from enum import Enum

import msgspec


class LimitMethod(Enum):
    """How entries apply the rate limit of a server."""

    NONE = "not at all"
    ALONE = "each the whole limit"
    EVEN = "an even part each"
    LEASED = "leased shares"


class LimitPattern(msgspec.Struct, frozen=True, kw_only=True):
    """A load pattern with servers that limit their request rate, and faults.

    Parameters
    ----------
    limited
        Number of servers that have a limit, from ``named_s`` to ``lifted_s``.
    uneven
        Request rate of a busy entry as a multiple of that of another one; every fifth one is busy.
    lost
        Number of entries that end and are replaced by new ones, one per second.
    cut
        Share of the entries that are disconnected from control from ``fault_s`` to ``healed_s``.
    leader_away
        Whether there is no leader during that time.
    """

    entries: int = 39
    domains: int = 3
    servers: int = 39
    limited: int = 1
    limit_per_s: float = 1.3
    rate_per_s: float = 500.0
    uneven: float = 4.0
    lost: int = 0
    cut: float = 0.0
    leader_away: bool = False
    named_s: float = 2.0
    lifted_s: float = 14.0
    fault_s: float = 5.0
    healed_s: float = 9.0
    length_s: float = 18.0


PATTERNS = {
    "one": LimitPattern(),
    "one, few entries": LimitPattern(entries=3, servers=6, rate_per_s=80.0),
    "one, many entries": LimitPattern(entries=98, domains=5, servers=102, rate_per_s=1_200.0),
    "low": LimitPattern(limit_per_s=0.2),
    "high": LimitPattern(limit_per_s=50.0, rate_per_s=1_200.0),
    "ten": LimitPattern(limited=10, limit_per_s=5.0),
    "all": LimitPattern(limited=39, limit_per_s=5.0),
    "entries come and go": LimitPattern(lost=8, limit_per_s=5.0),
    "half cut off": LimitPattern(cut=0.5, limit_per_s=5.0),
    "no leader": LimitPattern(leader_away=True, limit_per_s=5.0),
}


class LimitFigures(msgspec.Struct, kw_only=True):
    """Results of one run.

    Parameters
    ----------
    over_aim
        Most arrivals at one server in any window in excess of its limit plus two requests.
    over_rule
        Most arrivals in 4 s in excess of one and a half times the limit plus five requests.
    used
        Share of the limits that was used while they applied.
    refused
        Number of requests for which no server had capacity.
    full_again_s
        Time from the end of the limit until all entries know of it.
    """

    over_aim: float = 0.0
    over_rule: float = 0.0
    used: float = 0.0
    refused: int = 0
    full_again_s: float = 0.0
    requests: int = 0


__all__ = ["PATTERNS", "LimitFigures", "LimitMethod", "LimitPattern"]
