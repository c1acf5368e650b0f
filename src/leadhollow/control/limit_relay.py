"""Rate limits of backend servers at one control replica: merging, relaying and leasing of shares.

Replicas and entries send each other the limits in force. A message contains a checksum of the
sender's table; where it differs, the receiver sends its full table. Entries request shares of the
limits through the replica that they follow. Only the leader leases shares, and only after all
leases of the previous leader have ended.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from leadhollow.decide.limit_table import LimitTable
from leadhollow.decide.rate_source import RateSource, StrictestRate
from leadhollow.decide.share_allocator import LEASE_S, LimitedServer, ShareAllocator
from leadhollow.kernel import clocks
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.entry_count import EntryCount
from leadhollow.membership.instances import Instance
from leadhollow.membership.limit_news import (
    MAX_REQUESTS,
    decode_limits,
    decode_request,
    encode_limits,
)
from leadhollow.observe.logs import get_logger
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import (
    LimitLease,
    LimitLeases,
    LimitNews,
    LimitShare,
    ShareRequest,
)
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

BATCH_WINDOW_S = 0.004  # requests of several entries are sent to the leader together
REFRESH_S = 1.0  # how often replicas compare their tables
FULL_TABLE_INTERVAL_S = 1.0  # minimum time between two full tables to the same process
UNKNOWN_SERVER_TTL_S = 60.0  # age after which the limit of an unknown server is dropped

log = get_logger("limits")


class LeadershipView(Protocol):
    """Leadership of the control replicas as this replica knows it."""

    def term(self) -> int:
        """Return the current term."""
        ...

    def leads_since_s(self) -> float | None:
        """Return when this replica became leader, None unless it is certain to lead now."""
        ...

    def leader_address(self) -> str | None:
        """Return the address of the leader, None if it is unknown or is this replica."""
        ...


class LimitRelay(BatchingService):
    """Rate limits as one control replica knows them.

    Parameters
    ----------
    own_address
        Wire address of this replica.
    replicas
        Returns the addresses of all replicas.
    leadership
        Who leads the control replicas.
    find_server
        Returns the backend server that has a life.
    live_entries
        Returns the number of live entries.
    cold_servers
        Second source of limits, which are shared like those that servers state.
    """

    __slots__ = (
        "_changed",
        "_entry_count",
        "_find_server",
        "_full_table_sent_s",
        "_leadership",
        "_leased_term",
        "_ledger",
        "_ledger_term",
        "_live_entries",
        "_on_lease",
        "_on_limits",
        "_on_stale_entry",
        "_own_address",
        "_peers",
        "_replicas",
        "_requests",
        "rates",
        "table",
    )

    def __init__(
        self,
        *,
        own_address: str,
        replicas: Callable[[], list[str]],
        leadership: LeadershipView,
        find_server: Callable[[str], Instance | None],
        live_entries: Callable[[], int],
        peers: PeerPool,
        handlers: HandlerTable,
        cold_servers: RateSource | None = None,
    ) -> None:
        self._own_address = own_address
        self._replicas = replicas
        self._leadership = leadership
        self._find_server = find_server
        self._peers = peers
        self.table = LimitTable()
        self.rates = StrictestRate([self.table] + ([cold_servers] if cold_servers else []))
        self._changed: set[str] = set()
        self._requests: list[tuple[str, ShareRequest]] = []  # with the replica that relayed it
        self._live_entries = live_entries
        self._entry_count = EntryCount(clock=clocks.elapsed_s)
        self._ledger = self._new_ledger()
        self._ledger_term = 0
        self._leased_term = 0  # highest term whose leases were relayed
        self._full_table_sent_s: dict[str, float] = {}
        self._on_limits: Callable[[set[str]], None] = _ignore
        self._on_lease: Callable[[LimitLease], None] = _ignore
        self._on_stale_entry: Callable[[str], None] = _ignore
        super().__init__(batch_window_s=BATCH_WINDOW_S, refresh_s=REFRESH_S)
        handlers.on_oneway(LimitNews, self._on_news)
        handlers.on_oneway(LimitLeases, self._on_leases)

    def set_listeners(
        self,
        *,
        on_limits: Callable[[set[str]], None],
        on_lease: Callable[[LimitLease], None],
        on_stale_entry: Callable[[str], None],
    ) -> None:
        """Set the listeners.

        Parameters
        ----------
        on_limits
            Gets the lives whose limit changed.
        on_lease
            Gets each lease for an entry.
        on_stale_entry
            Gets the VM of an entry whose table differs.
        """
        self._on_limits = on_limits
        self._on_lease = on_lease
        self._on_stale_entry = on_stale_entry

    def needs_refresh(self) -> bool:
        """Return whether any limit is known."""
        return bool(self.table)

    def build_message(
        self, lives: Iterable[str], *, requests: Iterable[ShareRequest] = ()
    ) -> LimitNews:
        """Build a message with the limits of some lives."""
        records = [self.table.record(life) for life in sorted(lives)]
        limits = encode_limits(
            [record for record in records if record is not None], clocks.elapsed_s()
        )
        return LimitNews(self._own_address, self.table.checksum(), limits, list(requests))

    def known_lives(self) -> set[str]:
        """Return all lives that have a record."""
        return {record.life for record in self.table.records()}

    def _on_news(self, message: LimitNews, connection: Connection) -> None:
        decoded = decode_limits(message, clocks.elapsed_s())
        if decoded.is_err():
            log.warning("message with limits rejected", failure=str(decoded.unwrap_err()))
            return
        changed = {limit.life for limit in decoded.unwrap() if self.table.merge(limit)}
        if changed:
            self._changed |= changed
            self._on_limits(changed)
        room = max(0, MAX_REQUESTS - len(self._requests))
        self._requests += [
            (message.address or "", request) for request in (message.requests or ())[:room]
        ]
        if changed or self._requests:
            self.note_change()
        if int(message.mark or 0) != self.table.checksum():
            self._send_full_table(message.address or "", connection)

    def _send_full_table(self, address: str, connection: Connection) -> None:
        vm = "" if connection.hello is None else connection.hello.vm
        now_s = clocks.elapsed_s()
        if (
            now_s - self._full_table_sent_s.get(address or vm, float("-inf"))
            < FULL_TABLE_INTERVAL_S
        ):
            return
        self._full_table_sent_s[address or vm] = now_s
        if address:
            self._peers.post(address, self.build_message(self.known_lives()))
        elif vm:
            self._on_stale_entry(vm)

    def _on_leases(self, leases: LimitLeases, connection: Connection) -> None:
        term = int(leases.term or 0)
        if term < self._leased_term:
            log.info("leases of a former leader dropped", term=term)
            return
        self._leased_term = term
        for lease in leases.leases or ():
            self._on_lease(lease)

    async def _publish(self, *, whole: bool) -> None:
        """Send changes to the other replicas, and handle or relay requests for shares."""
        if whole:
            self._expire()
        changed, self._changed = self._changed, set()
        requests, self._requests = self._requests, []
        leader: str | None = None
        if self._leadership.leads_since_s() is None:
            leader = self._leadership.leader_address()
        else:
            self._lease_shares(requests)
        for address in self._replicas():
            local_requests = (
                [request for relayed_by, request in requests if not relayed_by]
                if address == leader
                else []
            )
            if address != self._own_address and (
                changed or local_requests or (whole and self.table)
            ):
                self._peers.post(address, self.build_message(changed, requests=local_requests))

    def _lease_shares(self, requests: list[tuple[str, ShareRequest]]) -> None:
        """Lease shares to the entries that request them."""
        since_s, term = self._leadership.leads_since_s(), self._leadership.term()
        now_s = clocks.elapsed_s()
        if since_s is None or now_s < since_s + LEASE_S:
            return
        if term != self._ledger_term:
            self._ledger = self._new_ledger()
            self._ledger_term = term
        self._entry_count.record(self._live_entries(), confirmed=True)
        servers = self._limited_servers()
        leases_by_replica: dict[str, list[LimitLease]] = {}
        for relayed_by, request in requests:
            demand = decode_request(request, now_s)
            if demand.is_err():
                log.warning("request for shares rejected", failure=str(demand.unwrap_err()))
                continue
            shares = self._ledger.lease_shares(demand.unwrap(), servers)
            lease = LimitLease(
                request.vm,
                request.asked_ms,
                [LimitShare(life, share) for life, share in shares.items()],
            )
            leases_by_replica.setdefault(relayed_by, []).append(lease)
        for lease in leases_by_replica.pop("", ()):
            self._on_lease(lease)
        for address, leases in leases_by_replica.items():
            self._peers.post(address, LimitLeases(term, leases))

    def _new_ledger(self) -> ShareAllocator:
        return ShareAllocator(clock=clocks.elapsed_s, entries=self._entry_count.maximum)

    def _limited_servers(self) -> list[LimitedServer]:
        limited = []
        for life in self.rates.limited_lives():
            instance, limit = self._find_server(life), self.rates.rate_limit(life)
            if instance is not None and limit is not None:
                server = LimitedServer(
                    life=life,
                    service=instance.service,
                    failure_domain=instance.failure_domain,
                    per_s=limit.per_s,
                    unleased_share=limit.unleased_share,
                    max_holders=limit.max_holders,
                )
                limited.append(server)
        return limited

    def _expire(self) -> None:
        oldest_s = clocks.elapsed_s() - UNKNOWN_SERVER_TTL_S
        self.table.forget(
            record.life
            for record in self.table.records()
            if record.advertised_s < oldest_s and self._find_server(record.life) is None
        )


def _ignore(_: object) -> None:
    return


__all__ = ["LeadershipView", "LimitRelay"]
