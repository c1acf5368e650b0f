"""Engines that end under requests that come again, with and without a memory of the whole fleet.

In virtual time, with the product's own table of suspects between entries that learn of ends, of
good ends and of verdicts after the ways that these take. Engines run requests side by side; which
one they go to is drawn among those with the least to do.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum

import msgspec

from leadhollow.decide.quarantine_rules import SETTLE_S
from leadhollow.decide.server_ends import ServerEnd
from leadhollow.decide.suspects import SuspectTable
from leadhollow.experiment.virtual_clock import VirtualClock
from leadhollow.forward.recent_successes import RecentSuccesses

DOMAINS = 5
ENTRIES = 98
ENGINES = 102
SLOTS = 8
"""The size of the larger of the users' deployments, with the engines that come during a day."""

RUN_S = (0.6, 1.8)  # shortest and longest run of a request
RESTART_S = 2.5  # until an engine that ended takes requests again
SENDS = 2  # engines that one attempt of a caller is sent to
RETURN_S = 0.5  # until a caller whose attempt failed tries once more
FOUND_S = (0.025, 0.04)  # until an entry knows that an engine has ended
WAY_S = (0.003, 0.02)  # of news from entry to replica, or back
VERDICT_WAIT_S = 0.13  # of an entry that may have ended a third engine
HELD_BY_COUNT = 3  # of the baseline that counts ends and nothing else
LATE_S = 0.2  # after the third end no entry should send a request


class CrashMemory(Enum):
    """What is remembered of requests that were there when engines ended."""

    NONE = "none"
    COUNT = "count of three"
    SUSPECTS = "suspects"


class CrashPattern(msgspec.Struct, frozen=True, kw_only=True):
    """What comes, and what ends by itself.

    Parameters
    ----------
    crashers
        Requests that end each engine that runs them.
    every_s
        Pause between two arrivals of each; at each it comes to that many entries at once.
    new_bodies
        Whether each arrival is another request of the same caller.
    crash_s
        Time from sending it to the engine's end.
    ends_per_s
        Engines that end by themselves.
    lost_domain_s
        When all engines of a domain end together; never where it is 0.
    hot_share
        Part of the others that are one and the same request.
    """

    crashers: int = 0
    every_s: float = 2.0
    copies: int = 3
    new_bodies: bool = False
    crash_s: float = 0.3
    ends_per_s: float = 0.0
    lost_domain_s: float = 0.0
    hot_share: float = 0.0
    rate_per_s: float = 300.0
    length_s: float = 20.0


PATTERNS = {
    "one": CrashPattern(crashers=1),
    "five": CrashPattern(crashers=5),
    "one, all else": CrashPattern(crashers=1, ends_per_s=1.0, lost_domain_s=8.0, hot_share=0.1),
    "none, all else": CrashPattern(ends_per_s=2.0, lost_domain_s=8.0, hot_share=0.1),
    "new bodies": CrashPattern(crashers=1, new_bodies=True, copies=1),
}


class CrashFigures(msgspec.Struct, kw_only=True):
    """What one run gave.

    Parameters
    ----------
    engines_lost
        To requests that end engines.
    others_broken
        Innocent requests that were broken off with these.
    others_held
        Innocent requests that were ever held, and ``others_refused`` how often one was refused.
    late_sends
        Of requests that end engines, later than 0.2 s after the third end under them.
    worst_lost
        Engines that the worst of these requests ended.
    """

    engines_lost: int = 0
    others_broken: int = 0
    others_held: int = 0
    others_refused: int = 0
    late_sends: int = 0
    worst_lost: int = 0
    requests: int = 0


class _Engine:
    __slots__ = ("domain", "life", "ready", "running")

    def __init__(self, domain: int) -> None:
        self.domain = domain
        self.life = 0
        self.ready = True
        self.running: dict[_Attempt, None] = {}  # in the order in which they came


class _Attempt:
    """One attempt of a caller at an entry."""

    __slots__ = ("crasher", "entry", "last", "name", "sends", "tried")

    def __init__(self, *, name: bytes, entry: int, crasher: bool, last: bool) -> None:
        self.name = name
        self.entry = entry
        self.crasher = crasher
        self.last = last  # its caller comes no more
        self.sends = 0
        self.tried: set[_Engine] = set()


class CrashSimulation:
    """One run of a pattern."""

    def __init__(self, *, pattern: CrashPattern, memory: CrashMemory, seed: int) -> None:
        self.figures = CrashFigures()
        self._pattern = pattern
        self._memory = memory
        self._random = random.Random(seed)
        self._clock = VirtualClock()
        self._engines = [_Engine(place % DOMAINS) for place in range(ENGINES)]
        self._good = [RecentSuccesses() for _ in range(ENTRIES)]
        self._table = SuspectTable(clock=lambda: self._clock.now_s)
        self._counts: dict[bytes, int] = {}
        self._held: dict[bytes, float] = {}  # request, and from when entries know
        self._ends_s: dict[bytes, list[float]] = {}
        self._names = 0

    def run(self) -> CrashFigures:
        """Let everything come, and give the figures."""
        pattern, clock = self._pattern, self._clock
        hot = self._name()
        for _ in range(int(pattern.rate_per_s * pattern.length_s)):
            name = hot if self._random.random() < pattern.hot_share else self._name()
            at_s = self._random.uniform(0, pattern.length_s)
            clock.at(at_s, lambda name=name: self._arrive(name, crasher=False))  # type: ignore[misc]
        for _ in range(pattern.crashers):
            self._plan_crasher()
        for _ in range(int(pattern.ends_per_s * pattern.length_s)):
            engine = self._random.choice(self._engines)
            at_s = self._random.uniform(0, pattern.length_s)
            clock.at(at_s, lambda engine=engine: self._end(engine, None))  # type: ignore[misc]
        if pattern.lost_domain_s:
            for engine in self._engines:
                if engine.domain == 0:
                    at_s = pattern.lost_domain_s + self._random.uniform(0, 0.01)
                    clock.at(at_s, lambda engine=engine: self._end(engine, None))  # type: ignore[misc]
        clock.run(pattern.length_s + 10)
        self.figures.worst_lost = max(map(len, self._ends_s.values()), default=0)
        return self.figures

    def _plan_crasher(self) -> None:
        pattern = self._pattern
        name = self._name()
        at_s = self._random.uniform(0.5, 0.5 + pattern.every_s)
        while at_s < pattern.length_s:
            if pattern.new_bodies:
                name = self._name()
            for _ in range(pattern.copies):
                copy_s = at_s + self._random.uniform(0, 0.5)
                self._clock.at(copy_s, lambda name=name: self._arrive(name, crasher=True))  # type: ignore[misc]
            at_s += pattern.every_s

    def _name(self) -> bytes:
        self._names += 1
        return self._names.to_bytes(16, "big")

    def _arrive(self, name: bytes, *, crasher: bool, last: bool = False) -> None:
        entry = self._random.randrange(ENTRIES)
        self.figures.requests += 1
        self._send(_Attempt(name=name, entry=entry, crasher=crasher, last=last))

    def _send(self, attempt: _Attempt) -> None:
        if self._refuses(attempt):
            return
        free = [one for one in self._engines if one.ready and one not in attempt.tried]
        if not free:
            return
        near = [one for one in free if one.domain == attempt.entry % DOMAINS] or free
        engine = min(self._random.sample(near, min(3, len(near))), key=lambda one: len(one.running))
        if len(engine.running) >= SLOTS:
            engine = min(free, key=lambda one: len(one.running))
        attempt.sends += 1
        attempt.tried.add(engine)
        engine.running[attempt] = None
        if attempt.crasher:
            ends_s = self._ends_s.get(attempt.name, [])
            late = len(ends_s) >= HELD_BY_COUNT and self._clock.now_s > ends_s[2] + LATE_S
            self.figures.late_sends += late
        run_s = self._pattern.crash_s if attempt.crasher else self._random.uniform(*RUN_S)
        life = engine.life
        self._clock.after_ms(run_s * 1000, lambda: self._done(attempt, engine, life))

    def _refuses(self, attempt: _Attempt) -> bool:
        held = self._clock.now_s >= self._held.get(attempt.name, float("inf"))
        if held and not attempt.crasher:
            self.figures.others_refused += 1
        return held

    def _done(self, attempt: _Attempt, engine: _Engine, life: int) -> None:
        if engine.life != life or attempt not in engine.running:
            return
        if attempt.crasher:
            self._end(engine, attempt)
            return
        del engine.running[attempt]
        self._good[attempt.entry].add(attempt.name, self._clock.now_s)
        if self._table.suspected_lives(attempt.name):
            self._later(WAY_S, lambda: self._clear(attempt.name))

    def _clear(self, name: bytes) -> None:
        self._table.clear(name)
        if not self._table.is_quarantined(name):
            self._held.pop(name, None)

    def _end(self, engine: _Engine, cause: _Attempt | None) -> None:
        """Let an engine end, and all who had requests there find out and go on elsewhere."""
        if not engine.ready:
            return
        now_s = self._clock.now_s
        broken, engine.running = engine.running, {}
        life = f"{self._engines.index(engine)}@{engine.life}"
        engine.ready = False
        engine.life += 1
        self._clock.after_ms(RESTART_S * 1000, lambda: setattr(engine, "ready", True))
        if cause is not None:
            self.figures.engines_lost += 1
            self.figures.others_broken += sum(1 for one in broken if not one.crasher)
            self._ends_s.setdefault(cause.name, []).append(now_s)
        for entry in sorted({one.entry for one in broken}):
            names = {one.name for one in broken if one.entry == entry}
            self._tell(life, entry, names)
        for attempt in broken:
            self._go_on(attempt)

    def _go_on(self, attempt: _Attempt) -> None:
        if attempt.sends < SENDS:
            doubtful = len(self._table.suspected_lives(attempt.name)) + 1 >= HELD_BY_COUNT
            waits = self._memory is CrashMemory.SUSPECTS and doubtful
            wait_ms = VERDICT_WAIT_S * 1000 if waits else 0.3
            self._clock.after_ms(wait_ms, lambda: self._send(attempt))
        elif not attempt.last:
            self._clock.after_ms(
                RETURN_S * 1000,
                lambda: self._arrive(attempt.name, crasher=attempt.crasher, last=True),
            )

    def _tell(self, life: str, entry: int, names: set[bytes]) -> None:
        now_s = self._clock.now_s
        if self._memory is CrashMemory.COUNT:
            self._later(FOUND_S, lambda: self._count(names))
        elif self._memory is CrashMemory.SUSPECTS:
            ran = {name for name in names if not self._good[entry].contains(name, now_s)}
            end = ServerEnd(life=life, ran=ran, happened_s=now_s)
            self._later(FOUND_S, lambda: self._later(WAY_S, lambda: self._take(end)))

    def _count(self, names: set[bytes]) -> None:
        for name in names:
            self._counts[name] = self._counts.get(name, 0) + 1
            if self._counts[name] >= HELD_BY_COUNT:
                self._hold(name)

    def _take(self, end: ServerEnd) -> None:
        if self._table.merge_end(end):
            for name in end.ran:
                if any(good.contains(name, self._clock.now_s) for good in self._good):
                    self._later(WAY_S, lambda name=name: self._clear(name))  # type: ignore[misc]
            self._clock.after_ms((SETTLE_S + 0.005) * 1000, self._judge)

    def _judge(self) -> None:
        for verdict in self._table.update_quarantine():
            self._hold(verdict.fingerprint)

    def _hold(self, name: bytes) -> None:
        if name in self._held:
            return
        self._held[name] = self._clock.now_s + self._random.uniform(*WAY_S)
        if name not in self._crashers():
            self.figures.others_held += 1
        self._clock.at(self._held[name], lambda: self._break_off(name))

    def _crashers(self) -> set[bytes]:
        return set(self._ends_s)

    def _break_off(self, name: bytes) -> None:
        """Let engines drop what runs of a request that is held."""
        if self._memory is CrashMemory.SUSPECTS:
            for engine in self._engines:
                engine.running = {one: None for one in engine.running if one.name != name}

    def _later(self, way_s: tuple[float, float], work: Callable[[], None]) -> None:
        self._clock.after_ms(self._random.uniform(*way_s) * 1000, work)


def run_pattern(name: str, memory: CrashMemory, *, seeds: int) -> dict[str, float]:
    """Play a pattern with some seeds; gives the mean of each figure, and the worst of the worst."""
    runs = [
        CrashSimulation(pattern=PATTERNS[name], memory=memory, seed=seed).run()
        for seed in range(seeds)
    ]
    means = {
        figure: round(sum(getattr(run, figure) for run in runs) / seeds, 2)
        for figure in CrashFigures.__struct_fields__
    }
    return {**means, "worst_lost": max(run.worst_lost for run in runs)}


__all__ = ["PATTERNS", "CrashWorld", "CrashFigures", "CrashMemory", "CrashPattern", "run_pattern"]
