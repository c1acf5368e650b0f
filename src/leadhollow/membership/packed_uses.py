"""Compact encoding of uses of engines, typically three bytes per engine.

Uses are the most frequent content of a feed, and smaller messages can be sent more often. Three
variable-length integers with seven bits per byte describe each engine: the gap between its number
and the previous one, its requests, and its unread prompt tokens in steps.
"""

from __future__ import annotations

from collections.abc import Iterator

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.membership.uses import Use

UNREAD_STEP_TOKENS = 32
"""Unit of unread tokens, rounded up. An engine reads one step in 1 to 3 ms, and the tokens of two
usual prompts fit into one byte."""

_CONTINUATION = 0x80
_PAYLOAD = 0x7F
_MAX_SHIFT = 35  # a longer integer is corrupt


def pack_uses(uses: dict[int, Use]) -> bytes:
    """Encode uses, which are keyed by engine number."""
    packed = bytearray()
    previous = -1
    for number in sorted(uses):
        use = uses[number]
        _append_varint(packed, number - previous - 1)
        _append_varint(packed, use.requests)
        _append_varint(packed, -(-use.unread_tokens // UNREAD_STEP_TOKENS))
        previous = number
    return bytes(packed)


def unpack_uses(packed: bytes) -> Result[dict[int, Use], Failure]:
    """Decode uses, keyed by engine number.

    Errors
    ------
    FRAME_MALFORMED
        The bytes end within an engine's integers, or an integer is too long.
    """
    uses: dict[int, Use] = {}
    previous = -1
    values = _read_varints(packed)
    try:
        for gap in values:
            previous += gap + 1
            requests = next(values)
            unread_tokens = next(values) * UNREAD_STEP_TOKENS
            uses[previous] = Use(requests=requests, unread_tokens=unread_tokens)
    except (StopIteration, ValueError):
        return Err(Failure(code=Code.FRAME_MALFORMED, detail="uses end within an engine"))
    return Ok(uses)


def _append_varint(packed: bytearray, value: int) -> None:
    while value > _PAYLOAD:
        packed.append(value & _PAYLOAD | _CONTINUATION)
        value >>= 7
    packed.append(value)


def _read_varints(packed: bytes) -> Iterator[int]:
    """Yield the integers one by one.

    Raises
    ------
    ValueError
        The last integer is incomplete, or one is too long.
    """
    value = shift = 0
    for byte in packed:
        value |= (byte & _PAYLOAD) << shift
        shift += 7
        if byte <= _PAYLOAD:
            yield value
            value = shift = 0
        elif shift >= _MAX_SHIFT:
            raise ValueError
    if shift:
        raise ValueError


__all__ = ["UNREAD_STEP_TOKENS", "pack_uses", "unpack_uses"]
