"""Detects that an engine sends nothing, without cancelling its request."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.kernel import active_time
from leadhollow.kernel.active_time import ActiveTimer


class SilenceMonitor:
    """Calls back each time an engine has been silent for longer than a timeout.

    The timeout may change in the meantime. Events restart no timer: when the timer fires, the
    monitor checks how long the engine has been silent and waits for the rest of the timeout.

    Parameters
    ----------
    last_received_s
        Returns when bytes of the engine last arrived, in active time, which excludes stalls of the
        event loop.
    timeout_s
        Returns the current timeout.
    on_silent
        Called once each time the timeout passes.
    """

    __slots__ = ("_last_received_s", "_on_silent", "_restarted_s", "_timeout_s", "_timer")

    def __init__(
        self,
        *,
        last_received_s: Callable[[], float],
        timeout_s: Callable[[], float],
        on_silent: Callable[[], None],
    ) -> None:
        self._last_received_s = last_received_s
        self._timeout_s = timeout_s
        self._on_silent = on_silent
        self._restarted_s = last_received_s()
        self._timer = ActiveTimer(delay_s=timeout_s(), callback=self._check)

    def stop(self) -> None:
        """Stop monitoring."""
        self._timer.cancel()

    def _check(self) -> None:
        now_s = active_time.active_s()
        since_s = max(self._last_received_s(), self._restarted_s)
        left_s = self._timeout_s() - (now_s - since_s)
        if left_s <= 0:
            self._restarted_s = now_s
            left_s = self._timeout_s()
            self._timer = ActiveTimer(delay_s=left_s, callback=self._check)
            self._on_silent()
            return
        self._timer = ActiveTimer(delay_s=left_s, callback=self._check)


__all__ = ["SilenceMonitor"]
