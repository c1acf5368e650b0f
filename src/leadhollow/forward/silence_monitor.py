"""Watches for an engine that writes nothing, without ending anything by it."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.kernel import active_time
from leadhollow.kernel.active_time import ActiveTimer


class SilenceMonitor:
    """Calls back each time an engine has been silent for longer than expected.

    What is expected may change meanwhile, and an event costs no timer of its own: the watch looks
    when the last silence that it knew of would have become too long.

    Parameters
    ----------
    heard_s
        Gives the time, by the clock of what could be heard, at which the engine was last heard.
    patience_s
        Gives the silence that is expected.
    on_silent
        Called once for each such time without a sign.
    """

    __slots__ = ("_from_s", "_heard_s", "_on_silent", "_patience_s", "_timer")

    def __init__(
        self,
        *,
        last_received_s: Callable[[], float],
        timeout_s: Callable[[], float],
        on_silent: Callable[[], None],
    ) -> None:
        self._heard_s = last_received_s
        self._patience_s = timeout_s
        self._on_silent = on_silent
        self._from_s = last_received_s()
        self._timer = ActiveTimer(delay_s=timeout_s(), callback=self._look)

    def stop(self) -> None:
        """Watch no more."""
        self._timer.cancel()

    def _look(self) -> None:
        now_s = active_time.active_s()
        since_s = max(self._heard_s(), self._from_s)
        left_s = self._patience_s() - (now_s - since_s)
        if left_s <= 0:
            self._from_s = now_s
            left_s = self._patience_s()
            self._timer = ActiveTimer(delay_s=left_s, callback=self._look)
            self._on_silent()
            return
        self._timer = ActiveTimer(delay_s=left_s, callback=self._look)


__all__ = ["SilenceWatch"]
