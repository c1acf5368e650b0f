"""Finds what makes servers end, from what ran at each end.

A suspect is a whole request, or a part that the prompts of several requests share. Both are judged
by the same evidence. A part is a better explanation than each of the requests that have it, as it
was present at all of their ends. Where it was present only at the ends of one request, that request
alone is put in quarantine, which affects nobody else.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator

from leadhollow.decide.fingerprints import FingerprintKind, kind_of
from leadhollow.decide.server_ends import ServerEnd

ENDS_TO_QUARANTINE = 3
"""Number of servers that must have ended while they ran a suspect that has succeeded nowhere. Two
can be a coincidence: of 4,767 requests of a day with faults 14 were interrupted twice, none three
times."""

SETTLE_S = 0.06
"""Time before an end is evaluated, in which all entries that had requests there report them. A
message between regions, two connection attempts and the batching of updates take half of it."""

VERDICT_DELAY_S = 0.13
"""Time from a server end to the verdict at an entry: 40 ms until all entries know of the end, 65 ms
until a replica decides, and the time to relay the verdict."""

COMMON_CAUSE_WINDOW_S = 0.05
COMMON_CAUSE_ENDS = 3
"""Number of other servers that must end within that time, without having run the suspect, for their
ends to have a common cause such as the loss of a failure domain. They then count as one end."""

UNEXPLAINED_WINDOW_S = 10.0
UNEXPLAINED_ENDS = 8
"""Number of unexplained ends within that time from which one more end is required, since it becomes
likely that a suspect was present at three ends by coincidence."""

TIED_ENDS = 5
"""Number of ends from which suspects that were always present together are all put in quarantine.
With fewer, the next end is awaited: a suspect that was present by coincidence will be absent."""

OPEN_ENDS_AMONG_OTHERS = 2
"""Number of ends besides those of a quarantined request that it takes against a part of its prompt,
while servers end for other reasons too."""


class _Case:
    """Evidence against one suspect.

    Parameters
    ----------
    counted
        Number of ends that count against the suspect.
    isolation
        How few other suspects were present. Each end weighs less, the more there were.
    """

    __slots__ = ("counted", "ends", "fingerprint", "isolation", "lives")

    def __init__(
        self, *, fingerprint: bytes, ends: list[ServerEnd], counted: int, isolation: float
    ) -> None:
        self.fingerprint = fingerprint
        self.ends = ends
        self.lives = {end.life for end in ends}
        self.counted = counted
        self.isolation = isolation

    @property
    def strength(self) -> tuple[int, float]:
        """Sort key by which the stronger of two cases is greater."""
        return self.counted, self.isolation

    @property
    def is_request(self) -> bool:
        """Whether the suspect is a whole request."""
        return kind_of(self.fingerprint) is FingerprintKind.REQUEST

    def tied_with(self, other: _Case) -> bool:
        """Tell whether the evidence does not distinguish two suspects.

        How many others were present decides between requests only: a part is refused to all that
        have it, so only the number of ends may speak against it.
        """
        if self.lives.isdisjoint(other.lives):
            return False
        if self.is_request and other.is_request:
            return self.strength == other.strength
        return self.counted == other.counted


def find_culprits(
    ends: Collection[ServerEnd], *, is_quarantined: Callable[[bytes], bool], now_s: float
) -> list[tuple[bytes, list[ServerEnd]]]:
    """Find the suspect that explains most ends, or several if the evidence is the same for them.

    Parameters
    ----------
    ends
        All known ends.
    is_quarantined
        Tells whether a suspect is in quarantine. Ends at which such a suspect was present are
        explained by it.
    now_s
        Time by the clock that the times of the ends refer to.

    Returns
    -------
    list
        Fingerprints to put in quarantine, each with the ends that count against it.
    """
    evidence = _Evidence(ends=ends, is_quarantined=is_quarantined, now_s=now_s)
    cases = sorted(evidence.cases(), key=lambda case: (case.strength, case.fingerprint))
    for case in reversed(cases):
        tied = [other for other in cases if case is other or case.tied_with(other)]
        requests = [other for other in tied if other.is_request]
        chosen = requests or tied
        if len(chosen) == 1 or case.counted >= TIED_ENDS:
            return [(found.fingerprint, found.ends) for found in chosen]
    return []


class _Evidence:
    """Ends by the suspects that were present, without the ends that are explained.

    Parameters
    ----------
    ends, is_quarantined, now_s
        As of `find_culprits`.
    """

    __slots__ = ("_now_s", "_open_ends", "_request_ends")

    def __init__(
        self, *, ends: Collection[ServerEnd], is_quarantined: Callable[[bytes], bool], now_s: float
    ) -> None:
        self._now_s = now_s
        self._open_ends: list[ServerEnd] = []
        self._request_ends: list[ServerEnd] = []  # explained by a request, but not by a part
        for end in ends:
            kinds = {kind_of(suspect) for suspect in end.suspects if is_quarantined(suspect)}
            if end.alive or FingerprintKind.PART in kinds:
                continue
            (self._request_ends if kinds else self._open_ends).append(end)

    def cases(self) -> Iterator[_Case]:
        """Return the cases that are strong enough for quarantine."""
        for fingerprint, found in self._ends_by_suspect().items():
            if len(found) < ENDS_TO_QUARANTINE:
                continue
            lives = {end.life for end in found}
            others_s = [end.happened_s for end in self._open_ends if end.life not in lives]
            common = sum(1 for end in found if _has_common_cause(end, others_s))
            counted = len(found) - common + min(1, common)
            if counted < _required_ends(others_s, self._now_s):
                continue
            explained = sum(1 for end in self._request_ends if end.life in lives)
            if explained and len(found) - explained < _required_open_ends(others_s, self._now_s):
                continue
            isolation = round(sum(1 / len(end.suspects) for end in found), 6)
            yield _Case(fingerprint=fingerprint, ends=found, counted=counted, isolation=isolation)

    def _ends_by_suspect(self) -> dict[bytes, list[ServerEnd]]:
        """Return the ends that count against each suspect.

        A request in quarantine explains its ends to all other requests, but not to parts: a part
        that was present there and at other ends is the better explanation of both.
        """
        found: dict[bytes, list[ServerEnd]] = {}
        for end in self._open_ends:
            if self._now_s - end.happened_s >= SETTLE_S:
                for suspect in end.suspects:
                    found.setdefault(suspect, []).append(end)
        for end in self._request_ends:
            for suspect in end.suspects:
                if kind_of(suspect) is FingerprintKind.PART and suspect in found:
                    found[suspect].append(end)
        return found


def _required_ends(others_s: list[float], now_s: float) -> int:
    """Return the number of ends that it takes, given the times of other unexplained ends."""
    recent = sum(1 for other_s in others_s if now_s - other_s < UNEXPLAINED_WINDOW_S)
    return ENDS_TO_QUARANTINE + (1 if recent >= UNEXPLAINED_ENDS else 0)


def _required_open_ends(others_s: list[float], now_s: float) -> int:
    """Return how many ends besides those of a quarantined request it takes against a part.

    One may be a coincidence if servers end for other reasons as well.
    """
    recent = any(now_s - other_s < UNEXPLAINED_WINDOW_S for other_s in others_s)
    return OPEN_ENDS_AMONG_OTHERS if recent else 1


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
    "OPEN_ENDS_AMONG_OTHERS",
    "SETTLE_S",
    "TIED_ENDS",
    "UNEXPLAINED_ENDS",
    "VERDICT_DELAY_S",
    "find_culprits",
]
