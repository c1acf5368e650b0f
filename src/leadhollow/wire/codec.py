"""Encoding and decoding of frames with thrift's compact protocol."""

from __future__ import annotations

import struct

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import Header
from leadhollow.wire.messages import BODY_NUMBERS, BODY_TYPES, Body, FrameKind

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 20 * 1024 * 1024
LAST_KIND = max(FrameKind)


class Frame:
    """One decoded frame."""

    __slots__ = ("body", "call_id", "code", "detail", "kind")

    def __init__(
        self,
        *,
        kind: FrameKind,
        call_id: int,
        body: Body = None,
        code: int = 0,
        detail: str = "",
    ) -> None:
        self.kind = kind
        self.call_id = call_id
        self.body = body
        self.code = code
        self.detail = detail


class _Collector:
    """Minimal thrift transport that collects written data."""

    __slots__ = ("parts",)

    def __init__(self) -> None:
        self.parts: list[bytes] = [b""]

    def write(self, data: bytes) -> None:
        """Append data."""
        self.parts.append(data)


_collector = _Collector()
_protocol = TCompactProtocolAccelerated(_collector, fallback=False)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with a length prefix.

    Returns
    -------
    bytes
        Length as four big-endian bytes, the header, and the body if there is one.
    """
    body_number = BODY_NUMBERS[type(frame.body)] if frame.body is not None else 0
    header = Header(
        int(frame.kind), frame.call_id, body_number, frame.code or None, frame.detail or None
    )
    parts = _collector.parts
    del parts[1:]
    header.write(_protocol)
    if frame.body is not None:
        frame.body.write(_protocol)
    size = sum(map(len, parts))
    parts[0] = LENGTH.pack(size)
    encoded = b"".join(parts)
    parts[0] = b""
    return encoded


def encode_body(body: Body) -> bytes:
    """Encode a body without a frame, see :func:`decode_body`."""
    parts = _collector.parts
    del parts[1:]
    body.write(_protocol)
    return b"".join(parts)


def decode_body(body_number: int, data: bytes) -> Result[Body, Failure]:
    """Decode a body that was encoded without a frame.

    Errors
    ------
    FRAME_MALFORMED
        The bytes are not a valid body.
    FRAME_TYPE_UNKNOWN
        This release does not know the body number.
    """
    body_type = BODY_TYPES.get(body_number)
    if body_type is None:
        return Err(Failure(code=Code.FRAME_TYPE_UNKNOWN, detail=f"body type {body_number}"))
    body = body_type()
    try:
        body.read(TCompactProtocolAccelerated(TMemoryBuffer(data), fallback=False))
    except Exception as error:  # the C decoder raises many types on malformed input
        return Err(Failure(code=Code.FRAME_MALFORMED, detail=type(error).__name__))
    return Ok(body)


def decode_frame(data: bytes) -> Result[Frame, Failure]:
    """Decode a frame without its length prefix.

    Errors
    ------
    FRAME_MALFORMED
        The bytes are not a valid frame.
    FRAME_TYPE_UNKNOWN
        This release does not know the frame kind or the body number.
    """
    protocol = TCompactProtocolAccelerated(TMemoryBuffer(data), fallback=False)
    header = Header()
    try:
        header.read(protocol)
        kind = header.kind
        body_number = header.body_type
        if not isinstance(kind, int) or not isinstance(header.call_id, int):
            return Err(Failure(code=Code.FRAME_MALFORMED, detail="the header lacks a field"))
        if not 1 <= kind <= LAST_KIND:
            return Err(Failure(code=Code.FRAME_TYPE_UNKNOWN, detail=f"frame kind {kind}"))
        body = None
        if body_number:
            body_type = BODY_TYPES.get(body_number)
            if body_type is None:
                return Err(Failure(code=Code.FRAME_TYPE_UNKNOWN, detail=f"body type {body_number}"))
            body = body_type()
            body.read(protocol)
    except Exception as error:  # the C decoder raises many types on malformed input
        return Err(Failure(code=Code.FRAME_MALFORMED, detail=type(error).__name__))
    return Ok(
        Frame(
            kind=FrameKind(kind),
            call_id=header.call_id,
            body=body,
            code=header.code or 0,
            detail=header.detail or "",
        )
    )


__all__ = [
    "LENGTH",
    "MAX_FRAME_BYTES",
    "Frame",
    "decode_body",
    "decode_frame",
    "encode_body",
    "encode_frame",
]
