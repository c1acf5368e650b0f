"""Forwards streams: relays complete events, and resumes a broken stream at another engine."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus

from leadhollow.codes import Code
from leadhollow.decide.caller_retries import CallerRetryDetector
from leadhollow.decide.engine_request import EngineRequest
from leadhollow.decide.retry_budget import RepeatCause, cause_of_repeat
from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.engine_placement import wait_for_placement
from leadhollow.forward.engine_request_factory import make_engine_request
from leadhollow.forward.failure_response import FailureResponder
from leadhollow.forward.response_relay import relay_response
from leadhollow.forward.silence_monitor import SilenceMonitor
from leadhollow.forward.stream_attempt import ExcludedEngines, StreamAttempt, StreamContext
from leadhollow.forward.stream_hedge import StreamHedge
from leadhollow.forward.stream_relay import StreamRelay
from leadhollow.kernel.active_time import DeadlineTimer, deadline_at
from leadhollow.observe.logs import get_logger
from leadhollow.routing.model import ServiceRecord

log = get_logger("stream")


class StreamForwarder:
    """Forwards the streams of one entry."""

    __slots__ = ("_context", "_deadlines", "_responder")

    def __init__(self, *, context: StreamContext, responder: FailureResponder) -> None:
        self._context = context
        self._responder = responder
        self._deadlines = CallerRetryDetector()

    async def run(self, call: ForwardedCall, service: ServiceRecord) -> None:
        """Forward one stream and complete or abort its reply."""
        deadline_ms = call.metadata.deadline_ms
        is_caller_retry = deadline_ms is not None and self._deadlines.is_retry(
            call.route.name, deadline_ms=deadline_ms, timeout_ms=call.route.timeout_ms
        )
        run = _StreamCall(
            context=self._context,
            responder=self._responder,
            call=call,
            service=service,
            is_caller_retry=is_caller_retry,
        )
        await run.run()


class _StreamCall:
    """State of one stream, which several engines may serve one after another."""

    __slots__ = (
        "_call",
        "_context",
        "_excluded",
        "_failure",
        "_hedge",
        "_is_caller_retry",
        "_next_attempt",
        "_quarantine",
        "_relay",
        "_responder",
        "_service",
    )

    def __init__(
        self,
        *,
        context: StreamContext,
        responder: FailureResponder,
        call: ForwardedCall,
        service: ServiceRecord,
        is_caller_retry: bool,
    ) -> None:
        self._is_caller_retry = is_caller_retry
        self._context = context
        self._responder = responder
        self._call = call
        self._service = service
        self._quarantine = context.suspects.quarantine
        self._excluded = ExcludedEngines()
        self._failure = Failure(code=Code.NO_CAPACITY)
        self._relay = StreamRelay(call=call)
        self._hedge = StreamHedge(
            relay=self._relay, find_engine=self._place_hedge, may_send=self._may_hedge
        )
        self._next_attempt: StreamAttempt | None = None  # a successful hedge

    async def run(self) -> None:
        """Try engines until the stream is complete or abandoned."""
        call = self._call
        try:
            async with deadline_at(call.deadline_s) as limit:
                with self._quarantine.track(call, limit):
                    while not await self._serve_next():
                        pass
        except TimeoutError:
            if self._quarantine.is_quarantined(call):
                await self._responder.quarantined(call)
            else:
                await self._responder.timed_out(call)
        finally:
            self._hedge.cancel()
            if self._next_attempt is not None:
                self._next_attempt.close()

    async def _serve_next(self) -> bool:
        """Let one engine serve the request; return whether the request has ended."""
        attempt, self._next_attempt = self._next_attempt, None
        attempt = attempt or await self._hedge.result()
        attempt = attempt or await self._place_attempt(cause_of_repeat(self._failure))
        if attempt is None:
            await self._abandon()
            return True
        self._relay.owner = attempt
        try:
            async with asyncio.timeout(None) as scope:
                with self._monitored(attempt, scope):
                    return await self._serve(attempt)
        except TimeoutError:
            if not scope.expired():
                raise
            if self._relay.owner is None:
                self._record_lost(attempt, Failure(code=Code.WEIGHTS_TOO_OLD))
            return False
        finally:
            attempt.close()

    async def _place_hedge(self) -> StreamAttempt | None:
        return await self._place_attempt(RepeatCause.HEDGED)

    async def _place_attempt(self, cause: RepeatCause) -> StreamAttempt | None:
        """Get a placement for another attempt; None if the request may not be sent again.

        Parameters
        ----------
        cause
            Why it is sent again, if it was sent before.
        """
        call = self._call
        if self._may_send():
            await self._quarantine.wait_for_verdict(call)
        if not self._may_send():
            return None
        placed = await wait_for_placement(self._context.queue, self._engine_request())
        if placed.is_err():
            failure = placed.unwrap_err()
            if failure.code is Code.NO_CAPACITY or not call.attempts:
                self._failure = failure  # the other codes say that the request was not run
            return None
        placement = placed.unwrap()
        if call.sends and not self._context.budget.try_acquire(
            call.service, cause, request=call.request_id
        ):
            self._context.queue.release(placement)
            self._failure = Failure(code=Code.RETRIES_EXHAUSTED)
            return None
        call.sends += 1
        return StreamAttempt(
            context=self._context, call=call, placement=placement, excluded=self._excluded
        )

    @contextmanager
    def _monitored(self, attempt: StreamAttempt, scope: asyncio.Timeout) -> Iterator[None]:
        """Monitor a serving engine for silence and for weights that become too old.

        Parameters
        ----------
        scope
            Timeout of the attempt; it is rescheduled to now when another engine takes over, or
            when the weights become too old before the first event.
        """
        loop = asyncio.get_running_loop()

        def stop_attempt() -> None:
            if not scope.expired():
                scope.reschedule(loop.time())

        def on_too_old() -> None:
            if attempt.awaiting_first_event and self._relay.owner is attempt:
                self._relay.owner = None  # its later events are dropped
                stop_attempt()

        def last_received_s() -> float:
            return max(attempt.last_received_s(), self._relay.last_sent_s)

        def on_silent() -> None:
            if self._relay.writing:
                return  # the caller is slow, which says nothing about the engine
            attempt.record_silence()
            if self._may_hedge():
                self._hedge.start(self._call.request_id, stop_attempt)

        monitor = SilenceMonitor(
            last_received_s=last_received_s,
            timeout_s=attempt.silence_timeout_s,
            on_silent=on_silent,
        )
        deadline = DeadlineTimer(when_s=attempt.placement.begin_by_s, callback=on_too_old)
        try:
            yield
        finally:
            monitor.stop()
            deadline.cancel()

    async def _serve(self, attempt: StreamAttempt) -> bool:
        """Relay the response of an engine; return whether the request has ended."""
        if attempt.source is None:
            opened = await attempt.open(last_event_id=self._relay.last_event_id)
            if opened.is_err():
                self._failure = opened.unwrap_err()
                return await self._relay_failure(attempt)
        assert attempt.source is not None
        relayed = await self._relay.run(attempt, attempt.placement, attempt.source)
        if relayed.is_ok():
            attempt.record_complete()
            return True
        if self._relay.owner is attempt:
            self._record_lost(attempt, relayed.unwrap_err())
        return False

    async def _relay_failure(self, attempt: StreamAttempt) -> bool:
        """Relay an engine's failure response, unless another engine may serve the request."""
        exchange = attempt.failed_response
        if exchange is None or self._may_send() or self._relay.started:
            return False
        self._next_attempt = await self._hedge.result()
        if self._next_attempt is not None:
            return False
        if not exchange.metadata.signed and exchange.status < HTTPStatus.BAD_REQUEST:
            return False
        if not self._responder.may_relay(self._call, exchange):
            await self._responder.unproven(self._call, exchange)
            return True
        passed = await relay_response(self._call, exchange)
        if passed.is_err():
            self._responder.broken_off(self._call, passed.unwrap_err())
        return True

    def _record_lost(self, attempt: StreamAttempt, failure: Failure) -> None:
        self._failure = failure
        attempt.record_lost(failure)

    def _may_send(self) -> bool:
        call = self._call
        if self._quarantine.is_quarantined(call):
            return False
        return call.may_be_sent()

    def _may_hedge(self) -> bool:
        return self._call.body.complete and self._may_send()

    async def _abandon(self) -> None:
        call = self._call
        if self._quarantine.is_quarantined(call):
            await self._responder.quarantined(call)
        elif call.attempts == 0:
            retry_after_s = self._context.queue.retry_after_s(self._engine_request())
            await self._responder.not_run(call, self._failure, retry_after_s=retry_after_s)
        else:
            await self._responder.unknown(call, self._failure)

    def _engine_request(self) -> EngineRequest:
        return make_engine_request(
            self._call,
            self._service,
            now_s=asyncio.get_running_loop().time(),
            is_caller_retry=self._is_caller_retry,
            last_event_s=self._relay.last_event_s,
            excluded=self._excluded.instances,
            lost_domains=self._excluded.lost_domains,
        )


__all__ = ["StreamForwarder"]
