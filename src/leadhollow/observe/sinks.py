"""Ways to write to a descriptor without waiting for whoever reads it.

The file description of standard error is shared with whoever started the process and with all who
were given it too. Making it non-blocking would have their writes refused, so it stays as it is.
"""

from __future__ import annotations

import os
import select
import socket
import stat
from typing import Protocol


class Sink(Protocol):
    """Takes bytes."""

    def write(self, data: bytes) -> int:
        """Write what there is room for; gives how many bytes that was.

        Raises
        ------
        BlockingIOError
            There is no room now.
        OSError
            Nothing can be written.
        """


class DirectSink:
    """Writes to a file, or to a description of our own that does not block."""

    __slots__ = ("_descriptor",)

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor

    def write(self, data: bytes) -> int:
        """Write what there is room for."""
        return os.write(self._descriptor, data)


class SocketSink:
    """Writes to a socket; that it must not wait is said with each call."""

    __slots__ = ("_socket",)

    def __init__(self, *, descriptor: int) -> None:
        self._socket = socket.socket(fileno=os.dup(descriptor))

    def write(self, data: bytes) -> int:
        """Write what there is room for."""
        return self._socket.send(data, socket.MSG_DONTWAIT)


class PolledSink:
    """Asks before each write whether there is room, which holds for so much as is written at once.

    Another process that fills a shared pipe between the two can still make the write wait.
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
            return True  # asking is refused here; lines matter more than a wait


def open_sink(descriptor: int) -> Sink:
    """Find the way that fits what a descriptor stands for."""
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
    """Open what a descriptor stands for once more, for writes that do not block.

    Raises
    ------
    OSError
        It is refused, or something else was opened.
    """
    flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
    opened = os.open(f"/proc/self/fd/{descriptor}", flags)
    try:
        same = os.path.sameopenfile(opened, descriptor) and not os.get_blocking(opened)
    except OSError:
        same = False
    if not same:
        os.close(opened)
        raise OSError
    return opened


__all__ = ["DirectOutlet", "Outlet", "PolledOutlet", "SocketOutlet", "open_outlet"]
