"""The rest that the engine beside this process asks for when it turns a request away.

All requests to the engine pass its gate, so a rest that is kept here holds for all entries.
"""

from __future__ import annotations

import random
from collections.abc import Hashable, Sequence
from http import HTTPStatus

from leadhollow.codes import Code
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.failure import Failure
from leadhollow.http1.decimals import read_decimal_text
from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger

RETRY_AFTER_HEADER = "Retry-After"

log = get_logger("gate")


class EngineBackoff:
    """Rest of one engine."""

    __slots__ = ("_malformed", "_backoff")

    def __init__(self) -> None:
        self._backoff: ServerBackoff | None = None
        self._malformed = 0

    def record_response(self, attempt: Hashable, status: int, values: Sequence[str]) -> None:
        """Take what the answer to an attempt asks for.

        Parameters
        ----------
        values
            Of the field, none where the answer asks for no rest.
        """
        if status != HTTPStatus.SERVICE_UNAVAILABLE or not values:
            if self._backoff is not None and self._backoff.ended_by(attempt):
                self._backoff = None
            return
        rest_s = read_decimal_text(values)
        if rest_s is None:
            self._note_malformed()
        elif rest_s:
            if self._backoff is None:
                self._backoff = ServerBackoff(clock=clocks.elapsed_s, source=random.Random())
            self._backoff.extend(rest_s)
            log.info("engine wants rest", rest_s=rest_s)

    def claim(self, attempt: Hashable) -> bool:
        """Let an attempt go to the engine; after a rest one goes first, until it is answered."""
        return self._backoff is None or self._backoff.claim_probe(attempt)

    def release(self, attempt: Hashable) -> None:
        """Note that an attempt has ended."""
        if self._backoff is not None:
            self._backoff.release_probe(attempt)

    def _note_malformed(self) -> None:
        if not self._malformed:
            log.warning("rest not taken", failure=str(Failure(code=Code.REST_MALFORMED)))
        self._malformed += 1


__all__ = ["REST_FIELD", "EngineRest"]
