"""Reads the response of one engine as complete events."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.forward.events import MAX_EVENT_BYTES, Event, EventSplitter
from leadhollow.forward.exchange import Exchange
from leadhollow.kernel import active_time


class EventSource:
    """Reads a response event by event; events that arrived together are returned together.

    Parameters
    ----------
    exchange
        Exchange with a successful response of an engine.

    Attributes
    ----------
    last_received_s
        When bytes last arrived, in active time, which excludes stalls of the event loop.
    """

    __slots__ = ("_clock", "_splitter", "_unread", "exchange", "last_received_s")

    def __init__(self, *, exchange: Exchange) -> None:
        self.exchange = exchange
        self._splitter = EventSplitter()
        self._unread: list[Event] | None = None
        self._clock = active_time.clock()
        self.last_received_s = self._clock.active_s()

    async def read(self) -> Result[list[Event], Failure]:
        """Return the next events, or an empty list at the end of the response.

        Errors
        ------
        BACKEND_LOST
            The engine closed the connection early, or ended the response within an event.
        ENGINE_FAILED
            An event is too large, or is no event.
        """
        if self._unread is not None:
            unread, self._unread = self._unread, None
            return Ok(unread)
        while True:
            read = await self.exchange.read()
            if read.is_err():
                return Err(read.unwrap_err())
            data = read.unwrap()
            if not data:
                return self._check_end()
            self.last_received_s = self._clock.active_s()
            events = self._splitter.feed(data)
            other_fields = self.exchange.metadata.event_fields
            if not all(event.is_proper(other_fields) for event in events):
                detail = "the stream holds what is no event, as of another response"
                return Err(Failure(code=Code.ENGINE_FAILED, detail=detail))
            if events:
                return Ok(events)
            if self._splitter.buffered_bytes > MAX_EVENT_BYTES:
                return Err(Failure(code=Code.ENGINE_FAILED, detail="an event is too large"))

    def unread(self, events: list[Event]) -> None:
        """Push events back; the next read returns them again."""
        self._unread = events

    def _check_end(self) -> Result[list[Event], Failure]:
        if self._splitter.remainder.strip():
            detail = "the stream ends within an event"
            return Err(Failure(code=Code.BACKEND_LOST, detail=detail))
        return Ok([])


__all__ = ["EventSource"]
