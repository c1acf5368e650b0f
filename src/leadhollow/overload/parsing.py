"""Bounds the processor's time that goes into input which is costly to parse."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger
from leadhollow.observe.repeated_line import RepeatedLine

COSTLY_PARTS = 256  # fewer parts are never costly
COSTLY_PART_BYTES = 64  # larger parts cost little more than one piece, which is parsed at once
COSTLY_SHARE = 0.25  # of the time, which costly input of all connections together may take

log = get_logger("overload")


class ParsingBudget:
    """Spreads costly input over time, for all connections of a listener together.

    A body in chunks of a few bytes takes many times as long to parse as the same bytes in one
    piece. Connections that send such bodies are read in turn, with pauses in between.

    Parameters
    ----------
    clock
        Returns the time in seconds; it also advances within one turn of the event loop.
    """

    __slots__ = ("_free_s", "_line", "clock")

    def __init__(self, *, clock: Callable[[], float] = clocks.processing_s) -> None:
        self.clock = clock
        self._free_s = 0.0  # time at which costly input may be parsed again
        self._line = RepeatedLine(log=log, message="callers send bodies in many small parts")

    def record(self, *, parts: int, size_bytes: int, began_s: float) -> float:
        """Record that input was parsed; return the time in seconds to wait before more of it.

        Parameters
        ----------
        parts
            Parts of bodies in which it came.
        size_bytes
            Its size.
        began_s
            When parsing began.
        """
        if parts <= COSTLY_PARTS or parts * COSTLY_PART_BYTES <= size_bytes:
            return 0.0
        now_s = self.clock()
        self._free_s = max(self._free_s, began_s) + (now_s - began_s) / COSTLY_SHARE
        wait_s = self._free_s - now_s
        self._line.log(parts=parts, wait_s=round(wait_s, 3))
        return wait_s


__all__ = ["COSTLY_PARTS", "COSTLY_PART_BYTES", "COSTLY_SHARE", "ParsingBudget"]
