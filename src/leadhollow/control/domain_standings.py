"""Carries out operators' orders on failure domains and answers their queries, over the wire."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.control.evacuation_orders import EvacuationOrders
from leadhollow.control.feed_server import FeedServer
from leadhollow.control.registry import Registry
from leadhollow.failure import Failure
from leadhollow.kernel import clocks
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import Evacuation, evacuation_key
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import (
    DomainOrder,
    DomainQuery,
    DomainStanding,
    DomainStandings,
)
from leadhollow.wire.handlers import HandlerTable

ORDER_TIMEOUT_S = 1.5  # the command waits for 2 s


class DomainStandingsHandler:
    """Answers each :class:`DomainOrder` and :class:`DomainQuery` with all failure domains."""

    __slots__ = ("_catalog", "_feed", "_orders", "_registry")

    def __init__(
        self,
        *,
        orders: EvacuationOrders,
        catalog: Catalog,
        registry: Registry,
        feed: FeedServer,
        handlers: HandlerTable,
    ) -> None:
        self._orders = orders
        self._catalog = catalog
        self._registry = registry
        self._feed = feed
        handlers.on_call(DomainOrder, self._on_order)
        handlers.on_call(DomainQuery, self._on_query)

    async def _on_order(
        self, order: DomainOrder, connection: Connection
    ) -> Result[DomainStandings, Failure]:
        carried_out = await self._orders.execute(
            order.failure_domain or "",
            evacuated=bool(order.evacuated),
            timeout_s=ORDER_TIMEOUT_S,
        )
        if carried_out.is_err():
            return Err(carried_out.unwrap_err())
        return Ok(self._standings())

    async def _on_query(
        self, query: DomainQuery, connection: Connection
    ) -> Result[DomainStandings, Failure]:
        return Ok(self._standings())

    def _standings(self) -> DomainStandings:
        instances = self._registry.table.instances()
        known = {instance.failure_domain for instance in instances} | self._orders.domains
        known |= {found.domain for found in self._catalog.values(Evacuation)}
        loads = {load.record.address: load.record for load in self._registry.loads()}
        standings = []
        for domain in sorted(known):
            engines = [
                loads[instance.address]
                for instance in instances
                if instance.failure_domain == domain and instance.address in loads
            ]
            running = sum((load.active or 0) + (load.queued or 0) for load in engines)
            standings.append(self._standing(domain, len(engines), running))
        return DomainStandings(standings)

    def _standing(self, domain: str, engines: int, running: int) -> DomainStanding:
        item = self._catalog.item(evacuation_key(domain))
        evacuation = None if item is None else item.value
        age_ms, revision = 0, 0
        if item is not None and isinstance(evacuation, Evacuation):
            age_ms = max(0, clocks.wall_ns() // 1_000_000 - evacuation.since_ms)
            revision = item.revision
        told, entries = self._feed.entries_told(0 if item is None else item.revision)
        return DomainStanding(
            domain, evacuation is not None, age_ms, revision, entries, told, engines, running
        )


__all__ = ["DomainStandingsHandler"]
