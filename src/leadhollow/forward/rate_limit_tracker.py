"""Keeps this entry's requests within the rate limits that backend servers state in responses.

A response states a limit to one entry. Control replicas relay it to all entries and lease each
entry a share of it.
"""

from __future__ import annotations

import random
from typing import Protocol

from leadhollow.codes import Code
from leadhollow.decide.limit_table import LimitTable
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.decide.share_allocator import LEASE_S, EntryDemand
from leadhollow.failure import Failure
from leadhollow.forward.dialect import ResponseMetadata
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.kernel import clocks
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.limit_news import decode_limits, encode_limits, encode_request
from leadhollow.observe.logs import get_logger
from leadhollow.wire.generated.ttypes import LimitLease, LimitNews
from leadhollow.wire.peers import PeerPool

BATCH_WINDOW_S = 0.002
REFRESH_S = 0.25  # between requests for shares while any limit is in force
FULL_UPDATE_INTERVAL_S = 1.0  # minimum between full updates to the same replica
EXPIRY_S = 60.0  # after which the limit of a server that is gone is dropped
MAX_MALFORMED_LOGGED = 64  # lives; a server that keeps restarting must not flood the log
LOG_INTERVAL_S = 1.0  # minimum between log lines about limit changes of the same server

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

    Attributes
    ----------
    malformed
        Number of responses with a limit that could not be parsed.
    """

    __slots__ = (
        "_changed",
        "_demand",
        "_directory",
        "_failure_domain",
        "_feed",
        "_full_update_s",
        "_last_log_s",
        "_malformed_lives",
        "_peers",
        "_random",
        "_replica_checksum",
        "_synced_replica",
        "_vm",
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
    ) -> None:
        self._vm = vm
        self._failure_domain = failure_domain
        self._directory = directory
        self._feed = feed
        self._peers = peers
        self._demand = demand
        self._random = random.Random(seed)
        self.table = LimitTable()
        self.malformed = 0
        self._malformed_lives: set[str] = set()
        self._changed: set[str] = set()
        self._synced_replica = ""  # replica that has got a full update
        self._replica_checksum = 0  # of the replica's table, as last received
        self._full_update_s = float("-inf")
        self._last_log_s: dict[str, float] = {}
        directory.on_server_added(self._on_server_added)
        feed.on_limits(self._on_update)
        feed.on_limit_lease(self._on_lease)
        super().__init__(batch_window_s=BATCH_WINDOW_S, refresh_s=REFRESH_S)

    def needs_refresh(self) -> bool:
        """Return whether any limit is in force."""
        return bool(self.table.limits())

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
        if metadata.limit_malformed:
            self._record_malformed(server)
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

    def _record_malformed(self, server: Server) -> None:
        """Count a malformed limit, and log the first one of each life of a server."""
        self.malformed += 1
        life = server.instance.life
        if life in self._malformed_lives or len(self._malformed_lives) >= MAX_MALFORMED_LOGGED:
            return
        self._malformed_lives.add(life)
        failure = Failure(code=Code.LIMIT_MALFORMED)
        log.warning("limit not taken", failure=str(failure), instance=server.instance.instance)

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
            part.life: part.share for part in lease.shares or () if _is_valid_share(part.share)
        }
        for server in self._directory.all_servers():
            if server.send_limiter is not None:
                server.send_limiter.lease(shares.get(server.instance.life, 0.0), until_s=until_s)
        self._directory.notify_change()

    def _on_server_added(self, server: Server) -> None:
        if self.table.limit(server.instance.life) is not None:
            self._apply_limit(server)

    def _apply_limit(self, server: Server) -> None:
        """Apply the limit in force, or none, to the requests for a server."""
        per_s = self.table.limit(server.instance.life)
        previous = server.send_limiter
        if per_s is None:
            server.send_limiter = None
        elif previous is not None:
            previous.set_limit(per_s)
        else:
            server.send_limiter = SendLimiter(
                per_s=per_s,
                entries=lambda: self._feed.entries,
                clock=clocks.elapsed_s,
                source=self._random,
            )
        self._log_limit(server, per_s, previous)
        self._directory.notify_change()

    def _log_limit(self, server: Server, per_s: float | None, previous: SendLimiter | None) -> None:
        life, now_s = server.instance.life, clocks.elapsed_s()
        is_update = per_s is not None and previous is not None
        if is_update and now_s - self._last_log_s.get(life, float("-inf")) < LOG_INTERVAL_S:
            return
        self._last_log_s[life] = now_s
        if per_s is None:
            del self._last_log_s[life]
        log.info(
            "server limit lifted" if per_s is None else "server limit in force",
            instance=server.instance.instance,
            address=server.instance.address,
            limit_per_s=per_s,
            withheld=0 if previous is None else previous.withheld,
        )

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
        limited = self.table.limits()
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
