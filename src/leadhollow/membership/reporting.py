"""How often engines' loads are reported, so that the cost of a domain's reports stays bounded.

What matters at once travels at once: weights that change, an engine that is about to change them,
its pace, a slow path to it. Requests that come and go are told by the entries that placed them; the
report only shows those that nobody told of.
"""

from __future__ import annotations

MIN_REPORT_INTERVAL_S = 0.5
MAX_REPORTS_PER_S = 40.0  # of all engines together; each takes an entry about 45 bytes
VALID_INTERVALS = 3  # an engine whose report is older was not heard of lately


def report_interval_s(engines: int) -> float:
    """Give the time between two reports of an engine whose standing stays as it is.

    Parameters
    ----------
    engines
        Engines whose reports travel together.
    """
    return max(MIN_REPORT_INTERVAL_S, engines / MAX_REPORTS_PER_S)


__all__ = ["SHORTEST_INTERVAL_S", "VALID_INTERVALS", "report_interval_s"]
