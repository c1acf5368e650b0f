"""Recognises requests of callers that were refused before and try again.

No header says so, but a retry has less time left than its caller usually gives: the deadline of the
first request minus the time that has passed. The callers of one route may use several deadlines,
none of which has to equal the timeout of the route. The usual deadlines are therefore learnt from
the traffic: first requests repeat a few values, retries are spread over seconds.
"""

from __future__ import annotations

from collections import Counter, deque

BUCKET_MS = 25.0  # deadlines within one bucket count as equal; retries differ by 600 ms and more
MAX_REMEMBERED = 128  # requests kept per route; one entry gets as many in half a minute
USUAL_SHARE = 0.1  # of the remembered requests; a deadline that is this frequent is a usual one
KNOWN_SHARE = 0.4
"""Minimum share of the remembered requests that have a usual deadline. Below it, the callers of the
route have no usual deadlines. After an outage up to half of all requests are retries."""

MIN_REMEMBERED = 16  # requests of a route before its usual deadlines are known


class CallerRetryDetector:
    """Recent deadlines of the callers of each route."""

    __slots__ = ("_counts", "_recent")

    def __init__(self) -> None:
        self._recent: dict[str, deque[int]] = {}
        self._counts: dict[str, Counter[int]] = {}

    def is_retry(self, route: str, *, deadline_ms: float, timeout_ms: float) -> bool:
        """Record the deadline of a request and tell whether the request is a retry.

        Parameters
        ----------
        timeout_ms
            Timeout of the route. It stands in for the usual deadline until enough requests of the
            route have been seen.
        """
        bucket = round(deadline_ms / BUCKET_MS)
        counts = self._record(route, bucket)
        total = len(self._recent[route])
        if total < MIN_REMEMBERED:
            return deadline_ms < timeout_ms - BUCKET_MS
        usual = {found for found, count in counts.items() if count >= USUAL_SHARE * total}
        if sum(counts[found] for found in usual) < KNOWN_SHARE * total:
            return False  # callers have no usual deadlines, so retries cannot be told apart
        near = usual & {bucket - 1, bucket, bucket + 1}
        return not near and bucket < max(usual)

    def _record(self, route: str, bucket: int) -> Counter[int]:
        recent = self._recent.setdefault(route, deque())
        counts = self._counts.setdefault(route, Counter())
        recent.append(bucket)
        counts[bucket] += 1
        if len(recent) > MAX_REMEMBERED:
            oldest = recent.popleft()
            counts[oldest] -= 1
            if not counts[oldest]:
                del counts[oldest]
        return counts


__all__ = ["BUCKET_MS", "MAX_REMEMBERED", "MIN_REMEMBERED", "CallerRetryDetector"]
