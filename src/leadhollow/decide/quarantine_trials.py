"""Tries out whether a part of a prompt is in quarantine only because another part was.

Parts that were present at as many ends are put in quarantine together, though perhaps only one of
them makes servers end. A request that has just one of them may show which. If that is a popular
part, all requests of a group would be refused for good without such a trial; if it is the guilty
one, the trial ends a server. The entries together try about once in `TRIAL_INTERVAL_S`, each by
chance, and a part whose trial ended a server is not tried again.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from leadhollow.decide.fingerprints import FingerprintKind, kind_of
from leadhollow.decide.server_ends import Verdict
from leadhollow.decide.suspects import SuspectTable

TRIAL_INTERVAL_S = 5.0

MAX_COUNTED_PAUSE_S = 1.0
"""Longest time between two requests that counts towards a trial. After a longer pause, requests
that come to all entries at once would all be trials."""


class QuarantineTrials:
    """Decides which requests one entry sends despite the quarantine.

    Parameters
    ----------
    entries
        Returns the number of entries that decide in the same way.
    clock
        Returns the loop time.
    seed
        Seed of the random choice of trials.
    """

    __slots__ = ("_asked_s", "_clock", "_entries", "_random", "_table")

    def __init__(
        self,
        *,
        table: SuspectTable,
        entries: Callable[[], int],
        clock: Callable[[], float],
        seed: int,
    ) -> None:
        self._table = table
        self._entries = entries
        self._clock = clock
        self._random = random.Random(seed)
        self._asked_s: dict[bytes, float] = {}  # when each doubtful part was asked for last

    def may_send(self, held: Sequence[bytes]) -> bool:
        """Return whether a request in quarantine may be sent as a trial.

        Parameters
        ----------
        held
            Fingerprints that are in quarantine, of the request and of its prompt's parts.
        """
        if len(held) != 1 or not self._is_doubtful(held[0]):
            return False
        now_s = self._clock()
        if held[0] not in self._asked_s:
            self._forget_released()
        since_s = min(now_s - self._asked_s.get(held[0], now_s), MAX_COUNTED_PAUSE_S)
        self._asked_s[held[0]] = now_s
        expected = since_s / (TRIAL_INTERVAL_S * max(1, self._entries()))
        return self._random.random() < -math.expm1(-expected)

    def _forget_released(self) -> None:
        for part in [part for part in self._asked_s if not self._table.is_quarantined(part)]:
            del self._asked_s[part]

    def _is_doubtful(self, fingerprint: bytes) -> bool:
        """Return whether a part was put in quarantine with others, and no trial ended a server."""
        verdict = self._table.verdict(fingerprint)
        if verdict is None or kind_of(fingerprint) is not FingerprintKind.PART:
            return False
        lives = set(verdict.lives)
        partners = {
            other.fingerprint
            for other in self._table.verdicts()
            if not other.released
            and not lives.isdisjoint(other.lives)
            and other.fingerprint != fingerprint
            and kind_of(other.fingerprint) is FingerprintKind.PART
        }
        return bool(partners) and not self._ended_alone(verdict, partners)

    def _ended_alone(self, verdict: Verdict, partners: set[bytes]) -> bool:
        """Return whether a server ended since the verdict under the part without its partners."""
        return any(
            end.happened_s > verdict.since_s
            and verdict.fingerprint in end.suspects
            and partners.isdisjoint(end.ran)
            for end in self._table.ends()
        )


__all__ = ["TRIAL_INTERVAL_S", "QuarantineTrials"]
