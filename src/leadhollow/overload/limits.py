"""Shares of a process's memory and descriptors that callers may take."""

from __future__ import annotations

import os
import resource

CALLERS_MEMORY_SHARE = 0.2

RESERVED_DESCRIPTORS = 256  # files, listeners and pipes
RESERVED_SHARE = 0.25  # the same where few descriptors are allowed
CALLERS_SHARE = 0.4
SERVERS_SHARE = 0.45
BYTES_PER_MB = 1024 * 1024


class ProcessLimits:
    """Memory and descriptors of this process, and the parts that others may take of them.

    The share for connections to servers exceeds that of callers, since a caller's request has one
    connection to a server, or two while it is hedged. The rest is for peers.

    Parameters
    ----------
    memory_mb
        Memory that the process may use, in 2**20 bytes; None for that of the machine.
    max_descriptors
        Descriptors that the process may open; None for the limit of the operating system.
    """

    __slots__ = ("callers_memory_bytes", "max_callers", "max_peers", "max_server_connections")

    def __init__(self, *, memory_mb: int | None, max_descriptors: int | None) -> None:
        memory_bytes = _machine_memory_bytes() if memory_mb is None else memory_mb * BYTES_PER_MB
        self.callers_memory_bytes = int(CALLERS_MEMORY_SHARE * memory_bytes)
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if max_descriptors is not None and not 0 <= allowed <= max_descriptors:
            allowed = max_descriptors
        reserved = min(RESERVED_DESCRIPTORS, int(RESERVED_SHARE * allowed))
        usable = allowed - reserved
        self.max_callers = int(CALLERS_SHARE * usable)
        self.max_server_connections = int(SERVERS_SHARE * usable)
        self.max_peers = usable - self.max_callers - self.max_server_connections

    def log_fields(self) -> dict[str, object]:
        """Return the limits as fields of a log line."""
        return {name: getattr(self, name) for name in self.__slots__}


def _machine_memory_bytes() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


__all__ = ["ProcessLimits"]
