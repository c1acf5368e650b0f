"""Finds the requests that make servers end, from which requests ran at each end."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator

from leadhollow.decide.server_ends import ServerEnd

ENDS_TO_QUARANTINE = 3
"""Number of servers that must have ended while they ran a request that has succeeded nowhere. Two
can be a coincidence: of 4,767 requests of a day with faults 14 were interrupted twice, none three
times."""

SETTLE_S = 0.06
"""Time before an end is evaluated, in which all entries that had requests there report them. A
message between regions, two connection attempts and the batching of updates take half of it."""

COMMON_CAUSE_WINDOW_S = 0.05
COMMON_CAUSE_ENDS = 3
"""Number of other servers that must end within that time, without having run the request, for their
ends to have a common cause such as the loss of a failure domain. They then count as one end."""

UNEXPLAINED_WINDOW_S = 10.0
UNEXPLAINED_ENDS = 8
"""Number of unexplained ends within that time from which one more end is required, since it becomes
likely that a request was present at three ends by coincidence."""

TIED_ENDS = 5
"""Number of ends from which requests that were always present together are all put in quarantine.
With fewer, the next end is awaited: a request that was present by coincidence will be absent."""


class _Case:
    """Evidence against one request.

    Parameters
    ----------
    counted
        Number of ends that count against the request.
    isolation
        How few other requests were present. Each end weighs less, the more there were.
    """

    __slots__ = ("counted", "ends", "isolation", "lives", "request")

    def __init__(
        self, *, request: bytes, ends: list[ServerEnd], counted: int, isolation: float
    ) -> None:
        self.request = request
        self.ends = ends
        self.lives = {end.life for end in ends}
        self.counted = counted
        self.isolation = isolation

    @property
    def strength(self) -> tuple[int, float]:
        """Sort key by which the stronger of two cases is greater."""
        return self.counted, self.isolation

    def tied_with(self, other: _Case) -> bool:
        """Tell whether the evidence does not distinguish two requests."""
        return self.strength == other.strength and not self.lives.isdisjoint(other.lives)


def find_culprits(
    ends: Collection[ServerEnd], *, is_quarantined: Callable[[bytes], bool], now_s: float
) -> list[tuple[bytes, list[ServerEnd]]]:
    """Find the request that explains most ends, or several if the evidence is the same for them.

    Parameters
    ----------
    ends
        All known ends.
    is_quarantined
        Tells whether a request is in quarantine. Ends at which such a request was present are
        explained by it.
    now_s
        Time by the clock that the times of the ends refer to.

    Returns
    -------
    list
        Requests to put in quarantine, each with the ends that count against it.
    """
    open_ends = [
        end for end in ends if not end.alive and not any(map(is_quarantined, end.suspects))
    ]
    cases = sorted(_cases(open_ends, now_s), key=lambda case: (case.strength, case.request))
    for case in reversed(cases):
        tied = [other for other in cases if case is other or case.tied_with(other)]
        if len(tied) == 1 or case.counted >= TIED_ENDS:
            return [(found.request, found.ends) for found in tied]
    return []


def _cases(open_ends: list[ServerEnd], now_s: float) -> Iterator[_Case]:
    by_request: dict[bytes, list[ServerEnd]] = {}
    for end in open_ends:
        if now_s - end.happened_s >= SETTLE_S:
            for request in end.suspects:
                by_request.setdefault(request, []).append(end)
    for request, found in by_request.items():
        if len(found) < ENDS_TO_QUARANTINE:
            continue
        lives = {end.life for end in found}
        others_s = [end.happened_s for end in open_ends if end.life not in lives]
        common = sum(1 for end in found if _has_common_cause(end, others_s))
        counted = len(found) - common + min(1, common)
        if counted >= _required_ends(others_s, now_s):
            isolation = round(sum(1 / len(end.suspects) for end in found), 6)
            yield _Case(request=request, ends=found, counted=counted, isolation=isolation)


def _required_ends(others_s: list[float], now_s: float) -> int:
    """Return the number of ends that it takes, given the times of other unexplained ends."""
    recent = sum(1 for other_s in others_s if now_s - other_s < UNEXPLAINED_WINDOW_S)
    return ENDS_TO_QUARANTINE + (1 if recent >= UNEXPLAINED_ENDS else 0)


def _has_common_cause(end: ServerEnd, others_s: list[float]) -> bool:
    """Tell whether so many others ended at the same time that one cause must have ended them."""
    near = [
        other_s for other_s in others_s if abs(other_s - end.happened_s) <= COMMON_CAUSE_WINDOW_S
    ]
    return len(near) >= COMMON_CAUSE_ENDS


__all__ = [
    "COMMON_CAUSE_ENDS",
    "COMMON_CAUSE_WINDOW_S",
    "ENDS_TO_QUARANTINE",
    "SETTLE_S",
    "TIED_ENDS",
    "UNEXPLAINED_ENDS",
    "find_culprits",
]
