"""How a request ends with an answer of our own."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.dialect import CallDialect
from leadhollow.forward.fingerprint import shown
from leadhollow.observe.logs import get_logger

NOT_RUN_STATUS = HTTPStatus.SERVICE_UNAVAILABLE  # promises that the request has not run
UNKNOWN_STATUS = HTTPStatus.BAD_GATEWAY  # promises nothing
TIMEOUT_STATUS = HTTPStatus.GATEWAY_TIMEOUT  # promises nothing either
QUARANTINE_RETRY_AFTER_S = 600.0  # a person has to look at it first

log = get_logger("ending")


class Ending:
    """Writes answers of our own; what may have run is never called not run."""

    __slots__ = ("_dialect",)

    def __init__(self, *, dialect: CallDialect) -> None:
        self._dialect = dialect

    async def not_run(
        self, call: ForwardedCall, failure: Failure, *, retry_after_s: float | None
    ) -> None:
        """Say that the request has not run and never will, and when to come back."""
        if call.attempts:
            await self.unknown(call, failure)
            return
        await self._send(call, NOT_RUN_STATUS, failure, retry_after_s)

    async def unknown(self, call: ForwardedCall, failure: Failure) -> None:
        """Say that the request failed and may have run."""
        await self._send(call, UNKNOWN_STATUS, failure, None)

    async def quarantined(self, call: ForwardedCall) -> None:
        """Answer a request that is sent to no server any more.

        Where it did not run, that is said, with a time to come back which tells that asking again
        soon is of no use. A status that ends all tries would be wrong once it is let go.
        """
        failure = Failure(code=Code.REQUEST_QUARANTINED)
        await self.not_run(call, failure, retry_after_s=QUARANTINE_RETRY_AFTER_S)

    async def timed_out(self, call: ForwardedCall) -> None:
        """Answer a request whose time is over."""
        failure = Failure(code=Code.DEADLINE_PASSED)
        if call.attempts:
            await self._send(call, TIMEOUT_STATUS, failure, None)
        else:
            await self._send(call, NOT_RUN_STATUS, failure, None)

    async def _send(
        self,
        call: ForwardedCall,
        status: HTTPStatus,
        failure: Failure,
        retry_after_s: float | None,
    ) -> None:
        waited_s = asyncio.get_running_loop().time() - call.received_s
        log.info(
            "request ended without an answer",
            request=call.request_id,
            fingerprint=shown(call.fingerprint),
            route=call.route.name,
            status=int(status),
            code=int(failure.code),
            detail=failure.detail,
            attempts=call.attempts,
            sends=call.sends,
            after_ms=round(waited_s * 1000),
            retry_after_s=None if retry_after_s is None else round(retry_after_s, 2),
        )
        if call.reply.started:
            call.reply.abort()  # an answer has begun: it must not look complete
            return
        headers = self._dialect.refusal(failure, retry_after_s)
        body = f"{int(failure.code)} {failure.code.title}\n".encode()
        await call.reply.send(status, headers, body)


__all__ = ["NOT_RUN_STATUS", "TIMEOUT_STATUS", "UNKNOWN_STATUS", "Ending"]
