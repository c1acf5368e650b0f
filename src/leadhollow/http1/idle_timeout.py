"""Limits the time for which a connection waits for its next request."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.kernel import active_time
from leadhollow.kernel.active_time import ActiveTimer


class IdleTimeout:
    """Idle time of one connection, in active time.

    One repeating timer saves setting a timer per request.

    Parameters
    ----------
    limit_s
        Returns the longest wait in seconds.
    is_receiving
        Returns whether a part of a request has come, to which another limit applies.
    on_expired
        Called when a wait has lasted too long.

    Attributes
    ----------
    expired
        Whether the current wait has lasted too long.
    """

    __slots__ = (
        "_clock",
        "_is_receiving",
        "_limit_s",
        "_on_expired",
        "_since_s",
        "_timer",
        "expired",
    )

    def __init__(
        self,
        *,
        limit_s: Callable[[], float],
        is_receiving: Callable[[], bool],
        on_expired: Callable[[], None],
    ) -> None:
        self._clock = active_time.clock()
        self._limit_s = limit_s
        self._is_receiving = is_receiving
        self._on_expired = on_expired
        self._since_s: float | None = None  # set during a wait
        self._timer: ActiveTimer | None = None
        self.expired = False

    def start(self) -> None:
        """Start the timer."""
        self._schedule(self._limit_s())

    def begin_wait(self) -> None:
        """Record that the connection waits for a request."""
        self.expired = False
        self._since_s = self._clock.active_s()

    def end_wait(self) -> None:
        """Record that it does not wait any more."""
        self._since_s = None

    def stop(self) -> None:
        """Stop the timer, as the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()
        # timer and callbacks refer to this object and to the connection, which refers to this one
        del self._timer, self._limit_s, self._is_receiving, self._on_expired

    def _schedule(self, delay_s: float) -> None:
        self._timer = ActiveTimer(delay_s=delay_s, callback=self._check)

    def _check(self) -> None:
        if self._since_s is None or self._is_receiving():
            self._schedule(self._limit_s())
            return
        remaining_s = self._limit_s() - (self._clock.active_s() - self._since_s)
        if remaining_s <= 0:
            self.expired = True
            self._on_expired()
        self._schedule(remaining_s if remaining_s > 0 else self._limit_s())


__all__ = ["IdleTimeout"]
