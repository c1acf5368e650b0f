"""Log lines about the rate limits of backend servers, at a bounded rate."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.codes import Code
from leadhollow.decide.rate_source import RateLimit
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.failure import Failure
from leadhollow.membership.instances import Instance
from leadhollow.observe.logs import get_logger

MAX_MALFORMED_LOGGED = 64  # lives; a server that keeps restarting must not flood the log
LOG_INTERVAL_S = 1.0  # minimum between log lines about limit changes of the same server

log = get_logger("limits")


class LimitLog:
    """Writes a line when a limit begins, changes or ends, and when a response is malformed.

    Parameters
    ----------
    clock
        Returns the time in seconds.
    """

    __slots__ = ("_clock", "_last_s", "_malformed_lives")

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_s: dict[str, float] = {}
        self._malformed_lives: set[str] = set()

    def record_malformed(self, instance: Instance, code: Code) -> None:
        """Log the first malformed statement of each life of a server."""
        life = instance.life
        if life in self._malformed_lives or len(self._malformed_lives) >= MAX_MALFORMED_LOGGED:
            return
        self._malformed_lives.add(life)
        failure = Failure(code=code)
        log.warning("limit not taken", failure=str(failure), instance=instance.instance)

    def record_change(
        self, instance: Instance, limit: RateLimit | None, previous: SendLimiter | None
    ) -> None:
        """Log that a limit is in force, has changed or is over.

        Parameters
        ----------
        limit
            Limit in force; None if it is over.
        previous
            Limiter before the change, None if there was none.
        """
        life, now_s = instance.life, self._clock()
        is_update = limit is not None and previous is not None
        if is_update and now_s - self._last_s.get(life, float("-inf")) < LOG_INTERVAL_S:
            return
        self._last_s[life] = now_s
        if limit is None:
            del self._last_s[life]
        log.info(
            "server limit lifted" if limit is None else "server limit in force",
            instance=instance.instance,
            address=instance.address,
            limit_per_s=None if limit is None else limit.per_s,
            source=None if limit is None else limit.source,
            admitted=0 if previous is None else previous.admitted,
            withheld=0 if previous is None else previous.withheld,
        )


__all__ = ["LimitLog"]
