"""Whole events of one engine's answer."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.forward.events import LARGEST_EVENT_BYTES, Event, EventSplitter
from leadhollow.forward.exchange import Exchange
from leadhollow.kernel import active_time


class EventSource:
    """Reads an answer event by event; several that arrived together are given together.

    Parameters
    ----------
    exchange
        A successful answer of an engine.

    Attributes
    ----------
    heard_s
        When bytes last came, by the clock of what could be heard.
    """

    __slots__ = ("_clock", "_kept", "_splitter", "exchange", "last_received_s")

    def __init__(self, *, exchange: Exchange) -> None:
        self.exchange = exchange
        self._splitter = EventSplitter()
        self._kept: list[Event] | None = None
        self._clock = active_time.clock()
        self.last_received_s = self._clock.active_s()

    async def read(self) -> Result[list[Event], Failure]:
        """Give the next events, none at the end of the answer.

        Errors
        ------
        BACKEND_LOST
            The engine broke off, or ended within an event.
        ENGINE_FAILED
            An event is too large.
        """
        if self._kept is not None:
            kept, self._kept = self._kept, None
            return Ok(kept)
        while True:
            read = await self.exchange.read()
            if read.is_err():
                return Err(read.unwrap_err())
            data = read.unwrap()
            if not data:
                return self._ended()
            self.last_received_s = self._clock.active_s()
            events = self._splitter.feed(data)
            if events:
                return Ok(events)
            if self._splitter.buffered_bytes > LARGEST_EVENT_BYTES:
                return Err(Failure(code=Code.ENGINE_FAILED, detail="an event is too large"))

    def unread(self, events: list[Event]) -> None:
        """Give these events once more with the next read."""
        self._kept = events

    def _ended(self) -> Result[list[Event], Failure]:
        if self._splitter.remainder.strip():
            detail = "the stream ends within an event"
            return Err(Failure(code=Code.BACKEND_LOST, detail=detail))
        return Ok([])


__all__ = ["EventSource"]
