"""Puts one process together from the services of its role."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from result import Result

from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.kernel.kernel import Kernel
from leadhollow.node.dialects import Dialects
from leadhollow.settings.address import Address
from leadhollow.settings.node import NodeRole, NodeSettings
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from leadhollow.wire.service import WireService

if TYPE_CHECKING:
    from leadhollow.kernel.service import Service

STOP_MARGIN_MS = 500  # of the grace: time to close after the drain
FORGET_AFTER_S = 15.0
FORGET_BEATS = 12
"""Many heartbeats, and at least 15 s; a silent backend server is avoided long before."""

FEED_FORGET_AFTER_S = 60.0
"""Of one that the followed replica does not name: a replica that has lost its disk, or is cut off
from most backend servers, knows few for a while."""


class NodeProcess:
    """Kernel and shared parts of one process.

    Modules of a role are imported only where the role is played: memory counts on small VMs.
    """

    __slots__ = ("dialects", "handlers", "kernel", "peers", "seed_users", "settings")

    def __init__(self, *, settings: NodeSettings, dialects: Dialects) -> None:
        self.settings = settings
        self.dialects = dialects
        self.handlers = HandlerTable()
        self.peers = PeerPool(
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            token=settings.token,
            handlers=self.handlers,
        )
        self.seed_users: list[SeedUser] = []
        self.kernel = Kernel(
            drain_deadline_ms=int(1000 * settings.bounds.stop_grace_s) - STOP_MARGIN_MS
        )
        self.kernel.register("wire", self._make_wire)
        match settings.role:
            case NodeRole.CONTROL:
                from leadhollow.node.control_role import register_control

                register_control(self)
            case NodeRole.ENTRY:
                from leadhollow.node.entry_role import register_entry

                register_entry(self)
            case NodeRole.STAGER:
                from leadhollow.node.stager_role import register_stager

                register_stager(self)

    @property
    def seed(self) -> int:
        """Seed of this process's random choices."""
        return zlib.crc32(self.settings.vm.encode())

    async def start(self) -> Result[None, Failure]:
        """Start all services."""
        active_time.clock()  # holds are noted from the first moment on
        return await self.kernel.start()

    async def stop(self) -> bool:
        """Drain and stop; tells whether all work in progress ended in time."""
        return await self.kernel.stop()

    def use_settings(self, settings: NodeSettings) -> None:
        """Take over what may change while the process runs: where to look for others."""
        self.settings = settings
        for use_seeds in self.seed_users:
            use_seeds(settings.seed_wire_addresses)

    def _make_wire(self) -> Service:
        listen = Address.parse(self.settings.wire_address).unwrap()
        server = WireServer(address=listen, token=self.settings.token, handlers=self.handlers)
        return WireService(server=server, peers=self.peers)


if TYPE_CHECKING:
    from collections.abc import Callable

    SeedUser = Callable[[tuple[str, ...]], None]

__all__ = ["FEED_FORGET_AFTER_S", "FORGET_AFTER_S", "FORGET_BEATS", "NodeProcess"]
