"""Requests as a server connection passes them on, and the limits that it enforces."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from leadhollow.http1.body import IncomingBody
from leadhollow.http1.messages import RequestHead
from leadhollow.http1.reply import ReplyWriter


class HttpLimits:
    """Size limits and timeouts for requests of callers.

    Both timeouts count active time only, so a stall of the event loop does not expire them.

    Parameters
    ----------
    header_bytes, body_bytes
        Largest head and body of a request.
    header_timeout_ms
        Time between the first byte of a request and the end of its head.
    idle_timeout_ms
        Time for which a connection without a request stays open.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_timeout_ms", "idle_timeout_ms")

    def __init__(
        self,
        *,
        header_bytes: int = 16 * 1024,
        body_bytes: int = 4 * 1024 * 1024,
        header_timeout_ms: int = 3_000,
        idle_timeout_ms: int = 15_000,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class MemoryUse(Protocol):
    """Something that takes memory on behalf of a request."""

    def held_bytes(self) -> int:
        """Return the memory that it takes."""
        ...

    def free(self) -> None:
        """Drop what it holds at once; the request has been given up."""
        ...


class IncomingRequest:
    """A request whose head was received; its body may still arrive.

    Parameters
    ----------
    received_s
        Loop time at which the head was complete.
    head_bytes
        Memory that the head takes.

    Attributes
    ----------
    uses
        What else takes memory until the request ends; its handler adds them.
    """

    __slots__ = ("_head_bytes", "body", "head", "keep_alive", "received_s", "uses")

    def __init__(
        self, *, head: RequestHead, body: IncomingBody, received_s: float, head_bytes: int = 0
    ) -> None:
        self.head = head
        self.body = body
        self.received_s = received_s
        self.keep_alive = True
        self._head_bytes = head_bytes
        self.uses: list[MemoryUse] = []

    def held_bytes(self) -> int:
        """Return the memory that the request and its handling take."""
        used = sum(use.held_bytes() for use in self.uses)
        return self._head_bytes + self.body.held_bytes() + used

    def free(self) -> None:
        """Drop what the request holds at once; it has been given up."""
        self.body.discard()
        for use in self.uses:
            use.free()


Handler = Callable[[IncomingRequest, ReplyWriter], Awaitable[None]]

__all__ = ["Handler", "HttpLimits", "IncomingRequest", "MemoryUse"]
