"""Keeps this entry's requests within the rate limits of backend servers.

A response states a limit to one entry, and control replicas relay it to all entries. The limit of a
cold server is known from its service and its announcements. Control replicas lease each entry a
share of the limits of both kinds.
"""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from leadhollow.codes import Code
from leadhollow.decide.cold_servers import ColdServers
from leadhollow.decide.limit_table import LimitTable
from leadhollow.decide.rate_source import RateSource, StrictestRate
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.decide.share_allocator import LEASE_S, EntryDemand
from leadhollow.forward.dialect import ResponseMetadata
from leadhollow.forward.limit_log import LimitLog
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.kernel import clocks
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.kernel.timers import TIMER_RESOLUTION_S
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.limit_news import decode_limits, encode_limits, encode_request
from leadhollow.observe.logs import get_logger
from leadhollow.wire.generated.ttypes import LimitLease, LimitNews
from leadhollow.wire.peers import PeerPool

BATCH_WINDOW_S = 0.002
REFRESH_S = 0.25  # between requests for shares while any limit is in force
FULL_UPDATE_INTERVAL_S = 1.0  # minimum between full updates to the same replica
EXPIRY_S = 60.0  # after which the limit of a server that is gone is dropped

log = get_logger("limits")


class DemandGauge(Protocol):
    """Measures the rate of callers' requests."""

    def demand_per_s(self, service: str) -> float:
        """Return the recent requests per second for a service."""
        ...


class RateLimitTracker(BatchingService):
    """Rate limits of backend servers as one entry knows them.

    Parameters
    ----------
    vm, failure_domain
        Identify this entry when it requests shares.
    demand
        Rate of the requests that this entry received.
    cold_servers
        Cold servers; None if their rate is not limited.

    Attributes
    ----------
    cold_malformed
        Number of responses with a cold time that could not be parsed.
    malformed
        Number of responses with a limit that could not be parsed.
    """

    __slots__ = (
        "_changed",
        "_cold_servers",
        "_demand",
        "_directory",
        "_failure_domain",
        "_feed",
        "_full_update_s",
        "_log",
        "_peers",
        "_random",
        "_rates",
        "_replica_checksum",
        "_synced_replica",
        "_vm",
        "cold_malformed",
        "malformed",
        "table",
    )

    def __init__(
        self,
        *,
        vm: str,
        failure_domain: str,
        directory: ServerDirectory,
        feed: ControlFeed,
        peers: PeerPool,
        demand: DemandGauge,
        seed: int,
        cold_servers: ColdServers | None = None,
    ) -> None:
        self._vm = vm
        self._failure_domain = failure_domain
        self._directory = directory
        self._feed = feed
        self._peers = peers
        self._demand = demand
        self._random = random.Random(seed)
        self.table = LimitTable()
        self._cold_servers = cold_servers
        sources: list[RateSource] = [self.table]
        if cold_servers is not None:
            sources.append(cold_servers)
            cold_servers.on_change(self._on_cold)
        self._rates = StrictestRate(sources)
        self.malformed = 0
        self.cold_malformed = 0
        self._changed: set[str] = set()
        self._synced_replica = ""  # replica that has got a full update
        self._replica_checksum = 0  # of the replica's table, as last received
        self._full_update_s = float("-inf")
        self._log = LimitLog(clock=clocks.elapsed_s)
        directory.on_server_added(self._on_server_added)
        feed.on_limits(self._on_update)
        feed.on_limit_lease(self._on_lease)
        super().__init__(batch_window_s=BATCH_WINDOW_S, refresh_s=REFRESH_S)

    def needs_refresh(self) -> bool:
        """Return whether any limit is in force."""
        return bool(self._rates.limited_lives())

    def record_response(
        self,
        server: Server,
        metadata: ResponseMetadata,
        *,
        sent_s: float | None,
        call: OwnCall | None = None,
    ) -> None:
        """Record what a response says about its server's limit.

        Parameters
        ----------
        sent_s
            When the request was sent, by the clock that includes suspensions; None if the server
            was not known to have a limit then.
        """
        self._record_cold(server, metadata)
        if metadata.limit_malformed:
            self.malformed += 1
            self._log.record_malformed(server.instance, Code.LIMIT_MALFORMED)
            return
        if metadata.limit_per_s is None and (server.send_limiter is None or sent_s is None):
            return
        if metadata.instance not in (None, server.instance.instance):
            return
        life = server.instance.life
        if metadata.limit_per_s is not None:
            now_s = clocks.elapsed_s()
            changed = self.table.record_limit(life, per_s=metadata.limit_per_s, received_s=now_s)
        else:
            changed = sent_s is not None and self.table.lift(life, sent_s=sent_s)
        if changed:
            self._changed.add(life)
            self._apply_limit(server)
            self.note_change()

    def _record_cold(self, server: Server, metadata: ResponseMetadata) -> None:
        """Record what a response says about how long its server stays cold."""
        if metadata.cold_malformed:
            self.cold_malformed += 1
            self._log.record_malformed(server.instance, Code.COLD_MALFORMED)
        own = metadata.instance in (None, server.instance.instance)
        if own and metadata.cold_remaining_ms and self._cold_servers is not None:
            self._cold_servers.record_statement(server.instance, metadata.cold_remaining_ms)

    def record_unreachable(self, server: Server) -> None:
        """Record that no connection to a server could be made: it may be cold when it is back."""
        if self._cold_servers is not None:
            self._cold_servers.presume_cold(server.instance)

    def _on_cold(self, life: str) -> None:
        server = self._directory.server_by_life(life)
        if server is None or self._cold_servers is None:
            return  # its limit is applied when it is added
        self._apply_limit(server)
        self.note_change()
        self._schedule_end(life)

    def _schedule_end(self, life: str) -> None:
        """Lift the limit of a cold server when it is warm, unless it says more until then."""
        until_s = float("-inf") if self._cold_servers is None else self._cold_servers.until_s(life)
        loop = asyncio.get_running_loop()
        if until_s > loop.time():
            loop.call_at(until_s + TIMER_RESOLUTION_S, self._end_cold, life)

    def _end_cold(self, life: str) -> None:
        server = self._directory.server_by_life(life)
        if server is not None and server.send_limiter is not None:
            self._apply_limit(server)

    def _on_update(self, update: LimitNews, whole: bool) -> None:
        decoded = decode_limits(update, clocks.elapsed_s())
        if decoded.is_err():
            log.warning("limit update rejected", failure=str(decoded.unwrap_err()))
            return
        self._replica_checksum = int(update.mark or 0)
        if whole:
            self._synced_replica = ""  # the replica may have restarted: send it a full update
        changed = {limit.life for limit in decoded.unwrap() if self.table.merge(limit)}
        for server in self._directory.all_servers():
            if server.instance.life in changed:
                self._apply_limit(server)
        if changed or (whole and self.table):
            self.note_change()

    def _on_lease(self, lease: LimitLease) -> None:
        if lease.vm != self._vm:
            return
        until_s = min((lease.asked_ms or 0) / 1000, clocks.elapsed_s()) + LEASE_S
        shares = {
            part.life: part.share if _is_valid_share(part.share) else 0.0
            for part in lease.shares or ()
        }
        for server in self._directory.all_servers():
            life = server.instance.life
            # a cold server that the leader does not know of is not leased to anyone
            known = life in shares or self.table.limit(life) is not None
            if server.send_limiter is not None and known:
                server.send_limiter.lease(shares.get(life, 0.0), until_s=until_s)
        self._directory.notify_change()

    def _on_server_added(self, server: Server) -> None:
        if self._rates.rate_limit(server.instance.life) is not None:
            self._apply_limit(server)
            self._schedule_end(server.instance.life)
            self.note_change()

    def _apply_limit(self, server: Server) -> None:
        """Apply the limit in force, or none, to the requests for a server."""
        limit = self._rates.rate_limit(server.instance.life)
        previous = server.send_limiter
        if limit is None:
            server.send_limiter = None
        elif previous is not None:
            previous.set_limit(
                limit.per_s,
                unleased_share=limit.unleased_share,
                token_valid_s=limit.token_valid_s,
            )
        else:
            server.send_limiter = SendLimiter(
                per_s=limit.per_s,
                entries=self._entries,
                clock=clocks.elapsed_s,
                source=self._random,
                unleased_share=limit.unleased_share,
                token_valid_s=limit.token_valid_s,
            )
        if limit is not None or previous is not None:
            self._log.record_change(server.instance, limit, previous)
            self._directory.notify_change()

    def _entries(self) -> int:
        return self._feed.cautious_entries

    async def _publish(self, *, whole: bool) -> None:
        """Send changed limits to the followed replica, and request shares from it."""
        source = self._feed.source
        if not source:
            self._synced_replica = ""
            return
        now_s = clocks.elapsed_s()
        differs = (
            self._replica_checksum != self.table.checksum()
            and now_s - self._full_update_s > FULL_UPDATE_INTERVAL_S
        )
        if source != self._synced_replica or (whole and differs):
            self._changed |= {record.life for record in self.table.records()}
            self._full_update_s = now_s
        if whole:
            self._expire(now_s)
        limited = self._rates.limited_lives()
        if not limited and not self._changed:
            self._synced_replica = source
            return
        connected = await self._peers.connection(source)
        if connected.is_err():
            self._synced_replica = ""
            return
        changed, self._changed = self._changed, set()
        records = [self.table.record(life) for life in sorted(changed)]
        update = LimitNews(
            "",
            self.table.checksum(),
            encode_limits([item for item in records if item is not None], clocks.elapsed_s()),
            (
                [encode_request(self._own_demand(), asked_ms=int(clocks.elapsed_s() * 1000))]
                if limited
                else []
            ),
        )
        connected.unwrap().oneway(update)
        self._synced_replica = source

    def _expire(self, now_s: float) -> None:
        """Drop the limits of servers that have been gone for ``EXPIRY_S``."""
        lives = {server.instance.life for server in self._directory.all_servers()}
        self.table.forget(
            record.life
            for record in self.table.records()
            if record.life not in lives and now_s - record.advertised_s > EXPIRY_S
        )

    def _own_demand(self) -> EntryDemand:
        services = {
            server.instance.service
            for server in self._directory.all_servers()
            if server.send_limiter is not None
        }
        return EntryDemand(
            vm=self._vm,
            failure_domain=self._failure_domain,
            per_s={service: self._demand.demand_per_s(service) for service in services},
            heard_s=clocks.elapsed_s(),
        )


def _is_valid_share(share: float | None) -> bool:
    """Return whether a share is a valid part of a limit; NaN is not."""
    return share is not None and 0.0 < share <= 1.0


__all__ = ["DemandGauge", "RateLimitTracker"]
