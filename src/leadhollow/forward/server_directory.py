"""All backend servers that an entry may use, found by service, name or address."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.decide.server import Server
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.membership.reporting import VALID_INTERVALS, report_interval_s
from leadhollow.membership.uses import NO_USE, Use
from leadhollow.observe.logs import get_logger
from leadhollow.wire.generated.ttypes import LoadRecord

FEED_VALID_S = 0.6  # a control replica says something each quarter second

log = get_logger("board")


class ServerDirectory:
    """All backend servers that this entry may use.

    Parameters
    ----------
    table
        Backend servers as they announced themselves; its changes are followed.
    """

    __slots__ = (
        "_by_address",
        "_clock",
        "_found_listeners",
        "_life_listeners",
        "_listeners",
        "_replaced_listeners",
        "_servers",
        "_table",
        "_told",
        "_told_s",
        "_use_listeners",
    )

    def __init__(self, *, table: InstanceTable, clock: Callable[[], float]) -> None:
        self._table = table
        self._clock = clock
        self._servers: dict[str, Server] = {}
        self._by_address: dict[str, Server] = {}
        self._listeners: list[Callable[[], None]] = []
        self._found_listeners: list[Callable[[Server], None]] = []
        self._life_listeners: list[Callable[[str], None]] = []
        self._replaced_listeners: list[Callable[[Instance], None]] = []
        self._use_listeners: list[Callable[[str], None]] = []
        self._told: dict[str, Use] = {}
        self._told_s = float("-inf")
        table.on_change(self._on_instance)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function when a place may have become free."""
        self._listeners.append(listener)

    def on_server_added(self, listener: Callable[[Server], None]) -> None:
        """Call a function with each backend server, or life of one, that was not known."""
        self._found_listeners.append(listener)

    def on_restart(self, listener: Callable[[str], None]) -> None:
        """Call a function with the address of a server that started again under its name."""
        self._life_listeners.append(listener)

    def on_replaced(self, listener: Callable[[Instance], None]) -> None:
        """Call a function with each life whose address another one has now."""
        self._replaced_listeners.append(listener)

    def servers(self, service: str) -> list[Server]:
        """Give the backend servers of a service that take requests."""
        return [
            server
            for server in self._servers.values()
            if server.instance.service == service and server.instance.state is InstanceState.READY
        ]

    def all_servers(self) -> list[Server]:
        """Give the backend servers of all services."""
        return list(self._servers.values())

    def server(self, instance: str) -> Server | None:
        """Find a backend server."""
        return self._servers.get(instance)

    def update_load_report(self, record: LoadRecord, made_s: float) -> None:
        """Take a report of load."""
        server = self._by_address.get(record.address)
        if server is not None:
            server.update_report(record, made_s)
            self.notify_change()

    def on_use(self, listener: Callable[[str], None]) -> None:
        """Call a function with the address of an engine at which this entry's use changed."""
        self._use_listeners.append(listener)

    def update_peer_uses(self, uses: dict[str, Use], complete: bool) -> None:
        """Take what other entries have at engines; called with each update, also an empty one."""
        now_s = self._clock()
        self._told_s = now_s
        if complete:
            uses = dict.fromkeys(self._told, NO_USE) | uses
        self._told |= uses
        for address, use in uses.items():
            server = self._by_address.get(address)
            if server is not None:
                server.update_peer_use(use, now_s)
        if uses:
            self.notify_change()

    def hears_others(self) -> bool:
        """Tell whether a control replica passes on what other entries tell."""
        return self._clock() - self._told_s < FEED_VALID_S

    def uses(self) -> dict[str, Use]:
        """Give what this entry has at engines, by address."""
        return {address: server.use() for address, server in self._by_address.items()}

    def use(self, address: str) -> Use:
        """Give what this entry has at one engine."""
        server = self._by_address.get(address)
        return NO_USE if server is None else server.use()

    def record_leaving(self, server: Server) -> None:
        """Note that a backend server said in an answer that it leaves."""
        self._table.record_leaving(server.instance.life)

    def server_by_life(self, life: str) -> Server | None:
        """Find a backend server in a certain life."""
        known = self._table.of_life(life)
        return None if known is None else self._servers.get(known.instance)

    def record_instance_mismatch(self, instance: str) -> None:
        """Note that another incarnation runs at the address of this one."""
        log.warning("another backend server has the address", instance=instance)
        self._table.deregister(instance)

    def notify_change(self) -> None:
        """Tell those who wait for a place."""
        for listener in self._listeners:
            listener()

    def prune(self) -> None:
        """Drop backend servers that the table does not know any more."""
        for instance in list(self._servers):
            if self._table.get(instance) is None:
                self._drop(instance)

    def _on_instance(self, instance: Instance) -> None:
        if instance.state is InstanceState.GONE:
            self._drop(instance.instance)
        else:
            server = self._servers.get(instance.instance)
            if server is not None and server.instance.born_ms != instance.born_ms:
                self._end_life(server)
                server = None
            if server is None:
                server = Server(
                    instance=instance,
                    on_use=self._tell_use,
                    report_valid_s=self._report_valid_s,
                )
                server.update_peer_use(self._told.get(instance.address, NO_USE), self._clock())
                self._servers[instance.instance] = server
                for listener in self._found_listeners:
                    listener(server)
                log.info(
                    "backend server found",
                    instance=instance.instance,
                    address=instance.address,
                    service=instance.service,
                    known=self._known(instance.service),
                )
            previous = self._by_address.get(instance.address)
            if previous is not None and previous is not server:
                self._tell_replaced(previous.instance)
                self._drop(previous.instance.instance)
            server.instance = instance
            self._by_address[instance.address] = server
        self.notify_change()

    def _known(self, service: str) -> int:
        """Count the backend servers of a service, those that leave included."""
        return sum(1 for server in self._servers.values() if server.instance.service == service)

    def _report_valid_s(self) -> float:
        return VALID_INTERVALS * report_interval_s(len(self._servers))

    def _tell_use(self, address: str) -> None:
        for listener in self._use_listeners:
            listener(address)

    def _tell_replaced(self, instance: Instance) -> None:
        for listener in self._replaced_listeners:
            listener(instance)

    def _end_life(self, server: Server) -> None:
        """Forget all that was found out of a former life: health, load, calls, connections."""
        address = server.instance.address
        self._tell_replaced(server.instance)
        self._drop(server.instance.instance)
        for listener in self._life_listeners:
            listener(address)

    def _drop(self, instance: str) -> None:
        server = self._servers.pop(instance, None)
        if server is None:
            return
        server.dropped = True
        known = self._known(server.instance.service)
        report = log.info if known else log.warning
        report(
            "backend server dropped",
            instance=instance,
            service=server.instance.service,
            own_calls=server.own_requests,
            known=known,
        )
        if self._by_address.get(server.instance.address) is server:
            del self._by_address[server.instance.address]


__all__ = ["ServerBoard"]
