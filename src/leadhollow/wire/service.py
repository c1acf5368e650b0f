"""Listener and outgoing connections of one process, as a service."""

from __future__ import annotations

from result import Result

from leadhollow.failure import Failure
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer


class WireService:
    """Opens the listener and closes all connections."""

    __slots__ = ("peers", "server")

    def __init__(self, *, server: WireServer, peers: PeerPool) -> None:
        self.server = server
        self.peers = peers

    async def start(self) -> Result[None, Failure]:
        """Open the listener."""
        return await self.server.start()

    async def drain(self) -> None:
        """Other services drain through us first."""

    async def stop(self) -> None:
        """Close all connections."""
        await self.peers.stop()
        await self.server.stop()


__all__ = ["WireService"]
