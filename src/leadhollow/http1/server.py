"""HTTP server for callers, operators and announcements."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.connection_set import ConnectionSet
from leadhollow.http1.incoming_request import Handler, HttpLimits
from leadhollow.http1.server_connection import ServerConnection
from leadhollow.overload.memory import CallerMemory
from leadhollow.settings.address import Address

BACKLOG = 1_024  # listen queue; if it overflows, callers retry their SYN after seconds
IDLE_POLL_S = 0.05


class HttpServer:
    """Accepts connections and passes their requests to a handler.

    Parameters
    ----------
    address
        Address to listen on; port 0 takes a free port.
    handler
        Handles each request.
    limits
        Returns the limits that apply now.
    memory
        Account of what callers make the process hold; by default one of this server alone.
    max_connections
        Largest number of connections; None without a bound.
    """

    __slots__ = ("_closing", "_connections", "_handler", "_limits", "_server", "address")

    def __init__(
        self,
        *,
        address: Address,
        handler: Handler,
        limits: Callable[[], HttpLimits] = HttpLimits,
        memory: CallerMemory | None = None,
        max_connections: int | None = None,
    ) -> None:
        self.address = address
        self._handler = handler
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._connections = ConnectionSet[ServerConnection](
            memory=memory or CallerMemory(), max_count=max_connections
        )
        self._closing = False

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress or response bytes not sent yet."""
        return sum(
            1 for connection in self._connections if connection.busy or connection.has_unsent_bytes
        )

    async def start(self) -> Result[None, Failure]:
        """Open the listener.

        Errors
        ------
        ADDRESS_IN_USE
            The listener cannot be opened on the address.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                self._make_connection, self.address.host, self.address.port, backlog=BACKLOG
            )
        except OSError as error:
            return Err(Failure(code=Code.ADDRESS_IN_USE, detail=f"{self.address}: {error}"))
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(host=self.address.host, port=port)
        return Ok(None)

    def announce_close(self) -> None:
        """Send ``Connection: close`` with every response from now on."""
        self._closing = True

    def stop_accepting(self) -> None:
        """Close the listener and all idle connections."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            connection.close_if_idle()

    async def wait_idle(self, deadline_s: float) -> bool:
        """Wait until no connection is busy; return False if some are at the deadline.

        Parameters
        ----------
        deadline_s
            Loop time until which to wait.
        """
        loop = asyncio.get_running_loop()
        while self.busy_count:
            if loop.time() >= deadline_s:
                return False
            await asyncio.sleep(IDLE_POLL_S)
        return True

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self.stop_accepting()
        await asyncio.sleep(0)
        for connection in self._connections:
            connection.abort()

    def _make_connection(self) -> ServerConnection:
        return ServerConnection(
            handler=self._handler,
            limits=self._limits,
            is_closing=lambda: self._closing,
            connections=self._connections,
        )


__all__ = ["HttpServer"]
