"""Passes one stream on to its caller: whole events, in order, of one engine after the other."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.wish import Placement
from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.events import Event, EventSplitter
from leadhollow.forward.exchange import Exchange
from leadhollow.forward.fingerprint import shown
from leadhollow.forward.passing import passed_fields
from leadhollow.http1.messages import Framing
from leadhollow.kernel import hearing
from leadhollow.kernel.hearing import heard_timeout
from leadhollow.observe.logs import get_logger

STALL_FACTOR = 2.0  # of the pause that a route calls on time; then the stream is taken for dead
SHORTEST_STALL_S = 0.8

log = get_logger("stream")


class StreamRelay:
    """What a caller has got of its stream so far.

    Attributes
    ----------
    begun
        Whether the caller has got the head of the answer.
    last_id
        Number of the last event that was passed on, or after which the caller asked to go on.
    """

    __slots__ = (
        "_call",
        "_first_event_s",
        "_last_event_s",
        "_longest_pause_s",
        "begun",
        "last_id",
    )

    def __init__(self, *, call: ForwardedCall) -> None:
        self._call = call
        self._first_event_s = 0.0
        self._last_event_s = 0.0
        self._longest_pause_s = 0.0
        self.begun = False
        self.last_id = call.facts.last_event_id

    async def run(
        self, placement: Placement, exchange: Exchange, first_by_heard_s: float
    ) -> Result[None, Failure]:
        """Pass whole events on until the stream ends.

        Errors
        ------
        BACKEND_LOST
            The engine broke off, stands still, or ended within an event.
        ENGINE_FAILED
            Its events are out of order.
        """
        call = self._call
        splitter = EventSplitter()
        until_heard_s = first_by_heard_s
        while True:
            try:
                async with heard_timeout(until_heard_s - hearing.heard_s()) as limit:
                    read = await exchange.read()
            except TimeoutError:
                if not limit.expired():
                    raise
                stall = Failure(code=Code.BACKEND_LOST, detail="the stream stands still")
                return Err(stall)
            if read.is_err():
                return Err(read.unwrap_err())
            data = read.unwrap()
            if not data:
                return self._ended(placement, exchange, splitter)
            events = splitter.feed(data)
            if not events:
                continue
            if not self._in_order(events):
                order = Failure(code=Code.ENGINE_FAILED, detail="events are out of order")
                return Err(order)
            if placement.call.reading:
                placement.server.begun(placement.call)
                placement.server.health.note_begun()
                self._note_first_event(placement)
            self._begin_reply(exchange)
            await call.reply.write(b"".join(event.data for event in events))
            self._note_pause()
            until_heard_s = hearing.heard_s() + self._stall_s()

    def _note_pause(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._call.heard_s = now_s
        if self._last_event_s:
            self._longest_pause_s = max(self._longest_pause_s, now_s - self._last_event_s)
        self._last_event_s = now_s

    def _in_order(self, events: list[Event]) -> bool:
        """Check that events follow on each other without a gap or a repeat."""
        for event in events:
            if event.event_id is None:
                continue
            if self.last_id is not None and event.event_id != self.last_id + 1:
                return False
            self.last_id = event.event_id
        return True

    def _ended(
        self, placement: Placement, exchange: Exchange, splitter: EventSplitter
    ) -> Result[None, Failure]:
        if splitter.rest.strip():
            half = Failure(code=Code.BACKEND_LOST, detail="the stream ends within an event")
            return Err(half)
        self._begin_reply(exchange)
        self._call.reply.finish()
        exchange.finish()
        self._log_done(placement)
        return Ok(None)

    def _begin_reply(self, exchange: Exchange) -> None:
        if self.begun:
            return
        self.begun = True
        head = exchange.answer.head
        length = head.content_length if head.framing is Framing.LENGTH else None
        fields = passed_fields(exchange)
        # a stream that another engine may have to go on with must not declare a length
        length = None if self._call.route.repeatable else length
        self._call.reply.start(head.status, fields, reason=head.reason, content_length=length)

    def _note_first_event(self, placement: Placement) -> None:
        now_s = asyncio.get_running_loop().time()
        self._first_event_s = self._first_event_s or now_s
        took_ms = (now_s - placement.call.placed_s) * 1000
        placement.server.note_first_event(took_ms - placement.call.predicted_ms, now_s)
        log.info(
            "first event",
            request=self._call.request_id,
            instance=placement.server.instance.instance,
            after_ms=round((now_s - self._call.received_s) * 1000),
            engine_ms=round((now_s - placement.call.placed_s) * 1000),
            predicted_ms=round(placement.call.predicted_ms),
        )

    def _log_done(self, placement: Placement) -> None:
        now_s = asyncio.get_running_loop().time()
        log.info(
            "stream complete",
            request=self._call.request_id,
            fingerprint=shown(self._call.fingerprint),
            instance=placement.server.instance.instance,
            after_ms=round((now_s - self._call.received_s) * 1000),
            first_ms=round((self._first_event_s - self._call.received_s) * 1000),
            longest_pause_ms=round(self._longest_pause_s * 1000),
            last_event_id=self.last_id,
            attempts=self._call.attempts,
        )

    def _stall_s(self) -> float:
        return max(SHORTEST_STALL_S, STALL_FACTOR * self._call.route.pause_objective_ms / 1000)


__all__ = ["SHORTEST_STALL_S", "StreamRelay"]
