"""Forwards a stream: events are passed on whole, and a broken stream goes on elsewhere."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus

from leadhollow.codes import Code
from leadhollow.decide.caller_retries import CallerRetryDetector
from leadhollow.decide.engine_request import EngineRequest
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

MOST_SENDS = 6  # refusals in the servers' own words included

log = get_logger("stream")


class StreamForwarder:
    """Forwards the streams of one entry."""

    __slots__ = ("_deadlines", "_ending", "_parts")

    def __init__(self, *, context: StreamContext, responder: FailureResponder) -> None:
        self._parts = context
        self._ending = responder
        self._deadlines = CallerRetryDetector()

    async def run(self, call: ForwardedCall, service: ServiceRecord) -> None:
        """Forward one stream to its end."""
        deadline_ms = call.metadata.deadline_ms
        came_back = deadline_ms is not None and self._deadlines.is_retry(
            call.route.name, deadline_ms=deadline_ms, timeout_ms=call.route.timeout_ms
        )
        run = _StreamRun(
            parts=self._parts,
            ending=self._ending,
            call=call,
            service=service,
            came_back=came_back,
        )
        await run.run()


class _StreamRun:
    """One stream; it may be written by several engines one after the other."""

    __slots__ = (
        "_call",
        "_came_back",
        "_ending",
        "_failure",
        "_next",
        "_parts",
        "_quarantine",
        "_relay",
        "_second",
        "_service",
        "_tried",
    )

    def __init__(
        self,
        *,
        parts: StreamContext,
        ending: FailureResponder,
        call: ForwardedCall,
        service: ServiceRecord,
        came_back: bool,
    ) -> None:
        self._came_back = came_back
        self._parts = parts
        self._ending = ending
        self._call = call
        self._service = service
        self._quarantine = parts.suspects.quarantine
        self._tried = ExcludedEngines()
        self._failure = Failure(code=Code.NO_CAPACITY)
        self._relay = StreamRelay(call=call)
        self._second = StreamHedge(
            relay=self._relay, find_engine=self._place, may_send=self._may_try
        )
        self._next: StreamAttempt | None = None  # asked beside the last one, and at work

    async def run(self) -> None:
        """Try engines until the stream is complete or given up."""
        call = self._call
        try:
            async with deadline_at(call.deadline_s) as limit:
                with self._quarantine.track(call, limit):
                    while not await self._attempt():
                        pass
        except TimeoutError:
            if self._quarantine.is_quarantined(call):
                await self._ending.quarantined(call)
            else:
                await self._ending.timed_out(call)
        finally:
            self._second.cancel()
            if self._next is not None:
                self._next.close()

    async def _attempt(self) -> bool:
        """Let one engine run the request; True where the request has its ending."""
        attempt, self._next = self._next, None
        attempt = attempt or await self._second.result() or await self._place()
        if attempt is None:
            await self._give_up()
            return True
        self._relay.owner = attempt
        try:
            async with asyncio.timeout(None) as scope:
                with self._watched(attempt, scope):
                    return await self._take(attempt)
        except TimeoutError:
            if not scope.expired():
                raise
            if self._relay.owner is None:
                self._lost(attempt, Failure(code=Code.WEIGHTS_TOO_OLD))
            return False
        finally:
            attempt.close()

    async def _place(self) -> StreamAttempt | None:
        """Find a place for the request, where it may be sent to another engine."""
        call = self._call
        if self._may_try():
            await self._quarantine.wait_for_verdict(call)
        if not self._may_try():
            return None
        placed = await wait_for_placement(self._parts.queue, self._wish())
        if placed.is_err():
            self._failure = placed.unwrap_err()
            return None
        placement = placed.unwrap()
        if call.sends and not self._parts.budget.try_acquire(call.service):
            self._parts.queue.release(placement)
            self._failure = Failure(code=Code.RETRIES_EXHAUSTED)
            return None
        call.sends += 1
        return StreamAttempt(
            context=self._parts, call=call, placement=placement, excluded=self._tried
        )

    @contextmanager
    def _watched(self, attempt: StreamAttempt, scope: asyncio.Timeout) -> Iterator[None]:
        """Watch an engine that is at work.

        Parameters
        ----------
        scope
            Of the attempt; it is brought forward where another engine goes on, or its weights
            become too old before it has begun.
        """
        loop = asyncio.get_running_loop()

        def end() -> None:
            if not scope.expired():
                scope.reschedule(loop.time())

        def too_old() -> None:
            if attempt.awaiting_first_event and self._relay.owner is attempt:
                self._relay.owner = None  # what it brings from now on is not passed on
                end()

        def heard_s() -> float:
            return max(attempt.last_received_s(), self._relay.last_sent_s)

        def silent() -> None:
            if self._relay.writing:
                return  # its caller is slow, the engine may not be
            attempt.record_silence()
            if self._may_try():
                self._second.start(self._call.request_id, end)

        watch = SilenceMonitor(
            last_received_s=heard_s, timeout_s=attempt.silence_timeout_s, on_silent=silent
        )
        bound = DeadlineTimer(when_s=attempt.placement.begin_by_s, callback=too_old)
        try:
            yield
        finally:
            watch.stop()
            bound.cancel()

    async def _take(self, attempt: StreamAttempt) -> bool:
        """Pass on what an engine answers; True where the request has its ending."""
        if attempt.source is None:
            opened = await attempt.open(last_event_id=self._relay.last_event_id)
            if opened.is_err():
                self._failure = opened.unwrap_err()
                return await self._take_failure(attempt)
        assert attempt.source is not None
        relayed = await self._relay.run(attempt, attempt.placement, attempt.source)
        if relayed.is_ok():
            attempt.record_complete()
            return True
        if self._relay.owner is attempt:
            self._lost(attempt, relayed.unwrap_err())
        return False

    async def _take_failure(self, attempt: StreamAttempt) -> bool:
        """Pass on an engine's own failure, unless another engine may try."""
        exchange = attempt.failed_response
        if exchange is None or self._may_try() or self._relay.started:
            return False
        self._next = await self._second.result()
        if self._next is not None:
            return False
        if not exchange.metadata.signed and exchange.status < HTTPStatus.BAD_REQUEST:
            return False
        passed = await relay_response(self._call, exchange)
        if passed.is_err():
            self._ending.broken_off(self._call, passed.unwrap_err())
        return True

    def _lost(self, attempt: StreamAttempt, failure: Failure) -> None:
        self._failure = failure
        attempt.record_lost(failure)

    def _may_try(self) -> bool:
        call = self._call
        if self._quarantine.is_quarantined(call):
            return False
        if call.sends == 0:
            return True
        if call.sends >= MOST_SENDS or call.attempts >= call.route.attempts:
            return False
        return call.attempts == 0 or (call.route.repeatable and call.body.complete)

    async def _give_up(self) -> None:
        call = self._call
        if self._quarantine.is_quarantined(call):
            await self._ending.quarantined(call)
        elif call.attempts == 0:
            retry_after_s = self._parts.queue.retry_after_s(self._wish())
            await self._ending.not_run(call, self._failure, retry_after_s=retry_after_s)
        else:
            await self._ending.unknown(call, self._failure)

    def _wish(self) -> EngineRequest:
        return make_engine_request(
            self._call,
            self._service,
            now_s=asyncio.get_running_loop().time(),
            came_back=self._came_back,
            last_event_s=self._relay.last_event_s,
            excluded=self._tried.instances,
            lost_domains=self._tried.lost_domains,
        )


__all__ = ["StreamForwarder"]
