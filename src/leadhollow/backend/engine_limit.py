"""Applies the request limit that the engine beside this process names in its responses.

All requests to the engine pass its gate. One token bucket here therefore enforces the limit for all
entries.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from leadhollow.codes import Code
from leadhollow.decide.limit_table import LimitTable
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.failure import Failure
from leadhollow.http1.decimal_fields import parse_decimal_text
from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger

REQUEST_LIMIT_HEADER = "Request-Limit"  # requests per second that the engine accepts
ENGINE = "engine"  # key of the only server in the table

log = get_logger("gate")


class EngineLimit:
    """Request limit of one engine."""

    __slots__ = ("_limiter", "_malformed_count", "_table")

    def __init__(self) -> None:
        self._table = LimitTable()
        self._limiter: SendLimiter | None = None
        self._malformed_count = 0

    @property
    def per_s(self) -> float | None:
        """Current limit in requests per second; None if there is none."""
        return self._table.limit(ENGINE)

    def record_response(self, values: Sequence[str], *, sent_s: float) -> None:
        """Apply the limit that a response names, or lift it if the response names none.

        A response to a request that was sent before the limit was named does not lift it.

        Parameters
        ----------
        values
            All values of the header; empty if the response has none.
        sent_s
            When the request was sent, by ``clocks.elapsed_s``, which counts suspensions of the
            machine.
        """
        per_s = parse_decimal_text(values)
        if per_s is not None:
            changed = self._table.record_limit(ENGINE, per_s=per_s, received_s=clocks.elapsed_s())
        elif values:
            self._record_malformed()
            return
        else:
            changed = self._table.lift(ENGINE, sent_s=sent_s)
        if changed:
            self._apply()

    def take(self) -> bool:
        """Take a token for one request. Returns False if the limit is exhausted."""
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

    def _record_malformed(self) -> None:
        if not self._malformed_count:
            log.warning("limit not taken", failure=str(Failure(code=Code.LIMIT_MALFORMED)))
        self._malformed_count += 1


__all__ = ["REQUEST_LIMIT_HEADER", "EngineLimit"]
