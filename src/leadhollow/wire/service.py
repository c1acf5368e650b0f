"""Service that owns the server and the peer pool of a process."""

from __future__ import annotations

from result import Result

from leadhollow.failure import Failure
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer


class WireService:
    """Starts the server, and closes all connections when it stops."""

    __slots__ = ("peers", "server")

    def __init__(self, *, server: WireServer, peers: PeerPool) -> None:
        self.server = server
        self.peers = peers

    async def start(self) -> Result[None, Failure]:
        """Open the listener."""
        return await self.server.start()

    async def drain(self) -> None:
        """Do nothing: other services need the connections while they drain."""

    async def stop(self) -> None:
        """Close all connections."""
        await self.peers.stop()
        await self.server.stop()


__all__ = ["WireService"]
