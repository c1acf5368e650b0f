"""Assembles one process from the services of its role."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from result import Result

from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.kernel.kernel import Kernel
from leadhollow.node.dialects import Dialects
from leadhollow.observe.logs import get_logger
from leadhollow.overload.limits import ProcessLimits
from leadhollow.overload.memory import CallerMemory
from leadhollow.settings.address import Address
from leadhollow.settings.node import NodeRole, NodeSettings
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from leadhollow.wire.service import WireService

if TYPE_CHECKING:
    from leadhollow.kernel.service import Service
    from leadhollow.observe.metrics import Metrics

STOP_MARGIN_MS = 500  # part of the stop grace period, for closing after the drain
FORGET_AFTER_S = 15.0
FORGET_AFTER_HEARTBEATS = 12
"""A control replica forgets a silent backend server after this many heartbeats, but not before
``FORGET_AFTER_S``. Requests avoid a silent server long before that."""

FEED_FORGET_AFTER_S = 60.0
"""Time after which an entry or a stager forgets a backend server that its control replica does not
list. A replica that lost its disk, or is partitioned from most backend servers, lists only a few
for a while."""


log = get_logger("process")


class NodeProcess:
    """Kernel and shared objects of one process.

    Only the modules of the configured role are imported, to save memory on small VMs.

    Attributes
    ----------
    caller_memory
        Account of what all callers make the process hold.
    metrics
        Sends counters and gauges; None without a sink for them.
    limits
        Parts of its memory and descriptors that callers, servers and peers may take.
    """

    __slots__ = (
        "caller_memory",
        "dialects",
        "handlers",
        "kernel",
        "limits",
        "metrics",
        "peers",
        "seed_listeners",
        "settings",
    )

    def __init__(self, *, settings: NodeSettings, dialects: Dialects) -> None:
        self.settings = settings
        self.dialects = dialects
        self.limits = ProcessLimits(
            memory_mb=settings.memory_mb, max_descriptors=settings.max_descriptors
        )
        self.caller_memory = CallerMemory(limit_bytes=self.limits.callers_memory_bytes)
        self.metrics = _open_metrics(settings)
        self.handlers = HandlerTable()
        self.peers = PeerPool(
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            token=settings.token,
            handlers=self.handlers,
        )
        self.seed_listeners: list[SeedListener] = []
        self.kernel = Kernel(
            drain_deadline_ms=int(1000 * settings.bounds.stop_grace_s) - STOP_MARGIN_MS
        )
        self.kernel.register("wire", self._make_wire)
        if self.metrics is not None:
            self.kernel.register("overload-metrics", self._make_overload_metrics)
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
        """Seed for the random number generators of this process."""
        return zlib.crc32(self.settings.vm.encode())

    async def start(self) -> Result[None, Failure]:
        """Start all services."""
        active_time.clock()  # so that stalls are recorded from the start
        log.info("limits of this process", **self.limits.log_fields())
        return await self.kernel.start()

    async def stop(self) -> bool:
        """Drain and stop; return whether all work in progress ended in time."""
        return await self.kernel.stop()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Store changed settings; only changed seed addresses take effect without a restart."""
        self.settings = settings
        for update_seeds in self.seed_listeners:
            update_seeds(settings.seed_wire_addresses)

    def _make_wire(self) -> Service:
        listen = Address.parse(self.settings.wire_address).unwrap()
        server = WireServer(
            address=listen,
            token=self.settings.token,
            handlers=self.handlers,
            max_unproven=self.limits.max_peers,
        )
        return WireService(server=server, peers=self.peers)

    def _make_overload_metrics(self) -> Service:
        from leadhollow.overload.metrics import OverloadMetrics

        assert self.metrics is not None
        return OverloadMetrics(metrics=self.metrics, memory=self.caller_memory)


def _open_metrics(settings: NodeSettings) -> Metrics | None:
    if settings.statsd is None:
        return None
    from leadhollow.observe.metrics import Metrics  # the client takes memory that few VMs need

    sink = Address.parse(settings.statsd).unwrap()
    return Metrics(sink=sink, prefix=f"leadhollow.{settings.vm}")


if TYPE_CHECKING:
    from collections.abc import Callable

    SeedListener = Callable[[tuple[str, ...]], None]

__all__ = ["FEED_FORGET_AFTER_S", "FORGET_AFTER_HEARTBEATS", "FORGET_AFTER_S", "NodeProcess"]
