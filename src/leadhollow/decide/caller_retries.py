"""Whether a request is a later attempt of a caller that was refused before.

Nothing says so, but a later attempt has less time left than its caller usually gives: what was
refused a moment ago comes back with its time less what has passed. Callers of one route may have
several deadlines of their own, none of which need be the route's timeout, so the usual ones are
learnt from what comes: first attempts repeat the same few values, later ones are spread over
seconds.
"""

from __future__ import annotations

from collections import Counter, deque

BUCKET_MS = (
    25.0  # times that differ by less count as the same; later attempts differ by 600 and more
)
KEPT = 128  # requests of a route that are remembered; half a minute of an entry's
USUAL_SHARE = 0.1  # of the remembered ones that a value needs to be a usual one
KNOWN_SHARE = 0.4
"""Part of the remembered ones that usual values make up together where callers have usual deadlines
at all; after an outage up to half of what comes are later attempts."""

FEWEST = 16  # remembered requests from which their deadlines say anything


class CallerRetryDetector:
    """Deadlines that callers of each route gave lately."""

    __slots__ = ("_counts", "_recent")

    def __init__(self) -> None:
        self._recent: dict[str, deque[int]] = {}
        self._counts: dict[str, Counter[int]] = {}

    def is_retry(self, route: str, *, deadline_ms: float, timeout_ms: float) -> bool:
        """Take the deadline of a request, and tell whether it is a later attempt.

        Parameters
        ----------
        timeout_ms
            Of the route; while little has come it stands for what callers usually give.
        """
        bucket = round(deadline_ms / BUCKET_MS)
        counts = self._note(route, bucket)
        total = len(self._recent[route])
        if total < FEWEST:
            return deadline_ms < timeout_ms - BUCKET_MS
        usual = {found for found, count in counts.items() if count >= USUAL_SHARE * total}
        if sum(counts[found] for found in usual) < KNOWN_SHARE * total:
            return False  # every caller has another deadline: nobody can be told from the others
        near = usual & {bucket - 1, bucket, bucket + 1}
        return not near and bucket < max(usual)

    def _note(self, route: str, bucket: int) -> Counter[int]:
        recent = self._recent.setdefault(route, deque())
        counts = self._counts.setdefault(route, Counter())
        recent.append(bucket)
        counts[bucket] += 1
        if len(recent) > KEPT:
            oldest = recent.popleft()
            counts[oldest] -= 1
            if not counts[oldest]:
                del counts[oldest]
        return counts


__all__ = ["BUCKET_MS", "FEWEST", "KEPT", "UsualDeadlines"]
