"""What callers' requests tell about a backend server: failures in a row, and slow return."""

from __future__ import annotations

FAILURES_TO_EJECT = 3
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
QUIET_S = 10.0  # without a failure for this long the next ejection is a first one again


class Health:
    """Passive health of one backend server.

    A server that failed several requests in a row gets none for a while, then one at a time until
    one succeeds. One link's failure is no proof of death, so nothing is ever given up for good.

    Attributes
    ----------
    unreachable
        Whether it is out of use because no connection to it could be opened.
    """

    __slots__ = (
        "_ejected_until_s",
        "_ejection_s",
        "_failures",
        "_last_failure_s",
        "_probing",
        "unreachable",
    )

    def __init__(self) -> None:
        self._failures = 0
        self._ejected_until_s = 0.0
        self._ejection_s = MIN_EJECTION_S
        self._last_failure_s = 0.0
        self._probing = False
        self.unreachable = False

    def usable(self, now_s: float) -> bool:
        """Tell whether requests may go there."""
        if now_s < self._ejected_until_s:
            return False
        return not (self._ejected_until_s and self._probing)

    def ejected(self, now_s: float) -> bool:
        """Tell whether it is out of use, or let back in with one request."""
        return self._ejected_until_s > 0.0

    def record_start(self, now_s: float) -> None:
        """Note that a request goes there."""
        if self._ejected_until_s and now_s >= self._ejected_until_s:
            self._probing = True

    def record_first_event(self) -> None:
        """Note that it began to answer, so that more than one request may go there again.

        Without this a server that came back got one request from each entry until that one's whole
        answer had ended. What it failed at before still counts.
        """
        self._probing = False

    def record_success(self) -> None:
        """Note a good answer."""
        self._failures = 0
        self._ejected_until_s = 0.0
        self._ejection_s = MIN_EJECTION_S
        self._probing = False
        self.unreachable = False

    def record_unreachable(self, now_s: float) -> None:
        """Note that no connection could be opened."""
        self.record_failure(now_s, weight=FAILURES_TO_EJECT)
        self.unreachable = True

    def record_still_unreachable(self, now_s: float) -> None:
        """Note that a connection was tried again in vain, so that no request need try it."""
        self._ejected_until_s = max(self._ejected_until_s, now_s + MIN_EJECTION_S)

    def record_reachable(self, now_s: float) -> None:
        """Note that a connection could be opened again: a request may try it at once."""
        self.unreachable = False
        self._ejected_until_s = min(self._ejected_until_s, now_s)

    def record_failure(self, now_s: float, *, weight: int = 1) -> bool:
        """Note a failure; True where it is out of use from now on.

        Parameters
        ----------
        weight
            How many ordinary failures it stands for: a refused connection says more than a cut
            answer.
        """
        if now_s - self._last_failure_s > QUIET_S:
            self._ejection_s = MIN_EJECTION_S
        self._last_failure_s = now_s
        self._failures += weight
        self._probing = False
        if self._failures < FAILURES_TO_EJECT and not self._ejected_until_s:
            return False
        self._ejected_until_s = now_s + self._ejection_s
        self._ejection_s = min(2 * self._ejection_s, MAX_EJECTION_S)
        return True

    def record_inconclusive(self) -> None:
        """Note a request that says nothing of the server, such as one whose caller left."""
        self._probing = False


__all__ = ["Health"]
