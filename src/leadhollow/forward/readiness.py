"""Readiness endpoint, by which the load balancer learns whether this entry takes requests."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from result import Result

from leadhollow.failure import Failure
from leadhollow.http1.headers import Headers
from leadhollow.http1.incoming_request import IncomingRequest
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.observe.logs import get_logger
from leadhollow.overload.memory import CallerMemory
from leadhollow.settings.address import Address

log = get_logger("readiness")


class ReadinessListener:
    """Responds 200 while the entry is ready, else 503 with the reason.

    Parameters
    ----------
    reason
        Returns why the entry is not ready; empty while it is ready.
    memory
        Account of what callers make the process hold.
    max_connections
        Largest number of connections.
    """

    __slots__ = ("_last", "_reason", "_server")

    def __init__(
        self,
        *,
        address: Address,
        reason: Callable[[], str],
        memory: CallerMemory | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._reason = reason
        self._last: str | None = None
        self._server = HttpServer(
            address=address,
            handler=self._handle,
            memory=memory,
            max_connections=max_connections,
        )

    async def start(self) -> Result[None, Failure]:
        """Open the listener."""
        return await self._server.start()

    async def drain(self) -> None:
        """Do nothing; ``reason`` reports the draining."""

    async def stop(self) -> None:
        """Close the listener."""
        await self._server.stop()

    async def _handle(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        reason = self._reason()
        if reason != self._last:
            log.info("readiness changed", ready=not reason, reason=reason)
            self._last = reason
        status = HTTPStatus.SERVICE_UNAVAILABLE if reason else HTTPStatus.OK
        await reply.send(status, Headers(), reason.encode())


__all__ = ["ReadinessListener"]
