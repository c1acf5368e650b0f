"""Entries, a leader and cold servers in virtual time, with the product's limiter and allocator."""

from __future__ import annotations

import random
from collections import deque

from leadhollow.decide.cold_servers import ColdServers
from leadhollow.decide.eligibility import FailureDomains
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.decide.share_allocator import LEASE_S, EntryDemand, LimitedServer, ShareAllocator
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.routing.model import ServiceRecord
from leadhollow.settings.node import Bounds

SERVICE = "engines"
DOMAINS = ("a", "b", "c")
STEP_S = 0.02
ASK_INTERVAL_S = 0.25
ONE_WAY_S = (0.005, 0.04)
DEMAND_WINDOW_S = 10.0


class Instances:
    """Announcements that one process knows."""

    def __init__(self) -> None:
        self._by_life: dict[str, Instance] = {}
        self._listeners = []

    def merge(self, instance: Instance) -> None:
        self._by_life[instance.life] = instance
        for listener in self._listeners:
            listener(instance)

    def of_life(self, life: str) -> Instance | None:
        return self._by_life.get(life)

    def at_address(self, address: str) -> Instance | None:
        return next((each for each in self._by_life.values() if each.address == address), None)

    def instances(self) -> list[Instance]:
        return list(self._by_life.values())

    def on_change(self, listener) -> None:
        self._listeners.append(listener)


def make_instance(number: int = 0, *, born_ms: int = 1, cold_until_s: float = 0.0) -> Instance:
    return Instance(
        instance=f"i-{number}",
        service=SERVICE,
        address=f"10.0.0.{number}:80",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        sequence=1,
        state=InstanceState.READY,
        slots=12,
        served=(),
        heard_s=0.0,
        cold_until_s=cold_until_s,
        born_ms=born_ms,
    )


class View:
    """What one process knows of cold servers."""

    def __init__(self, fleet: Fleet) -> None:
        self.table = Instances()
        self.domains = FailureDomains(regions={})
        self.cold = ColdServers(
            instances=self.table,
            service=lambda name: fleet.service,
            bounds=fleet.bounds,
            clock=lambda: fleet.now_s,
        )
        self.cold.watch(self.domains)


class Entry:
    """One entry, which sends what waits to any cold server that it has a token for."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.vm = f"entry-{number}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.random = random.Random(f"{fleet.seed} {number}")
        self.start()

    def start(self) -> None:
        """Start, or start again with nothing known."""
        self.view = View(self.fleet)
        self.view.cold.on_change(self.on_cold)
        self.limiters: dict[str, SendLimiter] = {}
        self.waiting = 0
        self.cut = False
        self.next_ask_s = self.fleet.now_s
        self.arrivals_s: deque[float] = deque()

    def on_cold(self, life: str) -> None:
        limit = self.view.cold.rate_limit(life)
        if limit is None:
            self.limiters.pop(life, None)
        elif life not in self.limiters:
            self.next_ask_s = min(self.next_ask_s, self.fleet.now_s)
            self.limiters[life] = SendLimiter(
                per_s=limit.per_s,
                entries=lambda: self.fleet.counted_entries,
                clock=lambda: self.fleet.now_s,
                source=self.random,
                unleased_share=limit.unleased_share,
                token_valid_s=limit.token_valid_s,
            )

    def step(self) -> None:
        now_s = self.fleet.now_s
        expected = self.fleet.demand_per_s * STEP_S
        for _ in range(int(expected) + (self.random.random() < expected % 1.0)):
            self.arrivals_s.append(now_s)
            self.waiting = min(self.waiting + 1, self.fleet.max_waiting)
        while self.arrivals_s and self.arrivals_s[0] < now_s - DEMAND_WINDOW_S:
            self.arrivals_s.popleft()
        if self.waiting:
            lives = list(self.limiters)
            self.random.shuffle(lives)
            for life in lives:
                while self.waiting and self.limiters[life].try_acquire():
                    self.waiting -= 1
                    self.fleet.sent.setdefault(life, []).append(now_s)
        if now_s >= self.next_ask_s and self.limiters:
            self.next_ask_s = now_s + ASK_INTERVAL_S
            self.fleet.ask(self, len(self.arrivals_s) / DEMAND_WINDOW_S)

    def on_lease(self, shares: dict[str, float], until_s: float) -> None:
        for life in self.limiters.keys() & shares.keys():
            self.limiters[life].lease(shares[life], until_s=until_s)


class Fleet:
    """All entries and the leader.

    Parameters
    ----------
    max_waiting
        Requests that an entry lets wait; others are refused.
    """

    def __init__(
        self,
        *,
        seed: int,
        entries: int = 36,
        pace_per_s: float = 18.0,
        demand_per_s: float = 8.0,
        max_waiting: int = 4,
    ) -> None:
        self.seed = seed
        self.now_s = 0.0
        self.random = random.Random(seed)
        self.bounds = Bounds()
        self.service = ServiceRecord(name=SERVICE, cold_start_s=3.0, cold_requests_per_s=pace_per_s)
        self.demand_per_s = demand_per_s
        self.max_waiting = max_waiting
        self.counted_entries = entries
        self.sent: dict[str, list[float]] = {}
        self._later: list[tuple[float, object]] = []
        self.leader = View(self)
        self.elect(from_s=0.0)
        self.entries = [Entry(self, number) for number in range(entries)]

    def elect(self, *, from_s: float) -> None:
        """Have a new leader, which leases shares after all leases of the former one have ended."""
        self.allocator = ShareAllocator(
            clock=lambda: self.now_s, entries=lambda: self.counted_entries
        )
        self.leases_from_s = from_s

    def after(self, delay_s: float, action) -> None:
        self._later.append((self.now_s + delay_s, action))

    def announce(self, instance: Instance, *, delay_s: tuple[float, float] = ONE_WAY_S) -> None:
        """Announce a server to every process, to each with its own delay."""
        for view in [self.leader] + [entry.view for entry in self.entries]:
            self.after(self.random.uniform(*delay_s), lambda view=view: view.table.merge(instance))

    def ask(self, entry: Entry, demand_per_s: float) -> None:
        asked_s, view = self.now_s, entry.view
        if not entry.cut:
            self.after(
                self.random.uniform(*ONE_WAY_S),
                lambda: self._lease(entry, view, demand_per_s, asked_s),
            )

    def _lease(self, entry: Entry, view: View, demand_per_s: float, asked_s: float) -> None:
        if self.now_s < self.leases_from_s:
            return
        servers = []
        for life in self.leader.cold.limited_lives():
            instance, limit = self.leader.table.of_life(life), self.leader.cold.rate_limit(life)
            servers.append(
                LimitedServer(
                    life=life,
                    service=SERVICE,
                    failure_domain=instance.failure_domain,
                    per_s=limit.per_s,
                    unleased_share=limit.unleased_share,
                    max_holders=limit.max_holders,
                )
            )
        demand = EntryDemand(
            vm=entry.vm,
            failure_domain=entry.domain,
            per_s={SERVICE: demand_per_s},
            heard_s=self.now_s,
        )
        shares = self.allocator.lease_shares(demand, servers)

        def deliver() -> None:
            if entry.view is view and not entry.cut:
                entry.on_lease(shares, asked_s + LEASE_S)

        self.after(self.random.uniform(*ONE_WAY_S), deliver)

    def run(self, time_s: float) -> None:
        for _ in range(round(time_s / STEP_S)):
            self.now_s += STEP_S
            due = [found for found in self._later if found[0] <= self.now_s]
            self._later = [found for found in self._later if found[0] > self.now_s]
            for _, action in due:
                action()
            for entry in self.entries:
                entry.step()

    @property
    def allowed(self) -> float:
        """Requests that a cold server may get in any second."""
        pace_per_s = self.service.cold_requests_per_s
        return self.bounds.cold_overshoot * pace_per_s + self.bounds.cold_slack

    def most_in_a_second(self) -> int:
        """Return the most requests that any server got in any second."""
        most = 0
        for times in self.sent.values():
            first = 0
            for last, end_s in enumerate(times):
                while times[first] < end_s - 1.0:
                    first += 1
                most = max(most, last - first + 1)
        return most

    def used(self, *, from_s: float, to_s: float, servers: int) -> float:
        """Return the part of the servers' rate that was used within a time."""
        sent = sum(from_s <= sent_s < to_s for times in self.sent.values() for sent_s in times)
        return sent / ((to_s - from_s) * servers * self.service.cold_requests_per_s)
