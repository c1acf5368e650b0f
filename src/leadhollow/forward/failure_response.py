"""Error responses that an entry itself sends, and log lines for requests that ended early."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

from leadhollow.codes import Code
from leadhollow.decide.fingerprints import short_fingerprint
from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.dialect import CallDialect
from leadhollow.forward.end_reason import EndReason
from leadhollow.forward.exchange import Exchange
from leadhollow.observe.logs import get_logger

NOT_RUN_STATUS = HTTPStatus.SERVICE_UNAVAILABLE  # guarantees that the request has not run
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        NOT_RUN_STATUS,
    }
)
"""Statuses that callers take for that guarantee, whoever sends them."""

UNKNOWN_STATUS = HTTPStatus.BAD_GATEWAY  # the request may have run
TIMEOUT_STATUS = HTTPStatus.GATEWAY_TIMEOUT  # the request may have run
QUARANTINE_RETRY_AFTER_S = 600.0  # an operator has to release the request first

log = get_logger("ending")


class FailureResponder:
    """Sends error responses; never states that a request has not run if it may have run.

    Parameters
    ----------
    on_refusal
        Called with the code of each response that says that the request has not run.

    Attributes
    ----------
    truncated
        Number of responses that had started and were not completed, by reason.
    """

    __slots__ = ("_dialect", "_on_refusal", "truncated")

    def __init__(
        self, *, dialect: CallDialect, on_refusal: Callable[[Code], None] = lambda _: None
    ) -> None:
        self._dialect = dialect
        self._on_refusal = on_refusal
        self.truncated: Counter[EndReason] = Counter()

    async def not_run(
        self, call: ForwardedCall, failure: Failure, *, retry_after_s: float | None
    ) -> None:
        """Respond that the request has not run and never will, and when to retry."""
        if call.attempts:
            await self.unknown(call, failure)
            return
        await self._send(call, NOT_RUN_STATUS, failure, retry_after_s)

    async def unknown(self, call: ForwardedCall, failure: Failure) -> None:
        """Respond that the request failed and may have run.

        Where the caller's own body was the reason, the response says so.
        """
        failure = call.body.failure or failure
        status = failure.code.http_status if call.body.failure else UNKNOWN_STATUS
        if status in NOT_RUN_STATUSES:
            status = UNKNOWN_STATUS
        await self._send(call, status, failure, None)

    def may_relay(self, call: ForwardedCall, exchange: Exchange) -> bool:
        """Tell whether a response may be relayed, or if its status promises what is not known.

        Callers send a request again that must run once only where a status guarantees that it has
        not run. A server's status guarantees that only if the server states it explicitly.
        """
        if call.route.repeatable or exchange.metadata.not_executed:
            return True
        return exchange.status not in NOT_RUN_STATUSES

    async def unproven(self, call: ForwardedCall, exchange: Exchange) -> None:
        """Respond in place of a response that must not be relayed."""
        detail = f"status {exchange.status} does not say that nothing was run"
        await self.unknown(call, Failure(code=Code.ENGINE_FAILED, detail=detail))

    def broken_off(self, call: ForwardedCall, failure: Failure) -> None:
        """Abort a response that its backend server did not complete."""
        self._log_end(call, EndReason.ENGINE_ENDED, failure)
        call.reply.abort()

    def caller_left(self, call: ForwardedCall) -> None:
        """Log a request whose caller closed its connection."""
        self._log_end(call, EndReason.CALLER_LEFT)

    def stopped(self, call: ForwardedCall) -> None:
        """Log a request that this process could not complete before it had to stop."""
        self._log_end(call, EndReason.STOPPED)

    async def quarantined(self, call: ForwardedCall) -> None:
        """Respond to a request that is in quarantine.

        If the request did not run, the response says so and asks for a late retry, because an early
        one is pointless. A status that forbids retries would be wrong once the request is released.
        """
        failure = Failure(code=Code.REQUEST_QUARANTINED)
        await self.not_run(call, failure, retry_after_s=QUARANTINE_RETRY_AFTER_S)

    async def timed_out(self, call: ForwardedCall) -> None:
        """Respond to a request whose deadline has passed."""
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
        self._log_end(call, _end_reason(call, failure), failure, status, retry_after_s)
        if call.reply.started:
            call.reply.abort()  # a response that has started must not look complete
            return
        if status is NOT_RUN_STATUS:
            self._on_refusal(failure.code)
        headers = self._dialect.error_headers(failure, retry_after_s)
        body = f"{int(failure.code)} {failure.code.title}\n".encode()
        await call.reply.send(status, headers, body)

    def _log_end(
        self,
        call: ForwardedCall,
        reason: EndReason,
        failure: Failure | None = None,
        status: HTTPStatus | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        waited_s = asyncio.get_running_loop().time() - call.received_s
        if call.reply.started:
            self.truncated[reason] += 1
        log.info(
            "request ended without an answer",
            request=call.request_id,
            reason=reason.value,
            begun=call.reply.started,
            fingerprint=short_fingerprint(call.fingerprint),
            route=call.route.name,
            rank=call.rank,
            status=None if status is None else int(status),
            code=None if failure is None else int(failure.code),
            detail="" if failure is None else failure.detail,
            instance=call.last_instance,
            attempts=call.attempts,
            sends=call.sends,
            after_ms=round(waited_s * 1000),
            silent_ms=round(call.silent_s() * 1000),
            held_up_ms=round(call.stalled_s() * 1000),
            retry_after_s=None if retry_after_s is None else round(retry_after_s, 2),
        )


def _end_reason(call: ForwardedCall, failure: Failure) -> EndReason:
    if failure.code is Code.REQUEST_QUARANTINED:
        return EndReason.QUARANTINED
    if failure.code is Code.WEIGHTS_TOO_OLD:
        return EndReason.WEIGHTS_TOO_OLD
    if failure.code is Code.DEADLINE_PASSED:
        by_route = call.deadline_s >= call.timeout_s
        return EndReason.ROUTE_TIMEOUT if by_route else EndReason.CALLER_DEADLINE
    return EndReason.ENGINE_ENDED if call.attempts else EndReason.NOT_TAKEN


__all__ = [
    "NOT_RUN_STATUS",
    "NOT_RUN_STATUSES",
    "TIMEOUT_STATUS",
    "UNKNOWN_STATUS",
    "FailureResponder",
]
