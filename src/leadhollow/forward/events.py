"""Whole events of a stream (``text/event-stream``), and where a stream stands."""

from __future__ import annotations

EVENT_END = b"\n\n"
CARRIAGE_EVENT_END = b"\r\n\r\n"
LARGEST_EVENT_BYTES = 1024 * 1024


class Event:
    """One whole event.

    Parameters
    ----------
    data
        Its bytes as they came, the blank line included.
    event_id
        Its number; None where it has none.
    """

    __slots__ = ("data", "event_id")

    def __init__(self, *, data: bytes, event_id: int | None) -> None:
        self.data = data
        self.event_id = event_id


class EventSplitter:
    """Cuts bytes into whole events; what is no whole event yet is kept back."""

    __slots__ = ("_buffer", "_searched")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0  # bytes in which no event ends

    @property
    def remainder(self) -> bytes:
        """Bytes of an event that is not whole."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """How many these are."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes and give the events that they complete."""
        buffer = self._buffer
        buffer += data
        events = []
        while (end := _event_end(buffer, self._searched)) >= 0:
            part = bytes(buffer[:end])
            del buffer[:end]
            self._searched = 0
            events.append(Event(data=part, event_id=_event_id(part)))
        self._searched = max(0, len(buffer) - len(CARRIAGE_EVENT_END) + 1)
        return events


def _event_end(buffer: bytearray, from_byte: int) -> int:
    ends = [
        position + len(mark)
        for mark in (EVENT_END, CARRIAGE_EVENT_END)
        if (position := buffer.find(mark, from_byte)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None


__all__ = ["LARGEST_EVENT_BYTES", "Event", "EventSplitter"]
