"""One attempt of a stream at one engine: sends the request and records the engine's health."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.decide.engine_request import Placement
from leadhollow.decide.fingerprints import short_fingerprint
from leadhollow.decide.retry_budget import RetryBudget
from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.event_source import EventSource
from leadhollow.forward.exchange import AttemptEnd, AttemptFailure, BackendClient, Exchange
from leadhollow.forward.pool import CONNECT_TIMEOUT_S
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.forward.suspect_sync import SuspectSync
from leadhollow.kernel import active_time
from leadhollow.observe.logs import get_logger

NEAR_DEADLINE_S = 3.0  # within this time before weights become too old, connecting must be quick
QUICK_CONNECT_TIMEOUT_S = 0.08  # many times the latency between failure domains if the path works
FIRST_EVENT_FACTOR = 2.5  # timeout relative to the prediction; the objective is its minimum
SILENCE_FACTOR = 2.0  # timeout relative to the pause that a route calls on time
MIN_SILENCE_S = 0.8

SURVIVED_S = 0.2
SURVIVED_EVENTS = 3
"""Time and events from the first event of a stream on after which its engine has survived the parts
of the prompt. Both are asked for, as a slow link may delay the second event alone."""

log = get_logger("stream")


class StreamContext:
    """Services that all streams of one entry share."""

    __slots__ = ("budget", "client", "directory", "queue", "suspects")

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        budget: RetryBudget,
        client: BackendClient,
        queue: EngineQueue,
        suspects: SuspectSync,
    ) -> None:
        self.directory = directory
        self.budget = budget
        self.client = client
        self.queue = queue
        self.suspects = suspects


class ExcludedEngines:
    """Engines that one request must not be sent to again.

    Attributes
    ----------
    instances
        Names of the instances that failed the request or went silent on it.
    lost_domains
        Failure domains of the engines that broke it off.
    """

    __slots__ = ("instances", "lost_domains")

    def __init__(self) -> None:
        self.instances: set[str] = set()
        self.lost_domains: set[str] = set()


class StreamAttempt:
    """One attempt of a stream at the engine where it was placed.

    Parameters
    ----------
    excluded
        Engines that the request must not be sent to again; this engine is added if it fails.

    Attributes
    ----------
    sent_s
        When the request was sent, in active time, which excludes stalls of the event loop.
    source
        Events of the response; None before its head has arrived.
    failed_response
        Response of the engine that is not a stream; None if there is none.
    """

    __slots__ = (
        "_call",
        "_context",
        "_event_count",
        "_excluded",
        "_failure_recorded",
        "_first_event_s",
        "_parts_survived",
        "failed_response",
        "placement",
        "sent_s",
        "source",
    )

    def __init__(
        self,
        *,
        context: StreamContext,
        call: ForwardedCall,
        placement: Placement,
        excluded: ExcludedEngines,
    ) -> None:
        self._context = context
        self._call = call
        self._excluded = excluded
        self._failure_recorded = False
        self._first_event_s: float | None = None
        self._event_count = 0
        self._parts_survived = False
        self.sent_s = active_time.active_s()
        self.placement = placement
        self.source: EventSource | None = None
        self.failed_response: Exchange | None = None

    @property
    def instance(self) -> str:
        """Instance name of the engine."""
        return self.placement.server.instance.instance

    @property
    def awaiting_first_event(self) -> bool:
        """Whether nothing of a response has arrived yet."""
        return self.placement.call.in_prefill and self.failed_response is None

    async def open(self, *, last_event_id: int | None) -> Result[EventSource, Failure]:
        """Send the request and wait for the head of a streaming response.

        Errors
        ------
        BACKEND_LOST, BACKEND_REFUSED, ENGINE_FAILED, and those of opening a connection
            Another engine may be tried; the health of this one has been updated.
        """
        call, placement = self._call, self.placement
        call.record_dispatch(self.instance)
        placement.call.regions = call.regions  # the table may have changed while it waited
        self.sent_s = active_time.active_s()
        dispatch = call.dispatch(
            instance=self.instance,
            version=placement.expected_version,
            last_event_id=last_event_id,
            urgency=placement.engine_priority,
        )
        call.attempts += 1  # undone if it is certain that nothing ran
        near_deadline = placement.begin_by_s - asyncio.get_running_loop().time() < NEAR_DEADLINE_S
        try:
            began = await self._context.client.send(
                server=placement.server,
                own_call=placement.call,
                head=call.head,
                body=call.body,
                attempt_id=call.request_id,
                dispatch=dispatch,
                fresh=not call.route.repeatable or near_deadline or call.sends > 1,
                connect_timeout_s=QUICK_CONNECT_TIMEOUT_S if near_deadline else CONNECT_TIMEOUT_S,
            )
        except asyncio.CancelledError:
            if not placement.call.sent:
                self._uncount()
            raise
        if began.is_err():
            return Err(self._record_attempt_failure(began.unwrap_err()))
        exchange = began.unwrap()
        self.source = EventSource(exchange=exchange)
        if exchange.metadata.not_executed or exchange.status == HTTPStatus.MISDIRECTED_REQUEST:
            return Err(self._record_refusal(exchange))
        if exchange.status != HTTPStatus.OK or not exchange.metadata.signed:
            return Err(self._record_failed_response(exchange))
        return Ok(self.source)

    def close(self) -> None:
        """Release the placement, and cancel the request if the engine still runs it."""
        if self.source is not None:
            self.source.exchange.abort()
        self._context.queue.release(self.placement)

    def last_received_s(self) -> float:
        """Return when the request was sent or bytes last arrived, in active time."""
        return self.sent_s if self.source is None else self.source.last_received_s

    def first_event_timeout_s(self) -> float:
        """Return the longest expected silence before the first event."""
        return max(
            self._call.route.objective_ms / 1000,
            FIRST_EVENT_FACTOR * self.placement.call.predicted_ms / 1000,
            MIN_SILENCE_S,
        )

    def silence_timeout_s(self) -> float:
        """Return the longest expected silence at the current position in the stream."""
        if self.placement.call.in_prefill:
            return self.first_event_timeout_s()
        return max(MIN_SILENCE_S, SILENCE_FACTOR * self._call.route.pause_objective_ms / 1000)

    def record_complete(self) -> None:
        """Record that the stream was complete."""
        assert self.source is not None
        self.placement.server.health.record_success()
        framing = self.source.exchange.response.head.framing
        self._context.suspects.record_complete(self.placement.server, self._call, framing)

    def record_events(self, count: int) -> None:
        """Record that complete events have arrived.

        An engine that goes on for a while after it began to write has survived the parts of the
        prompt, which it had read by then. It may still end under the request as a whole.
        """
        now_s = asyncio.get_running_loop().time()
        if self._first_event_s is None:
            self._first_event_s = now_s
        self._event_count += count
        if self._parts_survived or self._event_count < SURVIVED_EVENTS:
            return
        if now_s - self._first_event_s >= SURVIVED_S:
            self._parts_survived = True
            self._context.suspects.record_success(self.placement.server, self._call.parts)

    def record_silence(self) -> None:
        """Record that the engine is silent, so that new requests prefer other engines."""
        self._excluded.instances.add(self.instance)
        if self._failure_recorded:
            return
        self._context.suspects.record_interruption(self.placement.server, self._call)
        self._record_failure()
        log.warning("engine is silent", **self._log_fields())

    def record_lost(self, failure: Failure) -> None:
        """Record that the engine got the request and did not complete it."""
        self._excluded.instances.add(self.instance)
        self._excluded.lost_domains.add(self.placement.server.instance.failure_domain)
        self._context.suspects.record_interruption(self.placement.server, self._call)
        self._record_failure()
        log.warning("stream broken", **self._log_fields(), failure=str(failure))

    def _record_failure(self) -> None:
        """Count one failure of the engine, even if it shows both as silence and a broken stream."""
        if self._failure_recorded:
            return
        self._failure_recorded = True
        server, now_s = self.placement.server, asyncio.get_running_loop().time()
        server.record_interruption(now_s)
        if self.placement.call.in_prefill:
            lateness_ms = active_time.active_since_s(self.placement.call.placed_s) * 1000
            lateness_ms -= self.placement.call.predicted_ms
            server.record_lateness(max(0.0, lateness_ms), now_s)

    def _log_fields(self) -> dict[str, object]:
        call = self._call
        return {
            "request": call.request_id,
            "fingerprint": short_fingerprint(call.fingerprint),
            "parts": [short_fingerprint(part) for part in call.parts],
            "instance": self.instance,
            "address": self.placement.server.instance.address,
            "reading": self.placement.call.in_prefill,
            "silent_ms": round(call.silent_s() * 1000),
            "held_up_ms": round(call.stalled_s() * 1000),
        }

    def _record_failed_response(self, exchange: Exchange) -> Failure:
        self.placement.server.health.record_failure(asyncio.get_running_loop().time())
        self._excluded.instances.add(self.instance)
        self.failed_response = exchange
        log.warning(
            "engine failed",
            request=self._call.request_id,
            instance=self.instance,
            status=exchange.status,
            signed=exchange.metadata.signed,
        )
        return Failure(code=Code.ENGINE_FAILED, detail=f"status {exchange.status}")

    def _record_attempt_failure(self, error: AttemptFailure) -> Failure:
        if error.may_have_run:
            if self._call.body.failure is None:
                self.record_lost(error.failure)
            return error.failure
        self._excluded.instances.add(self.instance)
        if error.end is AttemptEnd.WITHHELD:
            self._uncount()
            log.info(
                "request not sent to the engine",
                request=self._call.request_id,
                failure=str(error.failure),
            )
            return error.failure
        self._call.attempts -= 1
        if error.end is AttemptEnd.NOT_SENT:
            self.placement.server.health.record_unreachable(asyncio.get_running_loop().time())
        log.warning(
            "attempt not sent",
            request=self._call.request_id,
            instance=self.instance,
            failure=str(error.failure),
        )
        return error.failure

    def _uncount(self) -> None:
        """Uncount the attempt, because nothing of it was sent."""
        self._call.attempts -= 1
        self._call.sends -= 1
        if self._call.sends:
            self._context.budget.refund(self._call.service)

    def _record_refusal(self, exchange: Exchange) -> Failure:
        """Record that the engine states that it did not run the request."""
        self._call.attempts -= 1
        self._excluded.instances.add(self.instance)
        if exchange.metadata.instance not in (None, self.instance):
            self._context.directory.record_instance_mismatch(self.instance)
        log.info(
            "engine refused",
            request=self._call.request_id,
            instance=self.instance,
            status=exchange.status,
            expected_version=self.placement.expected_version,
        )
        return Failure(code=Code.BACKEND_REFUSED, detail=f"status {exchange.status}")


__all__ = ["ExcludedEngines", "StreamAttempt", "StreamContext"]
