"""Back-off that a backend server asked for, and the return to normal use afterwards."""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable

MAX_PEER_BACKOFF_S = 5.0
"""Longest time for which a back-off that a server asked of another entry counts here. The server
may have meant that entry alone, or for longer than it needs."""

SPREAD_S = 0.5
"""Time after the end of a back-off over which entries resume at random moments. One server may have
asked all of them to back off at the same time."""


class ServerBackoff:
    """Time in which a server gets no requests, followed by a single probe.

    Parameters
    ----------
    clock
        Returns the time including suspensions.
    source
        Source of the random part by which entries differ.

    Attributes
    ----------
    until_s
        End of the back-off as the server asked for it.
    peer_until_s
        End of a back-off that the server asked of another entry. Until then this entry prefers
        other servers. If these have no free slots, one of its requests tests the server.
    resumes_s
        When this entry tries again; not before ``until_s``.
    """

    __slots__ = ("_clock", "_probe", "_source", "peer_until_s", "resumes_s", "until_s")

    def __init__(self, *, clock: Callable[[], float], source: random.Random) -> None:
        self._clock = clock
        self._source = source
        self._probe: Hashable | None = None
        self.until_s = float("-inf")
        self.resumes_s = float("-inf")
        self.peer_until_s = float("-inf")

    def extend(self, backoff_s: float) -> bool:
        """Record that the server asked to back off from now on; tell if this extends the back-off.

        Responses can overtake each other, so one that ends sooner than the current back-off is
        ignored.
        """
        until_s = self._clock() + backoff_s
        if backoff_s <= 0 or until_s <= self.until_s:
            return False
        self.until_s = until_s
        self.resumes_s = until_s + self._source.uniform(0, min(SPREAD_S, backoff_s))
        return True

    def record_peer_backoff(self, backoff_s: float) -> None:
        """Record that the server asked another entry to back off from now on."""
        peer_until_s = self._clock() + min(backoff_s, MAX_PEER_BACKOFF_S)
        self.peer_until_s = max(self.peer_until_s, peer_until_s)

    @property
    def deprioritised(self) -> bool:
        """Whether other servers are preferred because another entry was asked to back off."""
        return self._clock() < self.peer_until_s

    @property
    def expired(self) -> bool:
        """Whether the back-off is over, so that a request may probe the server."""
        return self._clock() >= self.resumes_s

    def remaining_s(self) -> float:
        """Return the time until this entry tries again."""
        return max(0.0, self.resumes_s - self._clock())

    def admits(self) -> bool:
        """Tell whether a request may be sent as a probe."""
        return self.expired and self._probe is None

    def claim_probe(self, request: Hashable) -> bool:
        """Make a request the probe unless there is another; tell whether it is the probe."""
        if not self.expired:
            return False
        if self._probe is None:
            self._probe = request
        return self._probe == request

    def ended_by(self, request: Hashable) -> bool:
        """Tell whether a response that asks for no back-off ends this one.

        Only the response to the probe does. Other requests may have been sent before the server
        asked for the back-off.
        """
        return self.expired and self._probe == request

    def release_probe(self, request: Hashable) -> None:
        """Record that a request has ended, so that another one may become the probe."""
        if self._probe == request:
            self._probe = None


__all__ = ["MAX_PEER_BACKOFF_S", "SPREAD_S", "ServerBackoff"]
