"""Which requests are the cause of servers' ends, by who was there each time."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator

from leadhollow.decide.server_ends import ServerEnd

ENDS_TO_QUARANTINE = 3
"""Ends of servers under a request that has ended well nowhere. Two are a matter of chance: of 4,767
requests of a day with trouble 14 were broken off twice, none three times."""

SETTLE_S = 0.06
"""Until an end is judged: all entries that had requests there tell so first. A way between regions,
two tries to connect and the gathering of news take half of it."""

MASS_S = 0.05
MASS_ENDS = 3
"""Ends have a cause in common, such as the loss of a failure domain, where as many other servers,
which did not run the request, ended within that time: they count as one end together."""

CHANCE_S = 10.0
CHANCE_ENDS = 8
"""Ends that nothing explains, so many within that time: then one more end is asked for, since being
there three times becomes a matter of chance."""

TIED_ENDS = 5
"""Ends from which requests that were always there together are all in quarantine. With fewer, the
next end is waited for: who rides along by chance is not there again."""


class _Case:
    """What speaks against one request.

    Parameters
    ----------
    counted
        Ends that speak against it.
    alone
        How few others were there: each end counts the less the more there were.
    """

    __slots__ = ("alone", "counted", "ends", "lives", "request")

    def __init__(
        self, *, request: bytes, ends: list[ServerEnd], counted: int, alone: float
    ) -> None:
        self.request = request
        self.ends = ends
        self.lives = {end.life for end in ends}
        self.counted = counted
        self.alone = alone

    @property
    def strength(self) -> tuple[int, float]:
        """Which of two cases is the stronger one."""
        return self.counted, self.alone

    def tied_with(self, other: _Case) -> bool:
        """Tell whether nothing says which of two requests it was."""
        return self.strength == other.strength and not self.lives.isdisjoint(other.lives)


def find_cause(
    ends: Collection[ServerEnd], *, holds: Callable[[bytes], bool], now_s: float
) -> list[tuple[bytes, list[ServerEnd]]]:
    """Find the request that explains most ends; several where nothing tells them apart.

    Parameters
    ----------
    ends
        All that are known.
    holds
        Tells whether a request is in quarantine; it explains the ends that it was there at.
    now_s
        Time by the clock by which ends happened.

    Returns
    -------
    list
        Requests to put in quarantine, each with the ends that speak against it.
    """
    open_ends = [end for end in ends if not end.alive and not any(map(holds, end.suspects))]
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
        common = sum(1 for end in found if _has_a_common_cause(end, others_s))
        counted = len(found) - common + min(1, common)
        if counted >= _needed(others_s, now_s):
            alone = round(sum(1 / len(end.suspects) for end in found), 6)
            yield _Case(request=request, ends=found, counted=counted, alone=alone)


def _needed(others_s: list[float], now_s: float) -> int:
    """Give how many ends it takes while so many others have no known cause."""
    lately = sum(1 for other_s in others_s if now_s - other_s < CHANCE_S)
    return ENDS_TO_QUARANTINE + (1 if lately >= CHANCE_ENDS else 0)


def _has_a_common_cause(end: ServerEnd, others_s: list[float]) -> bool:
    """Tell whether so many others ended in the same moment that one thing ended all of them."""
    near = [other_s for other_s in others_s if abs(other_s - end.happened_s) <= MASS_S]
    return len(near) >= MASS_ENDS


__all__ = [
    "CHANCE_ENDS",
    "ENDS_TO_QUARANTINE",
    "MASS_ENDS",
    "MASS_S",
    "SETTLE_S",
    "TIED_ENDS",
    "find_cause",
]
