"""Interval of engines' load reports, which bounds the total cost of a failure domain's reports.

Urgent changes are sent at once: changed weights, an engine that is about to change them, its speed,
a slow path to it. Entries report the requests that they placed. A load report only adds the
requests that no entry reported.
"""

from __future__ import annotations

MIN_REPORT_INTERVAL_S = 0.5
MAX_REPORTS_PER_S = 40.0  # of all engines together; a report costs an entry about 45 bytes
VALID_INTERVALS = 3  # a report that is older than this many intervals is outdated


def report_interval_s(engines: int) -> float:
    """Return the interval between two reports of an engine whose state does not change.

    Parameters
    ----------
    engines
        Number of engines whose reports share the limit.
    """
    return max(MIN_REPORT_INTERVAL_S, engines / MAX_REPORTS_PER_S)


__all__ = ["MIN_REPORT_INTERVAL_S", "VALID_INTERVALS", "report_interval_s"]
