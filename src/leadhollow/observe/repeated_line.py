"""Log line for an event that callers can cause at any rate."""

from __future__ import annotations

from leadhollow.kernel import clocks
from leadhollow.observe.logs import Logger

INTERVAL_S = 1.0


class RepeatedLine:
    """Logs an event at most once per interval, with the number of events since the last line.

    Attributes
    ----------
    total
        Number of events so far.
    """

    __slots__ = ("_log", "_logged_s", "_message", "_unlogged", "total")

    def __init__(self, *, log: Logger, message: str) -> None:
        self._log = log
        self._message = message
        self._logged_s = float("-inf")
        self._unlogged = 0
        self.total = 0

    def log(self, count: int = 1, **fields: object) -> None:
        """Record events; the fields are those of the newest one."""
        self.total += count
        self._unlogged += count
        now_s = clocks.steady_s()
        if now_s - self._logged_s < INTERVAL_S:
            return
        self._log.warning(self._message, count=self._unlogged, total=self.total, **fields)
        self._logged_s = now_s
        self._unlogged = 0


__all__ = ["RepeatedLine"]
