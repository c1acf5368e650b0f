"""Keeps this entry's sends to backend servers within the limits that they name.

An answer tells a limit to one entry; control replicas tell it to all, and lease each entry a share
of it. What this entry may send is kept on each limited server.
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

GATHER_S = 0.002
ASK_S = 0.25  # how often shares are asked for while there is any limit
WHOLE_PAUSE_S = 1.0  # between two times that everything is told to the same replica
FORGET_S = 60.0  # after which the limit of a server that is gone is dropped
MOST_MALFORMED_LOGGED = 64  # servers; one that starts again and again cannot fill the logs
LOG_PAUSE_S = 1.0  # between two log lines on a limit of the same server that changes

log = get_logger("limits")


class DemandGauge(Protocol):
    """Counts the requests of callers."""

    def demand_per_s(self, service: str) -> float:
        """Give the requests a second for a service lately."""
        ...


class RateLimitTracker(BatchingService):
    """Limits as one entry knows them.

    Parameters
    ----------
    vm, failure_domain
        What this entry says of itself when it asks for shares.
    demand
        Requests that came here.

    Attributes
    ----------
    malformed
        Answers whose limit was no number.
    """

    __slots__ = (
        "_board",
        "_changed",
        "_demand",
        "_failure_domain",
        "_feed",
        "_logged_s",
        "_malformed_lives",
        "_mark",
        "_peers",
        "_random",
        "_told",
        "_vm",
        "_whole_s",
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
        self._board = directory
        self._feed = feed
        self._peers = peers
        self._demand = demand
        self._random = random.Random(seed)
        self.table = LimitTable()
        self.malformed = 0
        self._malformed_lives: set[str] = set()
        self._changed: set[str] = set()
        self._told = ""  # replica that knows everything
        self._mark = 0  # of the replica's table, as it last said
        self._whole_s = float("-inf")
        self._logged_s: dict[str, float] = {}
        directory.on_server_added(self._on_found)
        feed.on_limits(self._on_news)
        feed.on_limit_lease(self._on_lease)
        super().__init__(batch_window_s=GATHER_S, refresh_s=ASK_S)

    def needs_refresh(self) -> bool:
        """Tell whether any limit is in force."""
        return bool(self.table.limits())

    def record_response(
        self,
        server: Server,
        facts: ResponseMetadata,
        *,
        sent_s: float | None,
        call: OwnCall | None = None,
    ) -> None:
        """Take what an answer says of its server's limit.

        Parameters
        ----------
        sent_s
            When its request was sent, by the clock with suspensions; None where the server was not
            known to have a limit then.
        """
        if facts.limit_malformed:
            self._note_malformed(server)
            return
        if facts.limit_per_s is None and (server.send_limiter is None or sent_s is None):
            return
        if facts.instance not in (None, server.instance.instance):
            return
        life = server.instance.life
        if facts.limit_per_s is not None:
            now_s = clocks.elapsed_s()
            changed = self.table.record_limit(life, per_s=facts.limit_per_s, received_s=now_s)
        else:
            changed = sent_s is not None and self.table.lift(life, sent_s=sent_s)
        if changed:
            self._changed.add(life)
            self._apply(server)
            self.note_change()

    def _note_malformed(self, server: Server) -> None:
        """Count a limit that is no number, and log the first one of each server."""
        self.malformed += 1
        life = server.instance.life
        if life in self._malformed_lives or len(self._malformed_lives) >= MOST_MALFORMED_LOGGED:
            return
        self._malformed_lives.add(life)
        failure = Failure(code=Code.LIMIT_MALFORMED)
        log.warning("limit not taken", failure=str(failure), instance=server.instance.instance)

    def _on_news(self, news: LimitNews, whole: bool) -> None:
        decoded = decode_limits(news, clocks.elapsed_s())
        if decoded.is_err():
            log.warning("news of limits not taken", failure=str(decoded.unwrap_err()))
            return
        self._mark = int(news.mark or 0)
        if whole:
            self._told = ""  # the replica may have started anew: it is told everything
        changed = {limit.life for limit in decoded.unwrap() if self.table.merge(limit)}
        for server in self._board.all_servers():
            if server.instance.life in changed:
                self._apply(server)
        if changed or (whole and self.table):
            self.note_change()

    def _on_lease(self, lease: LimitLease) -> None:
        if lease.vm != self._vm:
            return
        until_s = min((lease.asked_ms or 0) / 1000, clocks.elapsed_s()) + LEASE_S
        shares = {found.life: found.share for found in lease.shares or () if _is_part(found.share)}
        for server in self._board.all_servers():
            if server.send_limiter is not None:
                server.send_limiter.lease(shares.get(server.instance.life, 0.0), until_s=until_s)
        self._board.notify_change()

    def _on_found(self, server: Server) -> None:
        if self.table.limit(server.instance.life) is not None:
            self._apply(server)

    def _apply(self, server: Server) -> None:
        """Hold a server to the limit that is in force, or to none."""
        per_s = self.table.limit(server.instance.life)
        before = server.send_limiter
        if per_s is None:
            server.send_limiter = None
        elif before is not None:
            before.set_limit(per_s)
        else:
            server.send_limiter = SendLimiter(
                per_s=per_s,
                entries=lambda: self._feed.entries,
                clock=clocks.elapsed_s,
                source=self._random,
            )
        self._log(server, per_s, before)
        self._board.notify_change()

    def _log(self, server: Server, per_s: float | None, before: SendLimiter | None) -> None:
        life, now_s = server.instance.life, clocks.elapsed_s()
        changes = per_s is not None and before is not None
        if changes and now_s - self._logged_s.get(life, float("-inf")) < LOG_PAUSE_S:
            return
        self._logged_s[life] = now_s
        if per_s is None:
            del self._logged_s[life]
        log.info(
            "server limit lifted" if per_s is None else "server limit in force",
            instance=server.instance.instance,
            address=server.instance.address,
            limit_per_s=per_s,
            withheld=0 if before is None else before.withheld,
        )

    async def _publish(self, *, whole: bool) -> None:
        """Tell the replica that is followed what is news, and ask it for shares."""
        source = self._feed.source
        if not source:
            self._told = ""
            return
        now_s = clocks.elapsed_s()
        unlike = self._mark != self.table.checksum() and now_s - self._whole_s > WHOLE_PAUSE_S
        if source != self._told or (whole and unlike):
            self._changed |= {record.life for record in self.table.records()}
            self._whole_s = now_s
        if whole:
            self._forget_old(now_s)
        limited = self.table.limits()
        if not limited and not self._changed:
            self._told = source
            return
        connected = await self._peers.connection(source)
        if connected.is_err():
            self._told = ""
            return
        changed, self._changed = self._changed, set()
        found = [self.table.record(life) for life in sorted(changed)]
        news = LimitNews(
            "",
            self.table.checksum(),
            encode_limits([one for one in found if one is not None], clocks.elapsed_s()),
            (
                [encode_request(self._own_demand(), asked_ms=int(clocks.elapsed_s() * 1000))]
                if limited
                else []
            ),
        )
        connected.unwrap().oneway(news)
        self._told = source

    def _forget_old(self, now_s: float) -> None:
        """Drop what is known of servers that are long gone."""
        lives = {server.instance.life for server in self._board.all_servers()}
        self.table.forget(
            record.life
            for record in self.table.records()
            if record.life not in lives and now_s - record.advertised_s > FORGET_S
        )

    def _own_demand(self) -> EntryDemand:
        services = {
            server.instance.service
            for server in self._board.all_servers()
            if server.send_limiter is not None
        }
        return EntryDemand(
            vm=self._vm,
            failure_domain=self._failure_domain,
            per_s={service: self._demand.demand_per_s(service) for service in services},
            heard_s=clocks.elapsed_s(),
        )


def _is_part(share: float | None) -> bool:
    """Tell whether a share can be a part of a limit; not a number is none."""
    return share is not None and 0.0 < share <= 1.0


__all__ = ["DemandGauge", "LimitKeeper"]
