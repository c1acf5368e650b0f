"""Directory of the backend servers that an entry may use, by service, name, address or life.

A life is one run of a server between its start and its end.
"""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.decide.eligibility import DomainRules
from leadhollow.decide.server import NO_DOMAIN_RULES, Server
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.membership.reporting import VALID_INTERVALS, report_interval_s
from leadhollow.membership.uses import NO_USE, Use
from leadhollow.observe.logs import get_logger
from leadhollow.wire.generated.ttypes import LoadRecord

FEED_VALID_S = 0.6  # a control replica sends an update every 0.25 s

log = get_logger("board")


class ServerDirectory:
    """All backend servers that this entry may use.

    Parameters
    ----------
    table
        Announced backend servers; the directory follows its changes.
    domains
        What applies to all servers of a failure domain.
    """

    __slots__ = (
        "_added_listeners",
        "_by_address",
        "_change_listeners",
        "_clock",
        "_domains",
        "_peer_uses",
        "_peer_uses_s",
        "_replaced_listeners",
        "_restart_listeners",
        "_servers",
        "_table",
        "_use_listeners",
    )

    def __init__(
        self,
        *,
        table: InstanceTable,
        clock: Callable[[], float],
        domains: DomainRules = NO_DOMAIN_RULES,
    ) -> None:
        self._table = table
        self._domains = domains
        self._clock = clock
        self._servers: dict[str, Server] = {}
        self._by_address: dict[str, Server] = {}
        self._change_listeners: list[Callable[[], None]] = []
        self._added_listeners: list[Callable[[Server], None]] = []
        self._restart_listeners: list[Callable[[str], None]] = []
        self._replaced_listeners: list[Callable[[Instance], None]] = []
        self._use_listeners: list[Callable[[str], None]] = []
        self._peer_uses: dict[str, Use] = {}
        self._peer_uses_s = float("-inf")
        table.on_change(self._on_instance)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function when a server may have room for another request."""
        self._change_listeners.append(listener)

    def on_server_added(self, listener: Callable[[Server], None]) -> None:
        """Call a function with each backend server, or new life of one, that is added."""
        self._added_listeners.append(listener)

    def on_restart(self, listener: Callable[[str], None]) -> None:
        """Call a function with the address of each server that restarted under the same name."""
        self._restart_listeners.append(listener)

    def on_replaced(self, listener: Callable[[Instance], None]) -> None:
        """Call a function with each life whose address another life has taken over."""
        self._replaced_listeners.append(listener)

    def servers(self, service: str) -> list[Server]:
        """Return the backend servers of a service that take requests."""
        return [
            server
            for server in self._servers.values()
            if server.instance.service == service and server.instance.state is InstanceState.READY
        ]

    def all_servers(self) -> list[Server]:
        """Return the backend servers of all services."""
        return list(self._servers.values())

    def server(self, instance: str) -> Server | None:
        """Return the backend server with this instance name, if it is known."""
        return self._servers.get(instance)

    def update_load_report(self, record: LoadRecord, made_s: float) -> None:
        """Update the load that a server reported."""
        server = self._by_address.get(record.address)
        if server is not None:
            server.update_report(record, made_s)
            self.notify_change()

    def on_use(self, listener: Callable[[str], None]) -> None:
        """Call a function with the address of each engine whose use by this entry changed."""
        self._use_listeners.append(listener)

    def update_peer_uses(self, uses: dict[str, Use], complete: bool) -> None:
        """Update what other entries use at engines.

        This is called with each update of the feed, including empty ones, because an update also
        shows that the feed works.

        Parameters
        ----------
        complete
            Whether engines that are missing from ``uses`` are not used by other entries.
        """
        now_s = self._clock()
        self._peer_uses_s = now_s
        if complete:
            uses = dict.fromkeys(self._peer_uses, NO_USE) | uses
        self._peer_uses |= uses
        for address, use in uses.items():
            server = self._by_address.get(address)
            if server is not None:
                server.update_peer_use(use, now_s)
        if uses:
            self.notify_change()

    def hears_others(self) -> bool:
        """Return whether a control replica currently relays the uses of other entries."""
        return self._clock() - self._peer_uses_s < FEED_VALID_S

    def uses(self) -> dict[str, Use]:
        """Return what this entry uses at each engine, by address."""
        return {address: server.use() for address, server in self._by_address.items()}

    def use(self, address: str) -> Use:
        """Return what this entry uses at one engine."""
        server = self._by_address.get(address)
        return NO_USE if server is None else server.use()

    def record_leaving(self, server: Server) -> None:
        """Record that a backend server announced in a response that it is leaving."""
        self._table.record_leaving(server.instance.life)

    def server_by_life(self, life: str) -> Server | None:
        """Return the backend server whose current life this is, if there is one."""
        instance = self._table.of_life(life)
        return None if instance is None else self._servers.get(instance.instance)

    def record_instance_mismatch(self, instance: str) -> None:
        """Remove an instance because another one responded at its address."""
        log.warning("another backend server has the address", instance=instance)
        self._table.deregister(instance)

    def notify_change(self) -> None:
        """Tell waiting requests that a server may have room."""
        for listener in self._change_listeners:
            listener()

    def prune(self) -> None:
        """Drop backend servers that the table has forgotten."""
        for instance in list(self._servers):
            if self._table.get(instance) is None:
                self._drop(instance)

    def _on_instance(self, instance: Instance) -> None:
        if instance.state is InstanceState.GONE:
            self._drop(instance.instance)
        else:
            server = self._servers.get(instance.instance)
            if server is not None and server.instance.born_ms != instance.born_ms:
                self._drop_former_life(server)
                server = None
            if server is None:
                server = Server(
                    instance=instance,
                    domains=self._domains,
                    on_use=self._notify_use,
                    report_valid_s=self._report_valid_s,
                )
                server.update_peer_use(self._peer_uses.get(instance.address, NO_USE), self._clock())
                self._servers[instance.instance] = server
                for listener in self._added_listeners:
                    listener(server)
                log.info(
                    "backend server found",
                    instance=instance.instance,
                    address=instance.address,
                    service=instance.service,
                    known=self._count(instance.service),
                )
            previous = self._by_address.get(instance.address)
            if previous is not None and previous is not server:
                self._notify_replaced(previous.instance)
                self._drop(previous.instance.instance)
            server.instance = instance
            self._by_address[instance.address] = server
        self.notify_change()

    def _count(self, service: str) -> int:
        """Return the number of backend servers of a service, including leaving ones."""
        return sum(1 for server in self._servers.values() if server.instance.service == service)

    def _report_valid_s(self) -> float:
        return VALID_INTERVALS * report_interval_s(len(self._servers))

    def _notify_use(self, address: str) -> None:
        for listener in self._use_listeners:
            listener(address)

    def _notify_replaced(self, instance: Instance) -> None:
        for listener in self._replaced_listeners:
            listener(instance)

    def _drop_former_life(self, server: Server) -> None:
        """Drop all state of a former life: health, load, calls and connections."""
        address = server.instance.address
        self._notify_replaced(server.instance)
        self._drop(server.instance.instance)
        for listener in self._restart_listeners:
            listener(address)

    def _drop(self, instance: str) -> None:
        server = self._servers.pop(instance, None)
        if server is None:
            return
        server.dropped = True
        known = self._count(server.instance.service)
        write = log.info if known else log.warning
        write(
            "backend server dropped",
            instance=instance,
            service=server.instance.service,
            own_calls=server.own_requests,
            known=known,
        )
        if self._by_address.get(server.instance.address) is server:
            del self._by_address[server.instance.address]


__all__ = ["ServerDirectory"]
