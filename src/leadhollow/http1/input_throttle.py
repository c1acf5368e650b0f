"""Passes received bytes to a parser, and delays those that are costly to parse."""

from __future__ import annotations

import asyncio
from typing import Protocol

from leadhollow.overload.parsing import COSTLY_PARTS, ParsingBudget

MIN_PART_BYTES = 6  # of a chunk with one byte
FREE_BYTES = COSTLY_PARTS * MIN_PART_BYTES  # so few bytes are never costly


class InputParser(Protocol):
    """Parser of one connection's input."""

    @property
    def part_count(self) -> int:
        """Parts of bodies that were parsed so far."""
        ...

    @property
    def step_bytes(self) -> int:
        """Largest step in which to parse a head, or costly input."""
        ...

    @property
    def in_body(self) -> bool:
        """Whether the next byte belongs to a body."""
        ...

    def parse(self, data: bytes | memoryview) -> None:
        """Parse some bytes."""
        ...


class InputThrottle:
    """Input of one connection.

    Reading from the socket is paused while the reader of a body asks for it, and while costly input
    waits for its turn.

    Parameters
    ----------
    parser
        Gets the bytes.
    budget
        Processor's time that costly input of all connections may take.
    """

    __slots__ = ("_budget", "_costly", "_parser", "_reader_paused", "_rest", "_timer", "_transport")

    def __init__(self, *, parser: InputParser, budget: ParsingBudget) -> None:
        self._parser = parser
        self._budget = budget
        self._transport: asyncio.Transport | None = None
        self._rest: memoryview | None = None  # waits for its turn
        self._timer: asyncio.TimerHandle | None = None
        self._costly = False
        self._reader_paused = False

    def connect(self, transport: asyncio.Transport) -> None:
        """Set the transport that is read from."""
        self._transport = transport

    def feed(self, data: bytes) -> None:
        """Parse received bytes, or let them wait."""
        if self._timer is not None:
            self._rest = memoryview(bytes(self._rest or b"") + data)
        elif len(data) <= FREE_BYTES:
            self._parser.parse(data)
        else:
            self._parse_in_steps(memoryview(data))

    def held_bytes(self) -> int:
        """Return the memory that waiting input takes."""
        return 0 if self._rest is None else len(self._rest.obj)  # type: ignore[arg-type]

    def drop(self) -> None:
        """Drop waiting input, and read what follows at once."""
        self._rest = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._apply()

    def close(self) -> None:
        """Drop waiting input and the parser, as the connection has ended."""
        self.drop()
        del self._parser  # it refers to this object

    def pause(self) -> None:
        """Pause reading for the reader of a body."""
        self._reader_paused = True
        self._apply()

    def resume(self) -> None:
        """Read on for the reader of a body."""
        self._reader_paused = False
        self._apply()

    def _parse_in_steps(self, rest: memoryview) -> None:
        parser, budget = self._parser, self._budget
        while rest:
            whole = parser.in_body and not self._costly
            step = rest if whole else rest[: parser.step_bytes]
            parts_before, began_s = parser.part_count, budget.clock()
            parser.parse(step)
            rest = rest[len(step) :]
            parts = parser.part_count - parts_before
            wait_s = budget.record(parts=parts, size_bytes=len(step), began_s=began_s)
            self._costly = wait_s > 0
            if self._costly:
                self._rest = rest or None
                self._timer = asyncio.get_running_loop().call_later(wait_s, self._go_on)
                self._apply()
                return

    def _go_on(self) -> None:
        rest, self._rest, self._timer = self._rest, None, None
        if rest:
            self._parse_in_steps(rest)
        if self._timer is None:
            self._apply()

    def _apply(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._reader_paused or self._timer is not None:
            transport.pause_reading()
        else:
            transport.resume_reading()


__all__ = ["InputThrottle"]
