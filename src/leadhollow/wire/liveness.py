"""Socket options with which the kernel detects dead peers and closes their connections."""

from __future__ import annotations

import asyncio
import socket

UNACKNOWLEDGED_LIMIT_MS = 2_000
"""TCP_USER_TIMEOUT: a connection ends if sent bytes stay unacknowledged for longer. Links between
failure domains take milliseconds, and congested ones a few tenths of a second."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(writer: asyncio.StreamWriter) -> None:
    """Set TCP user timeout and keepalive, so a peer that vanished without a FIN is detected."""
    sock = writer.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


__all__ = ["KEEPALIVE_IDLE_S", "UNACKNOWLEDGED_LIMIT_MS", "enable_dead_peer_detection"]
