"""Passive health checks of a backend server: ejection after failures, and gradual return."""

from __future__ import annotations

from collections.abc import Hashable

FAILURES_TO_EJECT = 3
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
EJECTION_RESET_S = 10.0  # time without a failure after which ejections start from the minimum again


class Health:
    """Health of one backend server, as seen by the requests of this entry.

    After several failures in a row a server gets no requests for a while, then one at a time until
    one succeeds. A failure may also be one of the network path, so no server is ever given up for
    good.

    Attributes
    ----------
    unreachable
        Whether the server is ejected because no connection to it could be opened.
    """

    __slots__ = (
        "_ejected_until_s",
        "_ejection_s",
        "_failures",
        "_last_failure_s",
        "_probe",
        "unreachable",
    )

    def __init__(self) -> None:
        self._failures = 0
        self._ejected_until_s = 0.0
        self._ejection_s = MIN_EJECTION_S
        self._last_failure_s = 0.0
        self._probe: Hashable | None = None  # request that probes the server after an ejection
        self.unreachable = False

    def usable(self, now_s: float) -> bool:
        """Tell whether requests may be sent there."""
        if now_s < self._ejected_until_s:
            return False
        return not (self._ejected_until_s and self._probe is not None)

    def ejected(self, now_s: float) -> bool:
        """Tell whether the server is ejected, or being probed after an ejection."""
        return self._ejected_until_s > 0.0

    def claim_probe(self, request: Hashable, now_s: float) -> None:
        """Make a request the probe if its server was ejected and no other request is the probe."""
        if self._ejected_until_s and now_s >= self._ejected_until_s and self._probe is None:
            self._probe = request

    def release_probe(self, request: Hashable) -> None:
        """Record that a request has ended, so that another one may become the probe."""
        if self._probe is request:
            self._probe = None

    def record_first_event(self) -> None:
        """Record that a response has begun, so that further requests may be sent.

        Without this, a server that has come back would get one request from each entry until the
        whole response had ended. Earlier failures still count.
        """
        self._probe = None

    def record_success(self) -> None:
        """Record a successful response."""
        self._failures = 0
        self._ejected_until_s = 0.0
        self._ejection_s = MIN_EJECTION_S
        self._probe = None
        self.unreachable = False

    def record_unreachable(self, now_s: float) -> None:
        """Record that no connection could be opened."""
        self.record_failure(now_s, weight=FAILURES_TO_EJECT)
        self.unreachable = True

    def record_still_unreachable(self, now_s: float) -> None:
        """Record that a path probe could not connect either, so that no request has to try."""
        self._ejected_until_s = max(self._ejected_until_s, now_s + MIN_EJECTION_S)

    def record_reachable(self, now_s: float) -> None:
        """Record that a connection can be opened again, so that a request may probe at once."""
        self.unreachable = False
        self._ejected_until_s = min(self._ejected_until_s, now_s)

    def record_failure(self, now_s: float, *, weight: int = 1) -> bool:
        """Record a failure and tell whether the server is ejected now.

        Parameters
        ----------
        weight
            Number of ordinary failures that this one counts for. A refused connection says more
            than an interrupted response.
        """
        if now_s - self._last_failure_s > EJECTION_RESET_S:
            self._ejection_s = MIN_EJECTION_S
        self._last_failure_s = now_s
        self._failures += weight
        self._probe = None
        if self._failures < FAILURES_TO_EJECT and not self._ejected_until_s:
            return False
        self._ejected_until_s = now_s + self._ejection_s
        self._ejection_s = min(2 * self._ejection_s, MAX_EJECTION_S)
        return True


__all__ = ["Health"]
