"""Leases shares of servers' limits to the entries that have requests for them.

The leader of the control replicas keeps one ledger. A share is a part of the limit and not a rate,
so a limit that changes holds at once at all its holders. A share counts until its lease ends, also
after it was planned away, so shares in use never add up to more than is leased. Entries that do not
ask use an even part of the limit without a lease; what they may use is not leased to others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from zlib import crc32

from leadhollow.decide.send_limiter import LEASED_SHARE, TRIAL_PER_S, UNLEASED_SHARE

LEASE_S = 1.2
"""How long a share holds, counted from when its entry asked. Entries ask several times in it."""

DEMAND_VALID_S = 0.6  # an entry that asks no more has ended, or is out of touch
USABLE_PART = 0.5
"""Part of an entry's demand that may be leased to it while other entries can use the rest: requests
do not arrive just when a token is free, and other servers are better for some of them."""

FEW_HOLDERS = 4
"""Entries that share one limit where their demand allows it: each may have saved up a token."""

REPLAN_DEMAND = 0.5  # part of a limit; a plan is made anew where its holders need less
REPLAN_LIMIT_FACTOR = 2.0  # a plan is made anew where the limit changed by as much
REPLAN_ENTRIES_FACTOR = 1.5
"""A plan is made anew where as many more entries ask: the first to ask were given everything."""

LEAST_SHARE = 0.001
PLAN_INTERVAL_S = 0.05  # how often plans are checked while no limit changes


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


class ShareAllocator:
    """Plans shares and keeps account of those that are leased.

    Parameters
    ----------
    clock
        Gives the time, suspensions included.
    entries
        Gives the number of entries that may be live.
    """

    __slots__ = (
        "_clock",
        "_demands",
        "_entries",
        "_leases",
        "_planned_per_s",
        "_planned_s",
        "_plans",
        "_servers",
    )

    def __init__(self, *, clock: Callable[[], float], entries: Callable[[], int]) -> None:
        self._clock = clock
        self._entries = entries
        self._demands: dict[str, EntryDemand] = {}
        self._servers: dict[str, LimitedServer] = {}
        self._plans: dict[str, _Plan] = {}
        self._planned_per_s: dict[tuple[str, str], float] = {}  # by service and entry
        self._planned_s = float("-inf")
        self._leases: dict[str, dict[str, list[tuple[float, float]]]] = {}  # share, until

    def lease_shares(
        self, demand: EntryDemand, servers: Iterable[LimitedServer]
    ) -> dict[str, float]:
        """Lease an entry its shares, by life; a server that is left out is held by others."""
        now_s = self._clock()
        self._demands[demand.vm] = demand
        self._plan_all({server.life: server for server in servers}, now_s)
        leased: dict[str, float] = {}
        for life, plan in self._plans.items():
            share = self._lease(life, demand.vm, plan, now_s) if demand.vm in plan.shares else 0.0
            if share >= LEAST_SHARE:
                leased[life] = share
        return leased

    def in_use(self, life: str) -> float:
        """Sum up the shares of a limit whose leases have not ended."""
        return self._in_use(life, self._clock(), without="")

    def holders(self, life: str) -> dict[str, float]:
        """Give the planned shares of a limit, by entry."""
        plan = self._plans.get(life)
        return {} if plan is None else dict(plan.shares)

    def _lease(self, life: str, vm: str, plan: _Plan, now_s: float) -> float:
        leasable = self._leasable()
        planned = plan.shares[vm] * leasable / LEASED_SHARE
        share = min(planned, leasable - self._in_use(life, now_s, without=vm))
        if share >= LEAST_SHARE:
            own = self._leases.setdefault(life, {}).setdefault(vm, [])
            own[:] = [lease for lease in own if lease[1] > now_s]
            own.append((share, now_s + LEASE_S))
        return share

    def _leasable(self) -> float:
        """Give the part of a limit that entries which do not ask leave to those that do."""
        entries = self._entries()
        silent = max(0, entries - len(self._demands))
        return LEASED_SHARE - UNLEASED_SHARE * silent / max(1, entries)

    def _in_use(self, life: str, now_s: float, *, without: str) -> float:
        leases = self._leases.get(life, {})
        return sum(_counted(found, now_s) for vm, found in leases.items() if vm != without)

    def _plan_all(self, servers: dict[str, LimitedServer], now_s: float) -> None:
        """Plan shares where there are none, or where others should hold a limit."""
        limits = {life: server.per_s for life, server in servers.items()}
        unchanged = limits == {life: server.per_s for life, server in self._servers.items()}
        if unchanged and now_s - self._planned_s < PLAN_INTERVAL_S:
            return
        self._servers = servers
        self._planned_s = now_s
        self._forget(now_s)
        for life in self._plans.keys() - servers.keys():
            self._take_back(life)
        for life in sorted(servers):
            plan = self._plans.get(life)
            if plan is None or not self._still_good(plan, servers[life]):
                self._take_back(life)
                self._plans[life] = self._plan(servers[life])
                self._note(self._plans[life], sign=1)

    def _take_back(self, life: str) -> None:
        plan = self._plans.pop(life, None)
        if plan is not None:
            self._note(plan, sign=-1)

    def _note(self, plan: _Plan, *, sign: int) -> None:
        """Count what entries are to send to limited servers of a service."""
        for vm, share in plan.shares.items():
            key = (plan.service, vm)
            per_s = self._planned_per_s.get(key, 0.0) + sign * share * plan.per_s
            self._planned_per_s[key] = per_s

    def _still_good(self, plan: _Plan, server: LimitedServer) -> bool:
        """Tell whether the holders are in touch and still need what they hold."""
        if not 1 / REPLAN_LIMIT_FACTOR < server.per_s / plan.per_s < REPLAN_LIMIT_FACTOR:
            return False
        if any(vm not in self._demands for vm in plan.shares):
            return False
        if len(self._demands) > REPLAN_ENTRIES_FACTOR * plan.entries:
            return False
        if self._demands.keys() <= plan.shares.keys():
            return True
        own = sum(plan.shares.values()) * plan.per_s
        room = own + sum(self._room_per_s(vm, server) for vm in plan.shares)
        return min(own, room) >= REPLAN_DEMAND * LEASED_SHARE * server.per_s

    def _plan(self, server: LimitedServer) -> _Plan:
        """Choose the fewest holders whose demand covers the limit, near ones first.

        The order of entries differs from server to server, so that no entry holds all limits.
        """
        wanted_per_s = LEASED_SHARE * server.per_s
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
            scale = LEASED_SHARE / sum(shares.values())
            shares = {vm: share * scale for vm, share in shares.items()}
        return _Plan(
            service=server.service, per_s=server.per_s, shares=shares, entries=len(self._demands)
        )

    def _room_per_s(self, vm: str, server: LimitedServer) -> float:
        """Give what an entry could send beside what it is to send to limited servers already."""
        demand_per_s = self._demands[vm].per_s.get(server.service, 0.0)
        return USABLE_PART * demand_per_s - self._planned_per_s.get((server.service, vm), 0.0)

    def _is_far(self, vm: str, server: LimitedServer) -> bool:
        return self._demands[vm].failure_domain != server.failure_domain

    def _forget(self, now_s: float) -> None:
        for vm, demand in list(self._demands.items()):
            if now_s - demand.heard_s > DEMAND_VALID_S:
                del self._demands[vm]
        for life, leases in list(self._leases.items()):
            for vm in [vm for vm, found in leases.items() if not _counted(found, now_s)]:
                del leases[vm]
            if not leases:
                del self._leases[life]


def _counted(leases: list[tuple[float, float]], now_s: float) -> float:
    """Give the largest share that is leased: the entry may not have heard of a smaller one."""
    return max((share for share, until_s in leases if until_s > now_s), default=0.0)


def _rank(life: str, vm: str) -> int:
    return crc32(f"{life}/{vm}".encode())


__all__ = ["DEMAND_VALID_S", "LEASE_S", "EntryDemand", "LimitedServer", "ShareLedger"]
