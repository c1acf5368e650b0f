"""Limits of backend servers at one control replica: merged, passed on, shared out by the leader.

Replicas and entries tell each other which limits are in force; a mark that differs shows who lacks
something. Entries ask for shares through the replica that they follow. Only the leader leases, and
only once the leases of the leader before have ended.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from leadhollow.decide.limit_table import LimitTable
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

GATHER_S = 0.004  # requests of several entries travel to the leader together
REFRESH_S = 1.0  # how often replicas compare their tables
WHOLE_PAUSE_S = 1.0  # between two whole tables to the same process
FORGET_S = 60.0  # after which a limit of a server that is not known is dropped

log = get_logger("limits")


class LeadershipView(Protocol):
    """Who leads the control replicas."""

    def term(self) -> int:
        """Give the current term."""
        ...

    def leads_since_s(self) -> float | None:
        """Give when this replica came to lead, None where it does not surely lead now."""
        ...

    def leader_address(self) -> str | None:
        """Give where the leader is reached, None where it is not known or is this replica."""
        ...


class LimitRelay(BatchingService):
    """Limits as one control replica knows them.

    Parameters
    ----------
    own_address
        Where other replicas reach us.
    replicas
        Gives the addresses of all replicas.
    server_of
        Finds a backend server by its life.
    entries
        Gives the number of live entries.
    """

    __slots__ = (
        "_changed",
        "_entries",
        "_entry_count",
        "_lead",
        "_leased_term",
        "_ledger",
        "_ledger_term",
        "_on_behind",
        "_on_lease",
        "_on_limits",
        "_own_address",
        "_peers",
        "_replicas",
        "_requests",
        "_server_of",
        "_whole_s",
        "table",
    )

    def __init__(
        self,
        *,
        own_address: str,
        replicas: Callable[[], list[str]],
        leadership: Lead,
        find_server: Callable[[str], Instance | None],
        live_entries: Callable[[], int],
        peers: PeerPool,
        handlers: HandlerTable,
    ) -> None:
        self._own_address = own_address
        self._replicas = replicas
        self._lead = leadership
        self._server_of = find_server
        self._peers = peers
        self.table = LimitTable()
        self._changed: set[str] = set()
        self._requests: list[tuple[str, ShareRequest]] = []  # with the replica that passed it on
        self._entries = live_entries
        self._entry_count = EntryCount(clock=clocks.elapsed_s)
        self._ledger = self._new_ledger()
        self._ledger_term = 0
        self._leased_term = 0  # highest term whose leases were passed on
        self._whole_s: dict[str, float] = {}
        self._on_limits: Callable[[set[str]], None] = _ignore
        self._on_lease: Callable[[LimitLease], None] = _ignore
        self._on_behind: Callable[[str], None] = _ignore
        super().__init__(batch_window_s=GATHER_S, refresh_s=REFRESH_S)
        handlers.on_oneway(LimitNews, self._on_news)
        handlers.on_oneway(LimitLeases, self._on_leases)

    def set_listeners(
        self,
        *,
        on_limits: Callable[[set[str]], None],
        on_lease: Callable[[LimitLease], None],
        on_behind: Callable[[str], None],
    ) -> None:
        """Set what is called with lives whose limit changed, leases, and entries that lack news."""
        self._on_limits = on_limits
        self._on_lease = on_lease
        self._on_behind = on_behind

    def needs_refresh(self) -> bool:
        """Tell whether any limit is known."""
        return bool(self.table)

    def build_message(
        self, lives: Iterable[str], *, requests: Iterable[ShareRequest] = ()
    ) -> LimitNews:
        """Encode what is known of some lives."""
        found = [self.table.record(life) for life in sorted(lives)]
        limits = encode_limits([one for one in found if one is not None], clocks.elapsed_s())
        return LimitNews(self._own_address, self.table.checksum(), limits, list(requests))

    def known_lives(self) -> set[str]:
        """Name all lives of which something is known."""
        return {record.life for record in self.table.records()}

    def _on_news(self, news: LimitNews, connection: Connection) -> None:
        decoded = decode_limits(news, clocks.elapsed_s())
        if decoded.is_err():
            log.warning("news of limits not taken", failure=str(decoded.unwrap_err()))
            return
        changed = {limit.life for limit in decoded.unwrap() if self.table.merge(limit)}
        if changed:
            self._changed |= changed
            self._on_limits(changed)
        room = max(0, MAX_REQUESTS - len(self._requests))
        self._requests += [(news.address or "", found) for found in (news.requests or ())[:room]]
        if changed or self._requests:
            self.note_change()
        if int(news.mark or 0) != self.table.checksum():
            self._tell_everything(news.address or "", connection)

    def _tell_everything(self, address: str, connection: Connection) -> None:
        vm = "" if connection.hello is None else connection.hello.vm
        now_s = clocks.elapsed_s()
        if now_s - self._whole_s.get(address or vm, float("-inf")) < WHOLE_PAUSE_S:
            return
        self._whole_s[address or vm] = now_s
        if address:
            self._peers.post(address, self.build_message(self.known_lives()))
        elif vm:
            self._on_behind(vm)

    def _on_leases(self, leases: LimitLeases, connection: Connection) -> None:
        term = int(leases.term or 0)
        if term < self._leased_term:
            log.info("leases of a former leader dropped", term=term)
            return
        self._leased_term = term
        for lease in leases.leases or ():
            self._on_lease(lease)

    async def _publish(self, *, whole: bool) -> None:
        """Tell the other replicas what is news, and serve or pass on requests for shares."""
        if whole:
            self._forget_old()
        changed, self._changed = self._changed, set()
        requests, self._requests = self._requests, []
        leader: str | None = None
        if self._lead.leads_since_s() is None:
            leader = self._lead.leader_address()
        else:
            self._serve(requests)
        for address in self._replicas():
            own = [request for via, request in requests if not via] if address == leader else []
            if address != self._own_address and (changed or own or (whole and self.table)):
                self._peers.post(address, self.build_message(changed, requests=own))

    def _serve(self, requests: list[tuple[str, ShareRequest]]) -> None:
        """Lease shares to the entries that ask."""
        since_s, term = self._lead.leads_since_s(), self._lead.term()
        now_s = clocks.elapsed_s()
        if since_s is None or now_s < since_s + LEASE_S:
            return
        if term != self._ledger_term:
            self._ledger = self._new_ledger()
            self._ledger_term = term
        self._entry_count.record(self._entries())
        servers = self._servers()
        by_replica: dict[str, list[LimitLease]] = {}
        for via, request in requests:
            demand = decode_request(request, now_s)
            if demand.is_err():
                log.warning("request for shares not taken", failure=str(demand.unwrap_err()))
                continue
            shares = self._ledger.lease_shares(demand.unwrap(), servers)
            lease = LimitLease(
                request.vm,
                request.asked_ms,
                [LimitShare(life, share) for life, share in shares.items()],
            )
            by_replica.setdefault(via, []).append(lease)
        for lease in by_replica.pop("", ()):
            self._on_lease(lease)
        for address, leases in by_replica.items():
            self._peers.post(address, LimitLeases(term, leases))

    def _new_ledger(self) -> ShareAllocator:
        return ShareAllocator(clock=clocks.elapsed_s, entries=self._entry_count.maximum)

    def _servers(self) -> list[LimitedServer]:
        found = []
        for life, per_s in self.table.limits().items():
            instance = self._server_of(life)
            if instance is not None:
                server = LimitedServer(
                    life=life,
                    service=instance.service,
                    failure_domain=instance.failure_domain,
                    per_s=per_s,
                )
                found.append(server)
        return found

    def _forget_old(self) -> None:
        oldest_s = clocks.elapsed_s() - FORGET_S
        self.table.forget(
            record.life
            for record in self.table.records()
            if record.advertised_s < oldest_s and self._server_of(record.life) is None
        )


def _ignore(_: object) -> None:
    return


__all__ = ["LeadershipView", "LimitRelay"]
