"""Simulation of servers that limit their request rate, with several methods of applying the limit.

Runs in virtual time with the product's own `LimitTable`, `SendLimiter` and `ShareAllocator` between
entries and a leader. Every entry sends its next request to a limited server when its limiter allows
it, as a server with a low limit is idle.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Callable

from leadhollow.decide.limit_table import LimitTable, ServerLimit
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.decide.share_allocator import LEASE_S, EntryDemand, LimitedServer, ShareAllocator
from leadhollow.experiment.limit_patterns import PATTERNS, LimitFigures, LimitMethod, LimitPattern
from leadhollow.experiment.virtual_clock import VirtualClock

SERVICE = "model"
RESPONSE_S = (0.1, 0.3)  # until the head of a response
ONE_WAY_S = (0.01, 0.04)  # delay between an entry and the leader
LEASE_REQUEST_INTERVAL_S = 0.25
MAX_WAIT_S = 0.1  # of a request that waits for a server with capacity
RETRY_INTERVAL_S = 0.02
PROPAGATION_S = 0.2  # until every entry should know of a limit; later arrivals count
WINDOWS_S = (1.0, 2.0, 4.0, 8.0)
RULE_WINDOW_S = 4.0
RULE_FACTOR = 1.5
RULE_SLACK_REQUESTS = 5.0
AIM_MARGIN_REQUESTS = 2.0  # excess over a limit that is within the aim
USE_DELAY_S = 2.0  # from the first response with a limit until its use is counted


class _Server:
    __slots__ = ("arrivals_s", "domain", "life", "limit_announced_s", "limited")

    def __init__(self, *, number: int, domain: str, limited: bool) -> None:
        self.life = f"i-{number}@0"
        self.domain = domain
        self.limited = limited
        self.arrivals_s: list[float] = []
        self.limit_announced_s: float | None = None  # first response with the limit


class _Entry:
    __slots__ = (
        "alive",
        "disconnected",
        "domain",
        "limiters",
        "number",
        "requests_s",
        "table",
        "vm",
    )

    def __init__(self, *, number: int, vm: str, domain: str) -> None:
        self.number = number
        self.vm = vm
        self.domain = domain
        self.alive = True
        self.disconnected = False
        self.table = LimitTable()
        self.limiters: dict[str, SendLimiter] = {}
        self.requests_s: list[float] = []

    def demand_per_s(self, now_s: float, window_s: float = 10.0) -> float:
        recent = len(self.requests_s) - bisect_left(self.requests_s, now_s - window_s)
        return recent / min(window_s, max(1.0, now_s))


class LimitSimulation:
    """One run of a pattern with one method of applying limits."""

    def __init__(self, *, pattern: LimitPattern, method: LimitMethod, seed: int) -> None:
        self.figures = LimitFigures()
        self._pattern = pattern
        self._method = method
        self._random = random.Random(seed)
        self._clock = VirtualClock()
        self._servers = [
            _Server(
                number=number,
                domain=f"d{number % pattern.domains}",
                limited=number < pattern.limited,
            )
            for number in range(pattern.servers)
        ]
        self._by_life = {server.life: server for server in self._servers}
        self._entries = [self._new_entry(number) for number in range(pattern.entries)]
        self._leader_table = LimitTable()
        self._allocator = ShareAllocator(clock=self._now_s, entries=self._entry_count)
        self._leader_from_s = 0.0

    def run(self) -> LimitFigures:
        """Run the pattern and return its figures."""
        pattern, clock = self._pattern, self._clock
        weights = [pattern.uneven if number % 5 == 0 else 1.0 for number in range(pattern.entries)]
        places = self._random.choices(
            range(pattern.entries), weights, k=int(pattern.rate_per_s * pattern.length_s)
        )
        for index in places:
            at_s = self._random.uniform(0, pattern.length_s)
            clock.call_at(at_s, lambda index=index: self._arrive(index))  # type: ignore[misc]
        for number in range(pattern.lost):
            clock.call_at(pattern.fault_s + number, lambda number=number: self._replace(number))  # type: ignore[misc]
        clock.call_at(pattern.fault_s, self._start_fault)
        clock.call_at(pattern.healed_s, self._end_fault)
        for entry in self._entries:
            self._request_leases_periodically(entry)
        clock.run_until(pattern.length_s)
        self._evaluate()
        return self.figures

    def _entry_count(self) -> int:
        return len(self._entries)

    def _now_s(self) -> float:
        return self._clock.now_s

    def _new_entry(self, number: int, life: int = 0) -> _Entry:
        domain = f"d{number % self._pattern.domains}"
        return _Entry(number=number, vm=f"entry-{number}.{life}", domain=domain)

    def _replace(self, number: int) -> None:
        """End an entry and start a new one that receives all limits before it serves."""
        entry = self._entries[number] = self._new_entry(number, life=1)
        for record in self._leader_table.records():
            self._merge_limit(entry, record)
        self._request_leases_periodically(entry)

    def _start_fault(self) -> None:
        for entry in self._entries[: int(self._pattern.cut * len(self._entries))]:
            entry.disconnected = True
        if self._pattern.leader_away:
            self._leader_from_s = float("inf")

    def _end_fault(self) -> None:
        for entry in self._entries:
            entry.disconnected = False
        if self._pattern.leader_away:
            self._allocator = ShareAllocator(clock=self._now_s, entries=self._entry_count)
            self._leader_from_s = self._clock.now_s + LEASE_S

    def _arrive(self, index: int) -> None:
        entry = self._entries[index]
        self.figures.requests += 1
        entry.requests_s.append(self._clock.now_s)
        self._dispatch(entry, self._clock.now_s + MAX_WAIT_S)

    def _dispatch(self, entry: _Entry, until_s: float) -> None:
        """Send a request to a limited server with capacity, or else to a server without a limit."""
        admitting = [
            life
            for life, limiter in entry.limiters.items()
            if self._method is not LimitMethod.NONE and limiter.admits()
        ]
        others = [one for one in self._servers if one.life not in entry.limiters]
        if self._method is LimitMethod.NONE:
            others = self._servers
        if admitting:
            server = self._by_life[self._random.choice(admitting)]
            entry.limiters[server.life].try_acquire()
            self._send(entry, server)
        elif others:
            self._send(entry, self._random.choice(others))
        elif self._clock.now_s < until_s:
            self._clock.call_after_ms(
                RETRY_INTERVAL_S * 1000, lambda: self._dispatch(entry, until_s)
            )
        else:
            self.figures.refused += 1

    def _send(self, entry: _Entry, server: _Server) -> None:
        now_s = self._clock.now_s
        server.arrivals_s.append(now_s)
        response_s = self._random.uniform(*RESPONSE_S)
        self._clock.call_after_ms(
            response_s * 1000, lambda: self._on_response(entry, server, now_s)
        )

    def _on_response(self, entry: _Entry, server: _Server, sent_s: float) -> None:
        now_s = self._clock.now_s
        if not server.limited:
            return
        if self._pattern.named_s <= now_s < self._pattern.lifted_s:
            if server.limit_announced_s is None:
                server.limit_announced_s = now_s
            changed = entry.table.record_limit(
                server.life, per_s=self._pattern.limit_per_s, received_s=now_s
            )
        else:
            changed = entry.table.lift(server.life, sent_s=sent_s)
        if changed:
            self._apply(entry, server.life)
            self._report_limit(entry, server.life)

    def _apply(self, entry: _Entry, life: str) -> None:
        per_s = entry.table.limit(life)
        if per_s is None:
            if entry.limiters.pop(life, None) is not None:
                delay_s = self._clock.now_s - self._pattern.lifted_s
                self.figures.full_again_s = max(self.figures.full_again_s, delay_s)
            return
        if life not in entry.limiters:
            entry.limiters[life] = SendLimiter(
                per_s=per_s,
                entries=lambda: len(self._entries),
                clock=self._now_s,
                source=self._random,
            )
            if self._method in (LimitMethod.ALONE, LimitMethod.EVEN):
                share = 1.0 if self._method is LimitMethod.ALONE else 1.0 / len(self._entries)
                entry.limiters[life].lease(share, until_s=float("inf"))

    def _report_limit(self, entry: _Entry, life: str) -> None:
        """Report a limit to the leader, which relays it to all entries."""
        record = entry.table.record(life)
        if record is None or self._method in (LimitMethod.NONE, LimitMethod.ALONE):
            return
        reported = record.copy()

        def merge_reported() -> None:
            if self._leader_table.merge(reported):
                for other in self._entries:
                    self._deliver(other, lambda other=other: self._merge_limit(other, reported))  # type: ignore[misc]
                    self._deliver(other, lambda other=other: self._request_lease(other))  # type: ignore[misc]

        self._deliver(entry, merge_reported)

    def _merge_limit(self, entry: _Entry, reported: ServerLimit) -> None:
        if entry.table.merge(reported):
            self._apply(entry, reported.life)

    def _request_leases_periodically(self, entry: _Entry) -> None:
        self._request_lease(entry)
        if entry in self._entries:
            self._clock.call_after_ms(
                LEASE_REQUEST_INTERVAL_S * 1000, lambda: self._request_leases_periodically(entry)
            )

    def _request_lease(self, entry: _Entry) -> None:
        if self._method is not LimitMethod.LEASED or not entry.limiters:
            return
        requested_s = self._clock.now_s
        demand = {SERVICE: entry.demand_per_s(requested_s)}
        self._deliver(entry, lambda: self._grant_lease(entry, demand, requested_s))

    def _grant_lease(self, entry: _Entry, demand: dict[str, float], requested_s: float) -> None:
        now_s = self._clock.now_s
        if now_s < self._leader_from_s:
            return
        entry_demand = EntryDemand(
            vm=entry.vm, failure_domain=entry.domain, per_s=demand, heard_s=now_s
        )
        servers = [
            LimitedServer(
                life=life,
                service=SERVICE,
                failure_domain=self._by_life[life].domain,
                per_s=per_s,
            )
            for life, per_s in self._leader_table.limits().items()
        ]
        shares = self._allocator.lease_shares(entry_demand, servers)

        def apply_shares() -> None:
            for life, limiter in entry.limiters.items():
                limiter.lease(shares.get(life, 0.0), until_s=requested_s + LEASE_S)

        self._deliver(entry, apply_shares)

    def _deliver(self, entry: _Entry, work: Callable[[], None]) -> None:
        """Deliver a message between an entry and the leader; retry while it is disconnected."""

        def arrive() -> None:
            if not entry.disconnected:
                work()
            else:
                self._clock.call_after_ms(LEASE_REQUEST_INTERVAL_S * 1000, arrive)

        self._clock.call_after_ms(self._random.uniform(*ONE_WAY_S) * 1000, arrive)

    def _evaluate(self) -> None:
        pattern, figures = self._pattern, self.figures
        used = allowed = 0.0
        for server in self._servers:
            if server.limit_announced_s is None:
                continue
            from_s, until_s = server.limit_announced_s + PROPAGATION_S, pattern.lifted_s
            times_s = [at_s for at_s in server.arrivals_s if from_s <= at_s < until_s]
            for window_s in WINDOWS_S:
                arrivals = _max_in_window(times_s, window_s)
                aim = pattern.limit_per_s * window_s + AIM_MARGIN_REQUESTS
                figures.over_aim = max(figures.over_aim, arrivals - aim)
            rule = RULE_FACTOR * pattern.limit_per_s * RULE_WINDOW_S + RULE_SLACK_REQUESTS
            figures.over_rule = max(
                figures.over_rule, _max_in_window(times_s, RULE_WINDOW_S) - rule
            )
            begin_s = server.limit_announced_s + USE_DELAY_S
            used += sum(1 for at_s in times_s if at_s >= begin_s)
            allowed += pattern.limit_per_s * max(0.0, until_s - begin_s)
        figures.used = used / allowed if allowed else 0.0


def _max_in_window(times_s: list[float], window_s: float) -> int:
    """Return the most arrivals in any window of a length; the times must be sorted."""
    return max(
        (bisect_left(times_s, at_s + window_s) - index for index, at_s in enumerate(times_s)),
        default=0,
    )


def run_pattern(name: str, method: LimitMethod, *, seeds: int) -> dict[str, float]:
    """Run a pattern with several seeds; return means, or maxima of excesses and recovery times."""
    runs = [
        LimitSimulation(pattern=PATTERNS[name], method=method, seed=seed).run()
        for seed in range(seeds)
    ]
    over = [run.over_aim > 0 for run in runs]
    return {
        "over_aim": round(max(run.over_aim for run in runs), 2),
        "within_aim": round(1 - sum(over) / seeds, 3),
        "over_rule": round(max(run.over_rule for run in runs), 2),
        "full_again_s": round(max(run.full_again_s for run in runs), 2),
        "used": round(sum(run.used for run in runs) / seeds, 3),
        "refused": round(sum(run.refused / run.requests for run in runs) / seeds, 4),
    }


__all__ = ["LimitSimulation", "run_pattern"]
