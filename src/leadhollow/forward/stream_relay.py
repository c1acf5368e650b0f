"""Relays complete events of one engine after another to a caller, in order and without gaps."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.engine_request import Placement
from leadhollow.decide.fingerprints import short_fingerprint
from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.event_source import EventSource
from leadhollow.forward.events import Event
from leadhollow.forward.exchange import Exchange
from leadhollow.forward.response_relay import relayed_headers
from leadhollow.http1.messages import Framing
from leadhollow.kernel import active_time
from leadhollow.observe.logs import get_logger

log = get_logger("stream")


class RelayedAttempt(Protocol):
    """Attempt whose events are relayed."""

    def record_events(self, count: int) -> None:
        """Record that complete events have arrived."""
        ...


class StreamRelay:
    """Relays one stream and tracks what its caller has got of it.

    Attributes
    ----------
    started
        Whether the head of the response has been sent to the caller.
    last_event_s
        Loop time at which the caller got its last event; None if it has got none.
    last_event_id
        Id of the last event that was relayed, or after which the caller asked to resume.
    batches_sent
        Number of batches of events that were relayed.
    last_sent_s
        When the last write to the caller completed, in active time, which excludes stalls of the
        event loop.
    writing
        Whether a write waits for the caller to read.
    owner
        Attempt whose events are relayed; events of any other attempt are dropped.
    on_progress
        Called before each batch of events is relayed.
    """

    __slots__ = (
        "_call",
        "_clock",
        "_first_event_s",
        "_longest_pause_s",
        "batches_sent",
        "last_event_id",
        "last_event_s",
        "last_sent_s",
        "on_progress",
        "owner",
        "started",
        "writing",
    )

    def __init__(self, *, call: ForwardedCall) -> None:
        self._call = call
        self._clock = active_time.clock()
        self._first_event_s = 0.0
        self._longest_pause_s = 0.0
        self.started = False
        self.last_event_s: float | None = None
        self.last_event_id = call.metadata.last_event_id
        self.on_progress: Callable[[], None] | None = None
        self.owner: object | None = None
        self.batches_sent = 0
        self.last_sent_s = 0.0
        self.writing = False

    async def run(
        self, attempt: RelayedAttempt, placement: Placement, source: EventSource
    ) -> Result[None, Failure]:
        """Relay complete events until the stream ends or another attempt becomes the owner.

        Errors
        ------
        BACKEND_LOST
            The engine broke off the stream or ended within an event, or another engine took over.
        ENGINE_FAILED
            An event is out of order or too large.
        """
        call = self._call
        call.last_instance = placement.server.instance.instance
        while True:
            read = await source.read()
            if self.owner is not attempt:
                return Err(Failure(code=Code.BACKEND_LOST, detail="another engine goes on"))
            if read.is_err():
                return Err(read.unwrap_err())
            events = read.unwrap()
            if not events:
                self._finish(placement, source.exchange)
                return Ok(None)
            if not self._in_order(events):
                failure = Failure(code=Code.ENGINE_FAILED, detail="events are out of order")
                return Err(failure)
            if placement.call.in_prefill:
                placement.server.record_first_event(placement.call)
                placement.server.health.record_first_event()
                self._record_first_event(placement)
            attempt.record_events(len(events))
            self.batches_sent += 1
            if self.on_progress is not None:
                self.on_progress()
            self._begin_reply(source.exchange)
            self._record_pause()
            self.writing = True
            await call.reply.write(b"".join(event.data for event in events))
            self.writing = False
            self.last_sent_s = self._clock.active_s()

    def _record_pause(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._call.last_contact_s = now_s
        if self.last_event_s is not None:
            self._longest_pause_s = max(self._longest_pause_s, now_s - self.last_event_s)
        self.last_event_s = now_s

    def _in_order(self, events: list[Event]) -> bool:
        """Return whether the event ids continue those already relayed without a gap or a repeat."""
        last_id = self.last_event_id
        for event in events:
            if event.event_id is None:
                continue
            if last_id is not None and event.event_id != last_id + 1:
                return False
            last_id = event.event_id
        self.last_event_id = last_id
        return True

    def _finish(self, placement: Placement, exchange: Exchange) -> None:
        self._begin_reply(exchange)
        self._call.reply.finish()
        exchange.finish()
        self._log_complete(placement, exchange)

    def _begin_reply(self, exchange: Exchange) -> None:
        if self.started:
            return
        self.started = True
        head = exchange.response.head
        length = head.content_length if head.framing is Framing.LENGTH else None
        fields = relayed_headers(exchange)
        # another engine may resume a repeatable stream, so its length is not known
        length = None if self._call.route.repeatable else length
        self._call.reply.start(head.status, fields, reason=head.reason, content_length=length)

    def _record_first_event(self, placement: Placement) -> None:
        now_s = asyncio.get_running_loop().time()
        self._first_event_s = self._first_event_s or now_s
        took_ms = self._clock.active_since_s(placement.call.placed_s) * 1000
        placement.server.record_lateness(took_ms - placement.call.predicted_ms, now_s)
        log.info(
            "first event",
            request=self._call.request_id,
            instance=placement.server.instance.instance,
            after_ms=round((now_s - self._call.received_s) * 1000),
            engine_ms=round((now_s - placement.call.placed_s) * 1000),
            predicted_ms=round(placement.call.predicted_ms),
        )

    def _log_complete(self, placement: Placement, exchange: Exchange) -> None:
        now_s = asyncio.get_running_loop().time()
        log.info(
            "stream complete",
            request=self._call.request_id,
            fingerprint=short_fingerprint(self._call.fingerprint),
            instance=placement.server.instance.instance,
            after_ms=round((now_s - self._call.received_s) * 1000),
            first_ms=round((self._first_event_s - self._call.received_s) * 1000),
            longest_pause_ms=round(self._longest_pause_s * 1000),
            last_event_id=self.last_event_id,
            attempts=self._call.attempts,
            **exchange.log_fields(),
        )


__all__ = ["RelayedAttempt", "StreamRelay"]
