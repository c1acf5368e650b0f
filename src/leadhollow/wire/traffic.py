"""Byte counters of connections between processes, control apart from requests and weights."""

from __future__ import annotations

from typing import Any

from leadhollow.wire.generated.ttypes import (
    ChunkReply,
    ChunkRequest,
    Dispatch,
    Output,
    SliceReply,
)

DATA_BODY_TYPES: frozenset[type[Any]] = frozenset(
    {Dispatch, Output, ChunkRequest, ChunkReply, SliceReply}
)


class WireTraffic:
    """Bytes that one process sent and received.

    Data frames carry requests and weights; all others are control frames.

    Attributes
    ----------
    frames_refused
        Frames that were not sent because they exceed the size limit.
    """

    __slots__ = (
        "control_received_bytes",
        "control_sent_bytes",
        "data_received_bytes",
        "data_sent_bytes",
        "frames_refused",
    )

    def __init__(self) -> None:
        self.control_sent_bytes = 0
        self.control_received_bytes = 0
        self.data_sent_bytes = 0
        self.data_received_bytes = 0
        self.frames_refused = 0

    def record_sent(self, body_type: type[Any], size_bytes: int) -> None:
        """Count an outgoing frame."""
        if body_type in DATA_BODY_TYPES:
            self.data_sent_bytes += size_bytes
        else:
            self.control_sent_bytes += size_bytes

    def record_received(self, body_type: type[Any], size_bytes: int) -> None:
        """Count an incoming frame."""
        if body_type in DATA_BODY_TYPES:
            self.data_received_bytes += size_bytes
        else:
            self.control_received_bytes += size_bytes


__all__ = ["WireTraffic"]
