"""Lets the kernel end connections that went silent, which nothing else would show."""

from __future__ import annotations

import asyncio
import socket

UNACKNOWLEDGED_LIMIT_MS = 2_000
"""Sent bytes that nobody acknowledged for so long end the connection. Links between failure domains
take milliseconds, a squeezed one a few tenths of a second."""

KEEPALIVE_IDLE_S = 1  # without a byte from the peer
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(writer: asyncio.StreamWriter) -> None:
    """Set up the socket of a connection so that a peer that is gone without a word is noticed."""
    opened = writer.get_extra_info("socket")
    if opened is None or opened.family not in (socket.AF_INET, socket.AF_INET6):
        return
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


__all__ = ["PROBE_AFTER_S", "UNACKNOWLEDGED_LIMIT_MS", "end_when_silent"]
