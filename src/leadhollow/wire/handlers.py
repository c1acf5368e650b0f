"""Table of handlers for incoming messages, by body type."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeAlias

from result import Result

from leadhollow.failure import Failure
from leadhollow.wire.messages import Body
from leadhollow.wire.traffic import WireTraffic

if TYPE_CHECKING:
    from leadhollow.wire.connection import Connection
    from leadhollow.wire.streams import StreamSink

CallHandler: TypeAlias = Callable[[Body, "Connection"], Awaitable[Result[Body, Failure]]]
OnewayHandler: TypeAlias = Callable[[Body, "Connection"], None]
StreamHandler: TypeAlias = Callable[[Body, "StreamSink"], Awaitable[Result[Body | None, Failure]]]


class HandlerTable:
    """Handlers of a process, by body type.

    Attributes
    ----------
    traffic
        Byte counters of the connections that use these handlers.
    """

    __slots__ = ("_calls", "_oneways", "_streams", "traffic")

    def __init__(self) -> None:
        self.traffic = WireTraffic()
        self._calls: dict[type[Any], CallHandler] = {}
        self._oneways: dict[type[Any], OnewayHandler] = {}
        self._streams: dict[type[Any], StreamHandler] = {}

    def on_call(self, body_type: type[Any], handler: CallHandler) -> None:
        """Register a handler that responds to requests of this type with one body."""
        self._calls[body_type] = handler

    def on_stream(self, body_type: type[Any], handler: StreamHandler) -> None:
        """Register a handler that responds to requests of this type with a stream of bodies.

        The handler writes the bodies to its sink. Its result is the last body, or None.
        """
        self._streams[body_type] = handler

    def on_oneway(self, body_type: type[Any], handler: OnewayHandler) -> None:
        """Register a handler of one-way messages of this type; it must not block."""
        self._oneways[body_type] = handler

    def oneway_handler(self, body: Body) -> OnewayHandler | None:
        """Return the handler of a one-way message, or None."""
        return self._oneways.get(type(body))

    def call_handler(self, body: Body) -> CallHandler | None:
        """Return the handler that responds to a request with one body, or None."""
        return self._calls.get(type(body))

    def stream_handler(self, body: Body) -> StreamHandler | None:
        """Return the handler that responds to a request with a stream, or None."""
        return self._streams.get(type(body))


__all__ = ["CallHandler", "HandlerTable", "OnewayHandler", "StreamHandler"]
