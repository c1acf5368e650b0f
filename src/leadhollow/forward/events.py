"""Splits a ``text/event-stream`` body into complete events and reads their ids."""

from __future__ import annotations

EVENT_END = b"\n\n"
CRLF_EVENT_END = b"\r\n\r\n"
MAX_EVENT_BYTES = 1024 * 1024
FIELDS = frozenset({b"data", b"event", b"id", b"retry"})
BYTE_ORDER_MARK = b"\xef\xbb\xbf"  # may begin a stream


class Event:
    """One complete event of a stream.

    Parameters
    ----------
    data
        Raw bytes of the event, including the blank line that ends it.
    event_id
        Numeric id; None if the event has none.
    """

    __slots__ = ("data", "event_id")

    def __init__(self, *, data: bytes, event_id: int | None) -> None:
        self.data = data
        self.event_id = event_id

    def is_proper(self, other_fields: frozenset[bytes]) -> bool:
        """Return whether all lines are fields of an event or comments.

        Another response that begins within a stream is neither.

        Parameters
        ----------
        other_fields
            Names of fields that an event may have beside the usual ones.
        """
        for line in self.data.removeprefix(BYTE_ORDER_MARK).splitlines():
            name = line.partition(b":")[0]
            if name and name not in FIELDS and name not in other_fields:
                return False
        return True


class EventSplitter:
    """Splits a byte stream into complete events and buffers the incomplete rest."""

    __slots__ = ("_buffer", "_searched")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0  # length of the buffer's prefix that contains no event end

    @property
    def remainder(self) -> bytes:
        """Buffered bytes of an incomplete event."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Number of buffered bytes."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        buffer = self._buffer
        buffer += data
        events = []
        while (end := _event_end(buffer, self._searched)) >= 0:
            part = bytes(buffer[:end])
            del buffer[:end]
            self._searched = 0
            events.append(Event(data=part, event_id=_event_id(part)))
        self._searched = max(0, len(buffer) - len(CRLF_EVENT_END) + 1)
        return events


def _event_end(buffer: bytearray, start: int) -> int:
    """Return the offset behind the first event end at or after ``start``; -1 if there is none."""
    ends = [
        position + len(terminator)
        for terminator in (EVENT_END, CRLF_EVENT_END)
        if (position := buffer.find(terminator, start)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None


__all__ = ["MAX_EVENT_BYTES", "Event", "EventSplitter"]
