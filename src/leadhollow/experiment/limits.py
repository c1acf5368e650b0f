"""Servers that limit the requests they take, and ways of keeping such a limit over all entries.

In virtual time, with the product's own table, allowance and ledger between entries and a leader.
A server that limits itself is idle, so each entry would send its next request there.
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
ANSWER_S = (0.1, 0.3)  # until the head of an answer
WAY_S = (0.01, 0.04)  # of news from an entry to the leader, or back
ASK_S = 0.25
PATIENCE_S = 0.1  # of a request that waits for a server with room
WAIT_STEP_S = 0.02
SPREAD_S = 0.2  # until every entry should know of a limit
WINDOWS_S = (1.0, 2.0, 4.0, 8.0)
RULE_WINDOW_S = 4.0
RULE_FACTOR = 1.5
RULE_SLACK = 5.0
MARGIN = 2.0  # requests above a limit that are aimed at
USE_FROM_S = 2.0  # after a limit was named its use is counted


class _Server:
    __slots__ = ("arrivals_s", "domain", "life", "limited", "told_s")

    def __init__(self, *, number: int, domain: str, limited: bool) -> None:
        self.life = f"i-{number}@0"
        self.domain = domain
        self.limited = limited
        self.arrivals_s: list[float] = []
        self.told_s: float | None = None  # first answer that named the limit


class _Entry:
    __slots__ = ("alive", "limiters", "cut_off", "domain", "number", "requests_s", "table", "vm")

    def __init__(self, *, number: int, vm: str, domain: str) -> None:
        self.number = number
        self.vm = vm
        self.domain = domain
        self.alive = True
        self.cut_off = False
        self.table = LimitTable()
        self.limiters: dict[str, SendLimiter] = {}
        self.requests_s: list[float] = []

    def demand_per_s(self, now_s: float, window_s: float = 10.0) -> float:
        recent = len(self.requests_s) - bisect_left(self.requests_s, now_s - window_s)
        return recent / min(window_s, max(1.0, now_s))


class LimitSimulation:
    """One run of a pattern with one way of keeping limits."""

    def __init__(self, *, pattern: LimitPattern, way: LimitMethod, seed: int) -> None:
        self.figures = LimitFigures()
        self._pattern = pattern
        self._way = way
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
        self._ledger = ShareAllocator(clock=self._now_s, entries=self._count)
        self._leads_from_s = 0.0

    def run(self) -> LimitFigures:
        """Let everything come, and give the figures."""
        pattern, clock = self._pattern, self._clock
        weights = [pattern.uneven if number % 5 == 0 else 1.0 for number in range(pattern.entries)]
        places = self._random.choices(
            range(pattern.entries), weights, k=int(pattern.rate_per_s * pattern.length_s)
        )
        for place in places:
            at_s = self._random.uniform(0, pattern.length_s)
            clock.at(at_s, lambda place=place: self._arrive(place))  # type: ignore[misc]
        for number in range(pattern.lost):
            clock.at(pattern.fault_s + number, lambda number=number: self._replace(number))  # type: ignore[misc]
        clock.at(pattern.fault_s, self._fail)
        clock.at(pattern.healed_s, self._heal)
        for entry in self._entries:
            self._ask_again(entry)
        clock.run(pattern.length_s)
        self._judge()
        return self.figures

    def _count(self) -> int:
        return len(self._entries)

    def _now_s(self) -> float:
        return self._clock.now_s

    def _new_entry(self, number: int, life: int = 0) -> _Entry:
        domain = f"d{number % self._pattern.domains}"
        return _Entry(number=number, vm=f"entry-{number}.{life}", domain=domain)

    def _replace(self, number: int) -> None:
        """End an entry and start another one, which is told all limits before it serves."""
        entry = self._entries[number] = self._new_entry(number, life=1)
        for record in self._leader_table.records():
            self._take(entry, record)
        self._ask_again(entry)

    def _fail(self) -> None:
        for entry in self._entries[: int(self._pattern.cut * len(self._entries))]:
            entry.cut_off = True
        if self._pattern.leader_away:
            self._leads_from_s = float("inf")

    def _heal(self) -> None:
        for entry in self._entries:
            entry.cut_off = False
        if self._pattern.leader_away:
            self._ledger = ShareAllocator(clock=self._now_s, entries=self._count)
            self._leads_from_s = self._clock.now_s + LEASE_S

    def _arrive(self, place: int) -> None:
        entry = self._entries[place]
        self.figures.requests += 1
        entry.requests_s.append(self._clock.now_s)
        self._place(entry, self._clock.now_s + PATIENCE_S)

    def _place(self, entry: _Entry, until_s: float) -> None:
        """Send a request to a limited server, which is idle, or to any other one."""
        idle = [
            life
            for life, allowance in entry.limiters.items()
            if self._way is not LimitMethod.NONE and allowance.admits()
        ]
        others = [one for one in self._servers if one.life not in entry.limiters]
        if self._way is LimitMethod.NONE:
            others = self._servers
        if idle:
            server = self._by_life[self._random.choice(idle)]
            entry.limiters[server.life].try_acquire()
            self._send(entry, server)
        elif others:
            self._send(entry, self._random.choice(others))
        elif self._clock.now_s < until_s:
            self._clock.after_ms(WAIT_STEP_S * 1000, lambda: self._place(entry, until_s))
        else:
            self.figures.refused += 1

    def _send(self, entry: _Entry, server: _Server) -> None:
        now_s = self._clock.now_s
        server.arrivals_s.append(now_s)
        answer_s = self._random.uniform(*ANSWER_S)
        self._clock.after_ms(answer_s * 1000, lambda: self._answer(entry, server, now_s))

    def _answer(self, entry: _Entry, server: _Server, sent_s: float) -> None:
        now_s = self._clock.now_s
        if not server.limited:
            return
        if self._pattern.named_s <= now_s < self._pattern.lifted_s:
            if server.told_s is None:
                server.told_s = now_s
            news = entry.table.record_limit(
                server.life, per_s=self._pattern.limit_per_s, received_s=now_s
            )
        else:
            news = entry.table.lift(server.life, sent_s=sent_s)
        if news:
            self._apply(entry, server.life)
            self._tell(entry, server.life)

    def _apply(self, entry: _Entry, life: str) -> None:
        per_s = entry.table.limit(life)
        if per_s is None:
            if entry.limiters.pop(life, None) is not None:
                late_s = self._clock.now_s - self._pattern.lifted_s
                self.figures.full_again_s = max(self.figures.full_again_s, late_s)
            return
        if life not in entry.limiters:
            entry.limiters[life] = SendLimiter(
                per_s=per_s,
                entries=lambda: len(self._entries),
                clock=self._now_s,
                source=self._random,
            )
            if self._way in (LimitMethod.ALONE, LimitMethod.EVEN):
                part = 1.0 if self._way is LimitMethod.ALONE else 1.0 / len(self._entries)
                entry.limiters[life].lease(part, until_s=float("inf"))

    def _tell(self, entry: _Entry, life: str) -> None:
        """Tell the leader of a limit, and through it everybody."""
        record = entry.table.record(life)
        if record is None or self._way in (LimitMethod.NONE, LimitMethod.ALONE):
            return
        heard = record.copy()

        def take() -> None:
            if self._leader_table.merge(heard):
                for other in self._entries:
                    self._later(other, lambda other=other: self._take(other, heard))  # type: ignore[misc]
                    self._later(other, lambda other=other: self._ask(other))  # type: ignore[misc]

        self._later(entry, take)

    def _take(self, entry: _Entry, heard: ServerLimit) -> None:
        if entry.table.merge(heard):
            self._apply(entry, heard.life)

    def _ask_again(self, entry: _Entry) -> None:
        self._ask(entry)
        if entry in self._entries:
            self._clock.after_ms(ASK_S * 1000, lambda: self._ask_again(entry))

    def _ask(self, entry: _Entry) -> None:
        if self._way is not LimitMethod.LEASED or not entry.limiters:
            return
        asked_s = self._clock.now_s
        demand = {SERVICE: entry.demand_per_s(asked_s)}
        self._later(entry, lambda: self._lease(entry, demand, asked_s))

    def _lease(self, entry: _Entry, demand: dict[str, float], asked_s: float) -> None:
        now_s = self._clock.now_s
        if now_s < self._leads_from_s:
            return
        asked = EntryDemand(vm=entry.vm, failure_domain=entry.domain, per_s=demand, heard_s=now_s)
        servers = [
            LimitedServer(
                life=life,
                service=SERVICE,
                failure_domain=self._by_life[life].domain,
                per_s=per_s,
            )
            for life, per_s in self._leader_table.limits().items()
        ]
        shares = self._ledger.lease_shares(asked, servers)

        def give() -> None:
            for life, allowance in entry.limiters.items():
                allowance.lease(shares.get(life, 0.0), until_s=asked_s + LEASE_S)

        self._later(entry, give)

    def _later(self, entry: _Entry, work: Callable[[], None]) -> None:
        """Let news travel between an entry and the leader, unless the entry is cut off."""

        def arrive() -> None:
            if not entry.cut_off:
                work()
            else:
                self._clock.after_ms(ASK_S * 1000, arrive)

        self._clock.after_ms(self._random.uniform(*WAY_S) * 1000, arrive)

    def _judge(self) -> None:
        pattern, figures = self._pattern, self.figures
        used = allowed = 0.0
        for server in self._servers:
            if server.told_s is None:
                continue
            from_s, until_s = server.told_s + SPREAD_S, pattern.lifted_s
            times_s = [at_s for at_s in server.arrivals_s if from_s <= at_s < until_s]
            for window_s in WINDOWS_S:
                found = _most(times_s, window_s)
                aim = pattern.limit_per_s * window_s + MARGIN
                figures.over_aim = max(figures.over_aim, found - aim)
            rule = RULE_FACTOR * pattern.limit_per_s * RULE_WINDOW_S + RULE_SLACK
            figures.over_rule = max(figures.over_rule, _most(times_s, RULE_WINDOW_S) - rule)
            begin_s = server.told_s + USE_FROM_S
            used += sum(1 for at_s in times_s if at_s >= begin_s)
            allowed += pattern.limit_per_s * max(0.0, until_s - begin_s)
        figures.used = used / allowed if allowed else 0.0


def _most(times_s: list[float], window_s: float) -> int:
    """Give the most arrivals in any window of a length; the times are in order."""
    return max(
        (bisect_left(times_s, at_s + window_s) - place for place, at_s in enumerate(times_s)),
        default=0,
    )


def run_pattern(name: str, way: LimitMethod, *, seeds: int) -> dict[str, float]:
    """Play a pattern with some seeds; gives means, and of what is over its bound the worst."""
    runs = [
        LimitSimulation(pattern=PATTERNS[name], way=way, seed=seed).run() for seed in range(seeds)
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


__all__ = ["LimitWorld", "run_pattern"]
