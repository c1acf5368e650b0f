"""Engines that are cold after a start, and what reaches them meanwhile."""

from __future__ import annotations

COLD_START_S = 2.0
COLD_PER_S = 2.0
OVERSHOOT = 1.5
SLACK = 5.0
WINDOW_S = 1.0


class Cold:
    """The cold time of one incarnation of an engine.

    Parameters
    ----------
    until_s
        When it ends.
    """

    __slots__ = ("_arrivals_s", "instance", "until_s")

    def __init__(self, *, instance: str, until_s: float) -> None:
        self.instance = instance
        self.until_s = until_s
        self._arrivals_s: list[float] = []

    def remaining_ms(self, now_s: float) -> int:
        """Give the remaining time, as heartbeats name it."""
        return max(0, int(1000 * (self.until_s - now_s)))

    def note_arrival(self, now_s: float) -> None:
        """Note a request that is meant for this incarnation."""
        if now_s < self.until_s:
            self._arrivals_s.append(now_s)

    def most(self) -> int:
        """Give the most arrivals in any second while it was cold."""
        times_s = self._arrivals_s
        return max(
            (sum(0 <= at_s - begin_s < WINDOW_S for at_s in times_s) for begin_s in times_s),
            default=0,
        )

    def judge(self) -> list[str]:
        """Give the broken promise, if there is one."""
        allowed = OVERSHOOT * COLD_PER_S + SLACK
        if self.most() <= allowed:
            return []
        return [f"COLD {self.instance}: {self.most()} requests in a second, allowed {allowed:g}"]


__all__ = ["COLD_PER_S", "COLD_START_S", "Cold"]
