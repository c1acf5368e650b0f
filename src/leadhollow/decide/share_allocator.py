"""Leases shares of the rate limits of servers to the entries that have requests for them.

The leader of the control replicas has one allocator. A share is a fraction of the limit and not a
rate, so a changed limit takes effect at all holders at once. A share counts until its lease ends,
even if the plan no longer contains it, so the shares in use never add up to more than is leased.
Entries that do not ask use an even part of the limit without a lease, and this part is not leased
to others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from zlib import crc32

from leadhollow.decide.send_limiter import LEASED_SHARE
from leadhollow.decide.share_terms import EntryDemand, LimitedServer, SharePlan

LEASE_S = 1.2
"""Validity of a share, counted from the request of its entry. Entries ask several times in it."""

DEMAND_VALID_S = 0.6  # an entry that has stopped asking has ended or is unreachable
USABLE_DEMAND_SHARE = 0.5
"""Share of the demand of an entry that may be leased to it while other entries can use the rest.
Requests do not arrive exactly when a token is free, and other servers suit some of them better."""

MAX_HOLDERS = 4
"""Number of entries that share one limit if their demand allows it. Each holder may have saved up a
token."""

REPLAN_DEMAND_SHARE = 0.5  # share of a limit; if its holders need less, a new plan is made
REPLAN_MISPLACED_SHARE = 0.25
"""Share of a limit. A new plan is made if some holders need this much that others hold in vain."""

REPLAN_LIMIT_FACTOR = 2.0  # change of a limit from which a new plan is made
REPLAN_ENTRIES_FACTOR = 1.5
"""Growth in the number of asking entries from which a new plan is made. The first entries to ask
were given the whole limit."""

GATHER_S = 0.2
"""Time in which entries may ask before a limit with a maximum of holders is planned. All of them
learn of a cold server at once; holders chosen among the first ones would keep more than they
need."""

MIN_SHARE = 0.001
PLAN_INTERVAL_S = 0.05  # how often plans are checked while no limit changes


class ShareAllocator:
    """Plans shares and keeps track of the leased ones.

    Parameters
    ----------
    clock
        Returns the time including suspensions.
    entries
        Returns the number of entries that may be live.
    """

    __slots__ = (
        "_clock",
        "_demands",
        "_entries",
        "_first_seen_s",
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
        self._plans: dict[str, SharePlan] = {}
        self._planned_per_s: dict[tuple[str, str], float] = {}  # by service and entry
        self._planned_s = float("-inf")
        self._first_seen_s: dict[str, float] = {}  # of servers with a maximum of holders
        self._leases: dict[str, dict[str, list[tuple[float, float]]]] = {}  # share, end of lease

    def lease_shares(
        self, demand: EntryDemand, servers: Iterable[LimitedServer]
    ) -> dict[str, float]:
        """Lease an entry its shares, by life. Servers missing from the result are held by others.

        Servers with a maximum of holders are in the result once they are leased, with a share of 0
        if others hold them. Until then entries use the unleased share.

        Parameters
        ----------
        demand
            Current demand of the entry.
        servers
            All servers with a limit.
        """
        now_s = self._clock()
        self._demands[demand.vm] = demand
        self._update_plans({server.life: server for server in servers}, now_s)
        leased: dict[str, float] = {}
        for life, plan in self._plans.items():
            share = self._lease(life, demand.vm, plan, now_s) if demand.vm in plan.shares else 0.0
            if share >= MIN_SHARE:
                leased[life] = share
            elif self._servers[life].max_holders is not None:
                leased[life] = 0.0
        return leased

    def in_use(self, life: str) -> float:
        """Return the sum of the shares of a limit whose leases have not ended."""
        return self._in_use(life, self._clock(), without="")

    def holders(self, life: str) -> dict[str, float]:
        """Return the planned shares of a limit, by entry."""
        plan = self._plans.get(life)
        return {} if plan is None else dict(plan.shares)

    def _lease(self, life: str, vm: str, plan: SharePlan, now_s: float) -> float:
        """Lease an entry its share of the limit of one server, and return the share.

        The planned share is the entry's share in the plan, scaled to the part of the limit that may
        be leased now. The entry gets less while leases of other entries leave less than that. A
        share below ``MIN_SHARE``, which may be negative, is returned but not leased.
        """
        leasable = self._leasable(self._servers[life].unleased_share)
        planned = plan.shares[vm] * leasable / LEASED_SHARE
        share = min(planned, leasable - self._in_use(life, now_s, without=vm))
        if share >= MIN_SHARE:
            own = self._leases.setdefault(life, {}).setdefault(vm, [])
            own[:] = [lease for lease in own if lease[1] > now_s]
            own.append((share, now_s + LEASE_S))
        return share

    def _leasable(self, unleased_share: float) -> float:
        """Return the share of a limit that may be leased: entries that do not ask use the rest."""
        entries = self._entries()
        silent = max(0, entries - len(self._demands))
        return LEASED_SHARE - unleased_share * silent / max(1, entries)

    def _in_use(self, life: str, now_s: float, *, without: str) -> float:
        leases = self._leases.get(life, {})
        return sum(_largest_share(found, now_s) for vm, found in leases.items() if vm != without)

    def _update_plans(self, servers: dict[str, LimitedServer], now_s: float) -> None:
        """Plan the limits that have no plan, or whose plan is no longer suitable."""
        limits = {life: server.terms() for life, server in servers.items()}
        unchanged = limits == {life: server.terms() for life, server in self._servers.items()}
        if unchanged and now_s - self._planned_s < PLAN_INTERVAL_S:
            return
        self._servers = servers
        self._planned_s = now_s
        self._expire(now_s)
        for life in self._plans.keys() - servers.keys():
            self._drop_plan(life)
        for life in self._first_seen_s.keys() - servers.keys():
            del self._first_seen_s[life]
        for life in sorted(servers):
            plan = self._plans.get(life)
            if plan is None and self._gathers(servers[life], now_s):
                continue
            if plan is None or not self._is_suitable(plan, servers[life]):
                self._drop_plan(life)
                maximum = servers[life].max_holders
                self._plans[life] = (
                    self._plan(servers[life])
                    if maximum is None
                    else self._plan_few(servers[life], maximum)
                )
                self._count_planned(self._plans[life], sign=1)

    def _gathers(self, server: LimitedServer, now_s: float) -> bool:
        """Tell whether more entries may ask before the holders of a limit are chosen."""
        if server.max_holders is None or len(self._demands) >= self._entries():
            return False
        return now_s - self._first_seen_s.setdefault(server.life, now_s) < GATHER_S

    def _drop_plan(self, life: str) -> None:
        plan = self._plans.pop(life, None)
        if plan is not None:
            self._count_planned(plan, sign=-1)

    def _count_planned(self, plan: SharePlan, *, sign: int) -> None:
        """Add a plan to, or subtract it from, the planned rates by service and entry."""
        for vm, share in plan.shares.items():
            key = (plan.service, vm)
            per_s = self._planned_per_s.get(key, 0.0) + sign * share * plan.per_s
            self._planned_per_s[key] = per_s

    def _is_suitable(self, plan: SharePlan, server: LimitedServer) -> bool:
        """Tell whether the holders still ask for shares and need the shares that they hold."""
        if not 1 / REPLAN_LIMIT_FACTOR < server.per_s / plan.per_s < REPLAN_LIMIT_FACTOR:
            return False
        if any(vm not in self._demands for vm in plan.shares):
            return False
        if len(self._demands) > REPLAN_ENTRIES_FACTOR * plan.entries:
            return False
        if server.max_holders is not None:
            return len(plan.shares) >= min(
                server.max_holders, MAX_HOLDERS, len(self._asking(server))
            )
        if self._is_misplaced(plan, server):
            return False
        if self._demands.keys() <= plan.shares.keys():
            return True
        own = sum(plan.shares.values()) * plan.per_s
        needed = own + sum(self._unplanned_per_s(vm, server) for vm in plan.shares)
        return min(own, needed) >= REPLAN_DEMAND_SHARE * LEASED_SHARE * server.per_s

    def _is_misplaced(self, plan: SharePlan, server: LimitedServer) -> bool:
        """Tell whether some holders need much of a limit that others hold and do not need."""
        unused_per_s = missing_per_s = 0.0
        for vm, share in plan.shares.items():
            unplanned_per_s = self._unplanned_per_s(vm, server)
            missing_per_s += max(0.0, unplanned_per_s)
            unused_per_s += min(share * plan.per_s, max(0.0, -unplanned_per_s))
        limit_per_s = LEASED_SHARE * server.per_s
        return min(unused_per_s, missing_per_s) >= REPLAN_MISPLACED_SHARE * limit_per_s

    def _plan(self, server: LimitedServer) -> SharePlan:
        """Choose the fewest holders whose demand covers the limit, local ones first.

        The order of entries differs from server to server, so that no entry holds all limits.
        """
        wanted_per_s = LEASED_SHARE * server.per_s
        unplanned = {vm: self._unplanned_per_s(vm, server) for vm in self._demands}
        order = [vm for vm in unplanned if unplanned[vm] >= wanted_per_s / MAX_HOLDERS]
        order.sort(key=lambda vm: (self._is_remote(vm, server), _hash_rank(server.life, vm)))
        if not order:
            order = [vm for vm in unplanned if self._demands[vm].per_s.get(server.service)]
            order.sort(key=lambda vm: -unplanned[vm])
        shares: dict[str, float] = {}
        left_per_s = wanted_per_s
        for vm in order:
            if left_per_s <= 0:
                break
            taken_per_s = min(max(unplanned[vm], MIN_SHARE * server.per_s), left_per_s)
            shares[vm] = taken_per_s / server.per_s
            left_per_s -= taken_per_s
        if shares and left_per_s > 0:
            scale = LEASED_SHARE / sum(shares.values())
            shares = {vm: share * scale for vm, share in shares.items()}
        return SharePlan(
            service=server.service, per_s=server.per_s, shares=shares, entries=len(self._demands)
        )

    def _plan_few(self, server: LimitedServer, maximum: int) -> SharePlan:
        """Choose holders with equal shares, local ones with the least planned rates first.

        There are more of them, up to the maximum, the less the usual demand of an entry covers.

        A share is no larger while few of the entries have asked, so that those who ask first do not
        hold more than they need for the validity of a lease.
        """
        unplanned = {vm: self._unplanned_per_s(vm, server) for vm in self._asking(server)}
        order = sorted(
            unplanned,
            key=lambda vm: (
                self._is_remote(vm, server),
                -unplanned[vm],
                _hash_rank(server.life, vm),
            ),
        )
        usable_per_s = USABLE_DEMAND_SHARE * sum(
            self._demands[vm].per_s[server.service] for vm in order
        )
        needed = LEASED_SHARE * server.per_s * len(order) / max(usable_per_s, 1e-9)
        order = order[: max(min(maximum, MAX_HOLDERS), min(maximum, round(needed)))]
        parts = max(len(order), min(maximum, MAX_HOLDERS, self._entries()))
        shares = dict.fromkeys(order, LEASED_SHARE / parts) if order else {}
        return SharePlan(
            service=server.service, per_s=server.per_s, shares=shares, entries=len(self._demands)
        )

    def _asking(self, server: LimitedServer) -> list[str]:
        """Return the entries that have requests for the service of a server."""
        return [vm for vm, found in self._demands.items() if found.per_s.get(server.service)]

    def _unplanned_per_s(self, vm: str, server: LimitedServer) -> float:
        """Return the usable demand of an entry beyond its planned rates."""
        demand_per_s = self._demands[vm].per_s.get(server.service, 0.0)
        return USABLE_DEMAND_SHARE * demand_per_s - self._planned_per_s.get(
            (server.service, vm), 0.0
        )

    def _is_remote(self, vm: str, server: LimitedServer) -> bool:
        return self._demands[vm].failure_domain != server.failure_domain

    def _expire(self, now_s: float) -> None:
        for vm, demand in list(self._demands.items()):
            if now_s - demand.heard_s > DEMAND_VALID_S:
                del self._demands[vm]
        for life, leases in list(self._leases.items()):
            for vm in [vm for vm, found in leases.items() if not _largest_share(found, now_s)]:
                del leases[vm]
            if not leases:
                del self._leases[life]


def _largest_share(leases: list[tuple[float, float]], now_s: float) -> float:
    """Return the largest share in force. The entry may not have received a smaller one yet."""
    return max((share for share, until_s in leases if until_s > now_s), default=0.0)


def _hash_rank(life: str, vm: str) -> int:
    return crc32(f"{life}/{vm}".encode())


__all__ = ["DEMAND_VALID_S", "LEASE_S", "EntryDemand", "LimitedServer", "ShareAllocator"]
