"""HTTP server on loopback for the stand-ins."""

from __future__ import annotations

from aiohttp import web


class StandinServer:
    """Serves one aiohttp application on a loopback port.

    Parameters
    ----------
    application
        Application with the routes of the stand-in.
    """

    __slots__ = ("_application", "_runner", "port")

    def __init__(self, *, application: web.Application) -> None:
        self._application = application
        self._runner: web.AppRunner | None = None
        self.port = 0

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on the given port; 0 chooses a free one."""
        self._runner = web.AppRunner(
            self._application, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        tcp_site = web.TCPSite(self._runner, "127.0.0.1", port, backlog=1024)
        await tcp_site.start()
        self.port = self._runner.addresses[0][1]

    async def crash(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._runner is None:
            return
        for site in list(self._runner.sites):
            await site.stop()
        server = self._runner.server
        for handler in [] if server is None else list(server.connections):
            if handler.transport is not None:
                handler.transport.abort()

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


__all__ = ["StandinServer"]
