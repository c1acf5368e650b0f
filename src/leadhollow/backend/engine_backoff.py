"""Applies the back-off that the engine beside this process requests when it refuses a request.

All requests to the engine pass its gate. A back-off enforced here therefore holds for all entries.
"""

from __future__ import annotations

import random
from collections.abc import Hashable, Sequence
from http import HTTPStatus

from leadhollow.codes import Code
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.failure import Failure
from leadhollow.http1.decimal_fields import parse_decimal_text
from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger

RETRY_AFTER_HEADER = "Retry-After"

log = get_logger("gate")


class EngineBackoff:
    """Back-off of one engine, and the probe that ends it.

    A gate starts as after a back-off: it does not know what the engine asked of the process before
    it, neither a back-off nor a limit.
    """

    __slots__ = ("_backoff", "_malformed")

    def __init__(self) -> None:
        self._backoff: ServerBackoff | None = _new_backoff()
        self._malformed = 0

    def record_response(self, attempt: Hashable, status: int, values: Sequence[str]) -> None:
        """Start a back-off that a response requests, or end it after the response to the probe.

        Parameters
        ----------
        values
            All values of the header; empty if the response has none.
        """
        if status != HTTPStatus.SERVICE_UNAVAILABLE or not values:
            if self._backoff is not None and self._backoff.ended_by(attempt):
                self._backoff = None
            return
        backoff_s = parse_decimal_text(values)
        if backoff_s is None:
            self._record_malformed()
        elif backoff_s:
            if self._backoff is None:
                self._backoff = _new_backoff()
            self._backoff.extend(backoff_s)
            log.info("engine requested a back-off", rest_s=backoff_s)

    def claim(self, attempt: Hashable) -> bool:
        """Whether an attempt may go to the engine.

        At first, and after a back-off, only one attempt, the probe, may go until the engine has
        responded to it.
        """
        return self._backoff is None or self._backoff.claim_probe(attempt)

    def release(self, attempt: Hashable) -> None:
        """Record that an attempt has ended. A probe without a response lets another one go."""
        if self._backoff is not None:
            self._backoff.release_probe(attempt)

    def _record_malformed(self) -> None:
        if not self._malformed:
            log.warning("rest not taken", failure=str(Failure(code=Code.REST_MALFORMED)))
        self._malformed += 1


def _new_backoff() -> ServerBackoff:
    return ServerBackoff(clock=clocks.elapsed_s, source=random.Random())


__all__ = ["RETRY_AFTER_HEADER", "EngineBackoff"]
