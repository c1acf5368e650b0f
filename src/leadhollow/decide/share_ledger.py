"""Leases shares of servers' limits to the entries that have requests for them.

The leader of the control replicas keeps one ledger. A share is a part of the limit and not a rate,
so a limit that changes holds at once at all its holders. A share counts until its lease ends, also
after it was planned away, so shares in use never add up to more than is leased.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from zlib import crc32

from leadhollow.decide.send_allowance import LEASED_PART, TRIAL_PER_S

LEASE_S = 1.2
"""How long a share holds, counted from when its entry asked. Entries ask several times in it."""

ASK_VALID_S = 0.9  # an entry that asks no more has ended, or is out of touch
USABLE_PART = 0.5
"""Of an entry's demand that is leased to it where others can use the rest: its requests do not come
just when a token is free, and other servers are better for some of them."""

FEW_HOLDERS = 4
"""Entries that share one limit, where their demand allows: each may have a token saved up."""

ENOUGH = 0.5  # of what is leased; holders that need less than it are chosen anew
LIMIT_CHANGE = 2.0  # factor from which holders are chosen anew
MORE_ENTRIES = 1.5  # as many entries ask as when holders were chosen: those first heard of hold all
LEAST_SHARE = 0.001


class EntryDemand:
    """Requests of one entry, as it last told.

    Parameters
    ----------
    per_s
        Requests a second for each service that has a limited server.
    """

    __slots__ = ("failure_domain", "heard_s", "per_s", "vm")

    def __init__(
        self, *, vm: str, failure_domain: str, per_s: Mapping[str, float], heard_s: float
    ) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.per_s = dict(per_s)
        self.heard_s = heard_s


class LimitedServer:
    """A server whose limit is shared out."""

    __slots__ = ("failure_domain", "life", "per_s", "service")

    def __init__(self, *, life: str, service: str, failure_domain: str, per_s: float) -> None:
        self.life = life
        self.service = service
        self.failure_domain = failure_domain
        self.per_s = max(per_s, TRIAL_PER_S)


class _Plan:
    """Who is to hold which share of one server's limit.

    Parameters
    ----------
    entries
        How many asked when it was made.
    """

    __slots__ = ("entries", "per_s", "service", "shares")

    def __init__(
        self, *, service: str, per_s: float, shares: dict[str, float], entries: int
    ) -> None:
        self.entries = entries
        self.service = service
        self.per_s = per_s
        self.shares = shares

    def rate_per_s(self, vm: str) -> float:
        """Give what an entry is to send."""
        return self.shares.get(vm, 0.0) * self.per_s


class ShareLedger:
    """Plans shares and keeps account of those that are leased.

    Parameters
    ----------
    clock
        Gives the time, suspensions included.
    """

    __slots__ = ("_clock", "_demands", "_leases", "_plans")

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._demands: dict[str, EntryDemand] = {}
        self._plans: dict[str, _Plan] = {}
        self._leases: dict[str, dict[str, list[tuple[float, float]]]] = {}  # share, until

    def ask(self, demand: EntryDemand, servers: Iterable[LimitedServer]) -> dict[str, float]:
        """Lease an entry its shares, by life; a server that is left out is held by others."""
        now_s = self._clock()
        self._demands[demand.vm] = demand
        self._forget(now_s)
        known = {server.life: server for server in servers}
        for life in self._plans.keys() - known.keys():
            del self._plans[life]
        leased: dict[str, float] = {}
        for server in sorted(known.values(), key=lambda found: found.life):
            share = self._share(server, demand.vm, now_s)
            if share >= LEAST_SHARE:
                leased[server.life] = share
        return leased

    def in_use(self, life: str) -> float:
        """Sum up the shares of a limit whose leases have not ended."""
        now_s = self._clock()
        leases = self._leases.get(life, {})
        return sum(_counted(found, now_s) for found in leases.values())

    def holders(self, life: str) -> dict[str, float]:
        """Give the planned shares of a limit, by entry."""
        plan = self._plans.get(life)
        return {} if plan is None else dict(plan.shares)

    def _share(self, server: LimitedServer, vm: str, now_s: float) -> float:
        plan = self._plans.get(server.life)
        if plan is None or not self._still_good(plan, server):
            plan = self._plans[server.life] = self._plan(server)
        leases = self._leases.setdefault(server.life, {})
        others = sum(_counted(found, now_s) for name, found in leases.items() if name != vm)
        share = min(plan.shares.get(vm, 0.0), LEASED_PART - others)
        if share >= LEAST_SHARE:
            leases.setdefault(vm, []).append((share, now_s + LEASE_S))
        return share

    def _still_good(self, plan: _Plan, server: LimitedServer) -> bool:
        """Tell whether the holders are in touch and still need what they hold."""
        if not 1 / LIMIT_CHANGE < server.per_s / plan.per_s < LIMIT_CHANGE:
            return False
        if any(vm not in self._demands for vm in plan.shares):
            return False
        if len(self._demands) > MORE_ENTRIES * plan.entries:
            return False
        wanted_per_s = ENOUGH * LEASED_PART * server.per_s
        room = sum(self._room_per_s(vm, server) for vm in plan.shares)
        planned = sum(plan.shares.values())
        spread_out = planned >= ENOUGH * LEASED_PART or self._demands.keys() <= plan.shares.keys()
        return spread_out and (room >= wanted_per_s or self._demands.keys() <= plan.shares.keys())

    def _plan(self, server: LimitedServer) -> _Plan:
        """Choose the fewest holders whose demand covers the limit, near ones first.

        The order of entries differs from server to server, so that no entry holds all limits.
        """
        wanted_per_s = LEASED_PART * server.per_s
        room = {vm: self._room_per_s(vm, server) for vm in self._demands}
        order = [vm for vm in room if room[vm] >= wanted_per_s / FEW_HOLDERS]
        order.sort(key=lambda vm: (self._is_far(vm, server), _rank(server.life, vm)))
        if not order:
            order = [vm for vm in room if self._demands[vm].per_s.get(server.service)]
            order.sort(key=lambda vm: -room[vm])
        shares: dict[str, float] = {}
        left_per_s = wanted_per_s
        for vm in order:
            if left_per_s <= 0:
                break
            taken_per_s = min(max(room[vm], LEAST_SHARE * server.per_s), left_per_s)
            shares[vm] = taken_per_s / server.per_s
            left_per_s -= taken_per_s
        if shares and left_per_s > 0:
            scale = LEASED_PART / sum(shares.values())
            shares = {vm: share * scale for vm, share in shares.items()}
        return _Plan(service=server.service, per_s=server.per_s, shares=shares, entries=len(room))

    def _room_per_s(self, vm: str, server: LimitedServer) -> float:
        """Give what an entry could send beside what it is to send to other limited servers."""
        demand = self._demands[vm]
        planned = sum(
            plan.rate_per_s(vm)
            for life, plan in self._plans.items()
            if life != server.life and plan.service == server.service
        )
        return USABLE_PART * demand.per_s.get(server.service, 0.0) - planned

    def _is_far(self, vm: str, server: LimitedServer) -> bool:
        return self._demands[vm].failure_domain != server.failure_domain

    def _forget(self, now_s: float) -> None:
        for vm, demand in list(self._demands.items()):
            if now_s - demand.heard_s > ASK_VALID_S:
                del self._demands[vm]
        for life, leases in list(self._leases.items()):
            for vm, found in list(leases.items()):
                leases[vm] = [lease for lease in found if lease[1] > now_s]
                if not leases[vm]:
                    del leases[vm]
            if not leases:
                del self._leases[life]


def _counted(leases: list[tuple[float, float]], now_s: float) -> float:
    """Give the largest share that is leased: the entry may not have heard of a smaller one."""
    return max((share for share, until_s in leases if until_s > now_s), default=0.0)


def _rank(life: str, vm: str) -> int:
    return crc32(f"{life}/{vm}".encode())


__all__ = ["ASK_VALID_S", "LEASE_S", "EntryDemand", "LimitedServer", "ShareLedger"]
