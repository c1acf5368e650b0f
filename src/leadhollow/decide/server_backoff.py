"""The rest that a backend server asks of this VM, and the way back to full use."""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable

LONGEST_TOLD_S = 5.0
"""Time for which news count that a server wants rest of another entry: it may have meant that one
alone, or for longer than it needs."""

SPREAD_S = 0.5
"""Time after the end of a rest within which entries come back, each at a moment of its own: one
server may have asked all of them at once."""


class ServerBackoff:
    """Time in which a server gets no requests; afterwards it gets one until that is answered.

    Parameters
    ----------
    clock
        Gives the time, suspensions included.
    source
        Of the random part by which entries differ.

    Attributes
    ----------
    until_s
        End of the rest as it was asked for.
    told_until_s
        End of a rest that the server asked of another entry; this one prefers other servers until
        then, and finds out with one request where these have no room.
    resumes_s
        When this entry tries again, not before that end.
    """

    __slots__ = ("_clock", "_source", "_trial", "resumes_s", "peer_until_s", "until_s")

    def __init__(self, *, clock: Callable[[], float], source: random.Random) -> None:
        self._clock = clock
        self._source = source
        self._trial: Hashable | None = None
        self.until_s = float("-inf")
        self.resumes_s = float("-inf")
        self.peer_until_s = float("-inf")

    def extend(self, rest_s: float) -> bool:
        """Take an answer that asks for rest from now on; True where the rest gets longer by it.

        Answers overtake each other, so one that ends sooner changes nothing.
        """
        until_s = self._clock() + rest_s
        if rest_s <= 0 or until_s <= self.until_s:
            return False
        self.until_s = until_s
        self.resumes_s = until_s + self._source.uniform(0, min(SPREAD_S, rest_s))
        return True

    def record_peer_backoff(self, rest_s: float) -> None:
        """Take news that the server asked another entry for rest from now on."""
        told_until_s = self._clock() + min(rest_s, LONGEST_TOLD_S)
        self.peer_until_s = max(self.peer_until_s, told_until_s)

    @property
    def deprioritised(self) -> bool:
        """Whether other servers are preferred, as another entry was asked for rest."""
        return self._clock() < self.peer_until_s

    @property
    def expired(self) -> bool:
        """Whether the rest is over, so that a request may find out."""
        return self._clock() >= self.resumes_s

    def remaining_s(self) -> float:
        """Give the time until this entry tries again."""
        return max(0.0, self.resumes_s - self._clock())

    def admits(self) -> bool:
        """Tell whether a request may go there to find out."""
        return self.expired and self._trial is None

    def claim_probe(self, request: Hashable) -> bool:
        """Let a request be the one that finds out, if there is no other."""
        if not self.expired:
            return False
        if self._trial is None:
            self._trial = request
        return self._trial == request

    def ended_by(self, request: Hashable) -> bool:
        """Tell whether an answer that asks for no rest ends this one.

        That of a request which was sent before the server asked says nothing.
        """
        return self.expired and self._trial == request

    def release_probe(self, request: Hashable) -> None:
        """Note that a request has ended; another one may find out."""
        if self._trial == request:
            self._trial = None


__all__ = ["LONGEST_TOLD_S", "SPREAD_S", "ServerRest"]
