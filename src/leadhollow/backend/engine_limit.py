"""The request limit that the engine beside this process names in its answers.

All requests to the engine pass its gate, so one token bucket here keeps the limit for all entries.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from leadhollow.codes import Code
from leadhollow.decide.limit_table import LimitTable
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.failure import Failure
from leadhollow.http1.decimals import read_decimal_text
from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger

REQUEST_LIMIT_HEADER = "Request-Limit"  # requests a second that the engine takes
ENGINE = "engine"  # the only server of the table

log = get_logger("gate")


class EngineLimit:
    """Limit of one engine."""

    __slots__ = ("_limiter", "_malformed", "_table")

    def __init__(self) -> None:
        self._table = LimitTable()
        self._limiter: SendLimiter | None = None
        self._malformed = 0

    @property
    def per_s(self) -> float | None:
        """The limit in force, None where there is none."""
        return self._table.limit(ENGINE)

    def record_response(self, values: Sequence[str], *, sent_s: float) -> None:
        """Take what an answer says of the limit.

        Parameters
        ----------
        values
            Of the field, none where the answer names no limit.
        sent_s
            When the request was sent, by the clock with suspensions.
        """
        per_s = read_decimal_text(values)
        if per_s is not None:
            changed = self._table.record_limit(ENGINE, per_s=per_s, received_s=clocks.elapsed_s())
        elif values:
            self._note_malformed()
            return
        else:
            changed = self._table.lift(ENGINE, sent_s=sent_s)
        if changed:
            self._apply()

    def take(self) -> bool:
        """Take the right to send one request; False where the limit leaves no room."""
        return self._limiter is None or self._limiter.try_acquire()

    def _apply(self) -> None:
        per_s = self.per_s
        log.info("engine limit changed", limit_per_s=per_s)
        if per_s is None:
            self._limiter = None
        elif self._limiter is not None:
            self._limiter.set_limit(per_s)
        else:
            self._limiter = SendLimiter(
                per_s=per_s, entries=lambda: 1, clock=clocks.elapsed_s, source=random.Random()
            )
            self._limiter.lease(1.0, until_s=float("inf"))

    def _note_malformed(self) -> None:
        if not self._malformed:
            log.warning("limit not taken", failure=str(Failure(code=Code.LIMIT_MALFORMED)))
        self._malformed += 1


__all__ = ["LIMIT_FIELD", "EngineLimit"]
