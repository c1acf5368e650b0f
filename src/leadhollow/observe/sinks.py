"""Sinks that write to a file descriptor without blocking on its reader.

Other processes share the open file description of standard error, such as the parent process.
Setting O_NONBLOCK on it would make their writes fail, so its flags are left as they are.
"""

from __future__ import annotations

import os
import select
import socket
import stat
from typing import Protocol


class Sink(Protocol):
    """Accepts bytes without blocking."""

    def write(self, data: bytes) -> int:
        """Write as many bytes as there is room for, and return their number.

        Raises
        ------
        BlockingIOError
            There is no room now.
        OSError
            The write failed.
        """


class DirectSink:
    """Writes to a regular file, or to a non-blocking file description of this process."""

    __slots__ = ("_descriptor",)

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor

    def write(self, data: bytes) -> int:
        """Write what there is room for."""
        return os.write(self._descriptor, data)


class SocketSink:
    """Writes to a socket, with MSG_DONTWAIT in each call."""

    __slots__ = ("_socket",)

    def __init__(self, *, descriptor: int) -> None:
        self._socket = socket.socket(fileno=os.dup(descriptor))

    def write(self, data: bytes) -> int:
        """Write what there is room for."""
        return self._socket.send(data, socket.MSG_DONTWAIT)


class PolledSink:
    """Polls for room before each write of at most PIPE_BUF bytes.

    The write can still block if another process fills a shared pipe after the poll.
    """

    __slots__ = ("_descriptor", "_poll")

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, data: bytes) -> int:
        """Write what there is room for."""
        if not self._has_room():
            raise BlockingIOError
        return os.write(self._descriptor, data[: select.PIPE_BUF])

    def _has_room(self) -> bool:
        try:
            return bool(self._poll.poll(0))
        except OSError:
            return True  # polling is not permitted; losing lines is worse than blocking


def open_sink(descriptor: int) -> Sink:
    """Return a sink that suits the file type of a descriptor."""
    try:
        kind = stat.S_IFMT(os.fstat(descriptor).st_mode)
        if kind == stat.S_IFREG:
            return DirectSink(descriptor=descriptor)
        if kind == stat.S_IFSOCK:
            return SocketSink(descriptor=descriptor)
        return DirectSink(descriptor=_reopen(descriptor))
    except OSError:
        return PolledSink(descriptor=descriptor)


def _reopen(descriptor: int) -> int:
    """Open the file of a descriptor again, for non-blocking writes.

    Raises
    ------
    OSError
        Opening is not permitted, or another file was opened.
    """
    flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
    reopened = os.open(f"/proc/self/fd/{descriptor}", flags)
    try:
        same = os.path.sameopenfile(reopened, descriptor) and not os.get_blocking(reopened)
    except OSError:
        same = False
    if not same:
        os.close(reopened)
        raise OSError
    return reopened


__all__ = ["DirectSink", "PolledSink", "Sink", "SocketSink", "open_sink"]
