"""Announces this backend server to the domain replicas of its failure domain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Ok, Result

from leadhollow.backend.gate import Gate, GateState
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import PeerSettings
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import Announcement, Heartbeat
from leadhollow.wire.peers import PeerPool

LOAD_INTERVAL_S = 0.5
FULL_ANNOUNCEMENT_INTERVAL_S = 60.0
RECONNECT_PAUSE_S = 0.2
CALL_TIMEOUT_MS = 1_000
DEREGISTER_TIMEOUT_MS = 500

log = get_logger("announcer")


class Announcer:
    """Sends a full announcement after each urgent change, and short heartbeats in between.

    A heartbeat carries only the load and the catalog revision. The domain replica identifies the
    sender by its connection. It closes a connection on which it has no announcement, and the
    announcer then connects again and sends a full one.

    Parameters
    ----------
    build_announcement
        Builds an announcement of the current state.
    revision
        Returns the catalog revision that this process has applied.
    """

    __slots__ = (
        "_build_announcement",
        "_gate",
        "_heartbeat_s",
        "_peers",
        "_replicas",
        "_revision",
        "_tasks",
    )

    def __init__(
        self,
        *,
        replicas: tuple[PeerSettings, ...],
        heartbeat_ms: int,
        peers: PeerPool,
        gate: Gate,
        build_announcement: Callable[[], Announcement],
        revision: Callable[[], int],
    ) -> None:
        self._replicas = replicas
        self._heartbeat_s = heartbeat_ms / 1000
        self._peers = peers
        self._gate = gate
        self._build_announcement = build_announcement
        self._revision = revision
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> Result[None, Failure]:
        """Start the announcements to all replicas."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._announce_to(peer)) for peer in self._replicas]
        return Ok(None)

    async def drain(self) -> None:
        """Refuse new work and announce it, before the work in progress ends."""
        self._gate.close(GateState.DRAINING)
        await self._send_once(leaving=False, timeout_ms=CALL_TIMEOUT_MS)

    async def stop(self) -> None:
        """Stop the announcements and deregister at all replicas."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._send_once(leaving=True, timeout_ms=DEREGISTER_TIMEOUT_MS)

    async def _send_once(self, *, leaving: bool, timeout_ms: int) -> None:
        announcement = self._build_announcement()
        announcement.leaving = leaving
        await asyncio.gather(
            *(
                self._peers.call(peer.address, announcement, timeout_ms=timeout_ms)
                for peer in self._replicas
            )
        )

    async def _announce_to(self, peer: PeerSettings) -> None:
        """Announce to one domain replica, and reconnect after a loss.

        Each replica has one task that runs this.
        """
        while True:
            connected = await self._peers.connection(peer.address)
            if connected.is_ok():
                await self._announce_on(connected.unwrap(), peer)
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _announce_on(self, connection: Connection, peer: PeerSettings) -> None:
        """Announce on one connection until it is lost or a call fails."""
        loop = asyncio.get_running_loop()
        signal = self._gate.signal
        announced_changes = -1
        reported_load_changes = signal.load_changes
        announced_s = loop.time()
        while not connection.closed.is_set():
            now_s = loop.time()
            if (
                announced_changes != signal.urgent_changes
                or now_s - announced_s >= FULL_ANNOUNCEMENT_INTERVAL_S
            ):
                changes = signal.urgent_changes
                reply = await connection.call(
                    self._build_announcement(), timeout_ms=CALL_TIMEOUT_MS
                )
                if reply.is_err():
                    log.warning(
                        "announcement failed", peer=peer.vm, failure=str(reply.unwrap_err())
                    )
                    return
                announced_changes, announced_s = changes, now_s
            else:
                connection.oneway(Heartbeat(self._gate.in_flight, self._revision()))
            if reported_load_changes != signal.load_changes:
                reported_load_changes = signal.load_changes
                if announced_changes == signal.urgent_changes:
                    await signal.wait_urgent(LOAD_INTERVAL_S)
            else:
                await signal.wait(self._heartbeat_s)


__all__ = ["Announcer"]
