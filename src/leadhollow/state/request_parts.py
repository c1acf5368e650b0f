"""Requests between replicas that are sent in parts because they are too large for one frame.

Each part is answered, so that the sender never has more than one part on its way, a connection
that ends costs one part, and the receiver hears from its leader while a large request arrives.
"""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.wire.codec import decode_body, encode_body
from leadhollow.wire.generated.ttypes import AppendRequest, RequestPart, SnapshotRequest
from leadhollow.wire.messages import BODY_NUMBERS, BODY_TYPES, Body

PART_BYTES = 256 * 1024
"""On a link of 12.5 Mbit/s a part takes a third of the election timeout."""

MAX_REQUEST_BYTES = 256 * 1024 * 1024  # far above any state; a VM has less memory
PARTED_TYPES = (AppendRequest, SnapshotRequest)


class PartedRequest:
    """A request that the leader sends to a follower in parts.

    Parameters
    ----------
    request
        The whole request.
    transfer
        Number that no other parted request of this leader has.
    replica
        The follower.
    """

    __slots__ = ("_data", "_offset", "_replica", "_request", "_transfer")

    def __init__(self, *, request: Body, transfer: int, replica: str) -> None:
        self._request = request
        self._data = encode_body(request)
        self._transfer = transfer
        self._replica = replica
        self._offset = 0

    @property
    def request(self) -> Body:
        """The whole request."""
        return self._request

    def next_part(self) -> RequestPart:
        """Return the part that the follower lacks."""
        return RequestPart(
            self._request.term,
            self._request.leader,
            self._replica,
            self._transfer,
            BODY_NUMBERS[type(self._request)],
            self._offset,
            len(self._data),
            self._data[self._offset : self._offset + PART_BYTES],
        )

    def continue_at(self, received_bytes: int) -> bool:
        """Go on after the bytes that the follower holds; return whether they grew."""
        advanced = received_bytes > self._offset
        self._offset = min(max(0, received_bytes), len(self._data))
        return advanced


class PartAssembler:
    """Puts together the parts of one request at a time.

    A part of another request discards what has been received.
    """

    __slots__ = ("_data", "_key")

    def __init__(self) -> None:
        self._key: tuple[str, int, int] = ("", 0, 0)
        self._data = bytearray()

    @property
    def received_bytes(self) -> int:
        """Number of bytes received of the current request."""
        return len(self._data)

    def add(self, part: RequestPart) -> Result[Body | None, Failure]:
        """Add a part.

        Returns
        -------
        Result
            The whole request after its last part, None before it. A part that does not continue
            what has been received is ignored.

        Errors
        ------
        FRAME_MALFORMED, FRAME_TYPE_UNKNOWN
            The request is no request that may come in parts.
        FRAME_TOO_LARGE
            The whole request is larger than allowed.
        """
        if part.size > MAX_REQUEST_BYTES:
            detail = f"request of {part.size} bytes, {MAX_REQUEST_BYTES} are allowed"
            return Err(Failure(code=Code.FRAME_TOO_LARGE, detail=detail))
        if BODY_TYPES.get(part.body_type) not in PARTED_TYPES:
            detail = f"body type {part.body_type} in parts"
            return Err(Failure(code=Code.FRAME_TYPE_UNKNOWN, detail=detail))
        key = (part.leader, part.term, part.transfer)
        if key != self._key:
            self._key = key
            self._data = bytearray()
        if part.offset != len(self._data):
            return Ok(None)
        self._data += part.data
        if len(self._data) < part.size:
            return Ok(None)
        data = bytes(self._data)
        self.clear()
        return decode_body(part.body_type, data)

    def clear(self) -> None:
        """Discard what has been received."""
        self._key = ("", 0, 0)
        self._data = bytearray()


__all__ = ["MAX_REQUEST_BYTES", "PART_BYTES", "PartAssembler", "PartedRequest"]
