"""Simulation of requests and prompt parts that crash engines, with and without shared records.

Runs in virtual time with the product's own `SuspectTable`. Server ends, successful requests and
quarantine decisions reach entries and the table after the delays that they have between processes.
An engine runs several requests at once. A request goes to the least loaded of three engines, drawn
at random from the failure domain of its entry.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from leadhollow.decide.fingerprints import FINGERPRINT_BYTES, PART_TAG, FingerprintKind, kind_of
from leadhollow.decide.quarantine_rules import SETTLE_S, VERDICT_DELAY_S
from leadhollow.decide.recent_successes import RecentSuccesses
from leadhollow.decide.server_ends import ServerEnd
from leadhollow.decide.suspects import SuspectTable
from leadhollow.experiment.crash_patterns import PATTERNS, CrashFigures, CrashMemory, CrashPattern
from leadhollow.experiment.virtual_clock import VirtualClock
from leadhollow.forward.quarantine import LIVES_TO_DELAY
from leadhollow.forward.stream_attempt import SURVIVED_S

DOMAINS = 5
ENTRIES = 98
ENGINES = 102
SLOTS = 8
"""Size of a large deployment, including the engines that are added during a day."""

CULPRIT_INDEX = 2  # of the crashing part among the traits of a request

RUN_DURATION_S = (0.6, 1.8)  # shortest and longest run time of a request
READING_SHARE = 0.4  # of its run time, until an engine begins to answer
RESTART_S = 2.5  # from the end of an engine until it accepts requests
MAX_SENDS = 2  # engines that one attempt of a caller is sent to, at most
RETRY_DELAY_S = 0.5  # until a caller retries a failed attempt
DETECTION_DELAY_S = (0.025, 0.04)  # until an entry detects that an engine has ended
ONE_WAY_S = (0.003, 0.02)  # delay between an entry and a control replica
QUARANTINE_COUNT = 3  # engine ends at which the COUNT baseline quarantines a request
LATE_SEND_S = 0.2  # after the third end, or the fifth for a part; later sends count as late
PART_ENDS = 5
"""Ends after which no request with the crashing part may be sent."""

ROUTES = 5  # each route has a first part that all its requests share
FIRST_CRASHING_PART = 1_000
SHARED_PARTS = 60  # second parts of sound requests; the more popular, the lower their number


_Traits = tuple[bytes, ...]
"""Fingerprints of a request: its own, then those of its prompt's shared parts."""


class _Engine:
    __slots__ = ("domain", "life", "ready", "running")

    def __init__(self, domain: int) -> None:
        self.domain = domain
        self.life = 0
        self.ready = True
        self.running: dict[_Attempt, None] = {}  # used as an ordered set


class _Attempt:
    """One attempt of a caller at an entry."""

    __slots__ = ("begun", "crasher", "entry", "is_last_attempt", "sends", "traits", "tried")

    def __init__(
        self, *, traits: _Traits, entry: int, crasher: bool, is_last_attempt: bool
    ) -> None:
        self.traits = traits
        self.entry = entry
        self.crasher = crasher
        self.is_last_attempt = is_last_attempt  # its caller does not retry
        self.sends = 0
        self.begun = False  # whether its engine answers by now
        self.tried: set[_Engine] = set()

    @property
    def culprit(self) -> bytes:
        """Fingerprint of what crashes engines in it: its part, or the whole request."""
        return self.traits[CULPRIT_INDEX] if len(self.traits) > CULPRIT_INDEX else self.traits[0]


class CrashSimulation:
    """One run of a pattern."""

    def __init__(self, *, pattern: CrashPattern, memory: CrashMemory, seed: int) -> None:
        self.figures = CrashFigures()
        self._pattern = pattern
        self._memory = memory
        self._random = random.Random(seed)
        self._clock = VirtualClock()
        self._engines = [_Engine(index % DOMAINS) for index in range(ENGINES)]
        self._recent_successes = [RecentSuccesses() for _ in range(ENTRIES)]
        self._table = SuspectTable(clock=lambda: self._clock.now_s)
        self._counts: dict[bytes, int] = {}
        self._quarantined_from_s: dict[bytes, float] = {}  # by request: when entries refuse it
        self._ends_s: dict[bytes, list[float]] = {}
        self._crashing: set[bytes] = set()  # traits that only crashing requests have
        self._fingerprint_count = 0

    def run(self) -> CrashFigures:
        """Run the pattern and return its figures."""
        pattern, clock = self._pattern, self._clock
        popular = self._sound_traits()
        for _ in range(int(pattern.rate_per_s * pattern.length_s)):
            hot = self._random.random() < pattern.hot_share
            traits = popular if hot else self._sound_traits()
            at_s = self._random.uniform(0, pattern.length_s)
            clock.call_at(
                at_s,
                lambda traits=traits: self._arrive(traits, crasher=False),  # type: ignore[misc]
            )
        for _ in range(pattern.crashers):
            self._plan_crasher()
        for _ in range(int(pattern.ends_per_s * pattern.length_s)):
            engine = self._random.choice(self._engines)
            at_s = self._random.uniform(0, pattern.length_s)
            clock.call_at(at_s, lambda engine=engine: self._end(engine, None))  # type: ignore[misc]
        if pattern.lost_domain_s:
            for engine in self._engines:
                if engine.domain == 0:
                    at_s = pattern.lost_domain_s + self._random.uniform(0, 0.01)
                    clock.call_at(at_s, lambda engine=engine: self._end(engine, None))  # type: ignore[misc]
        clock.run_until(pattern.length_s + 10)
        self.figures.worst_lost = max(map(len, self._ends_s.values()), default=0)
        return self.figures

    def _plan_crasher(self) -> None:
        pattern = self._pattern
        traits = self._crashing_traits((self._new_part(), self._new_part()))
        at_s = self._random.uniform(0.5, 0.5 + pattern.every_s)
        while at_s < pattern.length_s:
            if pattern.new_bodies:
                traits = (self._new_fingerprint(), *traits[1:])
            for _ in range(pattern.copies):
                copy_at_s = at_s + self._random.uniform(0, 0.5)
                self._clock.call_at(
                    copy_at_s,
                    lambda traits=traits: self._arrive(traits, crasher=True),  # type: ignore[misc]
                )
            at_s += pattern.every_s

    def _sound_traits(self) -> _Traits:
        """Return the traits of a request that crashes nothing."""
        if not self._pattern.parts:
            return (self._new_fingerprint(),)
        route = self._random.randrange(ROUTES)
        shared = min(int(self._random.paretovariate(0.6)), SHARED_PARTS)
        return (self._new_fingerprint(), _part(route), _part(ROUTES + shared))

    def _crashing_traits(self, parts: tuple[bytes, bytes]) -> _Traits:
        """Return the traits of a request that crashes engines, with a part and a companion."""
        if not self._pattern.parts:
            return (self._new_fingerprint(),)
        shared = parts if self._pattern.companion else parts[:1]
        return (self._new_fingerprint(), _part(0), *shared)

    def _new_part(self) -> bytes:
        return _part(FIRST_CRASHING_PART + self._random.getrandbits(32))

    def _new_fingerprint(self) -> bytes:
        self._fingerprint_count += 1
        return self._fingerprint_count.to_bytes(16, "big")

    def _arrive(self, traits: _Traits, *, crasher: bool, is_last_attempt: bool = False) -> None:
        entry = self._random.randrange(ENTRIES)
        self.figures.requests += 1
        self._send(
            _Attempt(
                traits=traits,
                entry=entry,
                crasher=crasher,
                is_last_attempt=is_last_attempt,
            )
        )

    def _send(self, attempt: _Attempt) -> None:
        if self._refuse_quarantined(attempt):
            return
        available = [
            candidate
            for candidate in self._engines
            if candidate.ready and candidate not in attempt.tried
        ]
        if not available:
            return
        local = [
            candidate for candidate in available if candidate.domain == attempt.entry % DOMAINS
        ] or available
        engine = min(
            self._random.sample(local, min(3, len(local))),
            key=lambda candidate: len(candidate.running),
        )
        if len(engine.running) >= SLOTS:
            engine = min(available, key=lambda candidate: len(candidate.running))
        attempt.sends += 1
        attempt.begun = False
        attempt.tried.add(engine)
        engine.running[attempt] = None
        if attempt.crasher:
            self.figures.late_sends += self._is_late(attempt)
        run_s = self._pattern.crash_s if attempt.crasher else self._random.uniform(*RUN_DURATION_S)
        life = engine.life
        self._clock.call_after_ms(run_s * 1000, lambda: self._complete(attempt, engine, life))
        if not attempt.crasher and len(attempt.traits) > 1:
            begun_s = run_s * READING_SHARE
            self._clock.call_after_ms(begun_s * 1000, lambda: self._begin(attempt, engine, life))
            survived_s = begun_s + SURVIVED_S
            self._clock.call_after_ms(
                survived_s * 1000, lambda: self._survive(attempt, engine, life)
            )

    def _is_late(self, attempt: _Attempt) -> bool:
        """Return whether all entries should know by now what crashes engines in a request."""
        ends_s = self._ends_s.get(attempt.culprit, [])
        enough = QUARANTINE_COUNT if attempt.culprit == attempt.traits[0] else PART_ENDS
        return len(ends_s) >= enough and self._clock.now_s > ends_s[enough - 1] + LATE_SEND_S

    def _refuse_quarantined(self, attempt: _Attempt) -> bool:
        quarantined = any(
            self._clock.now_s >= self._quarantined_from_s.get(trait, float("inf"))
            for trait in attempt.traits
        )
        if quarantined and not attempt.crasher:
            self.figures.others_refused += 1
        return quarantined

    def _complete(self, attempt: _Attempt, engine: _Engine, life: int) -> None:
        if engine.life != life or attempt not in engine.running:
            return
        if attempt.crasher:
            self._end(engine, attempt)
            return
        del engine.running[attempt]
        self._record_success(attempt.entry, attempt.traits)

    def _begin(self, attempt: _Attempt, engine: _Engine, life: int) -> None:
        attempt.begun = engine.life == life and attempt in engine.running

    def _survive(self, attempt: _Attempt, engine: _Engine, life: int) -> None:
        """Clear the parts of a request whose answer has gone on for a while."""
        if engine.life == life and attempt in engine.running:
            self._record_success(attempt.entry, attempt.traits[1:])

    def _record_success(self, entry: int, traits: _Traits) -> None:
        for trait in traits:
            self._recent_successes[entry].add(trait, self._clock.now_s)
            if self._table.is_suspected(trait):
                self._after_delay(ONE_WAY_S, lambda trait=trait: self._clear(trait))  # type: ignore[misc]

    def _clear(self, fingerprint: bytes) -> None:
        self._table.clear(fingerprint)
        if not self._table.is_quarantined(fingerprint):
            self._quarantined_from_s.pop(fingerprint, None)

    def _end(self, engine: _Engine, crashing_attempt: _Attempt | None) -> None:
        """End an engine, report its requests and retry them on other engines."""
        if not engine.ready:
            return
        now_s = self._clock.now_s
        interrupted, engine.running = engine.running, {}
        life = f"{self._engines.index(engine)}@{engine.life}"
        engine.ready = False
        engine.life += 1
        self._clock.call_after_ms(RESTART_S * 1000, lambda: setattr(engine, "ready", True))
        if crashing_attempt is not None:
            self._crashing |= set(crashing_attempt.traits) - {_part(0)}
            self.figures.engines_lost += 1
            self.figures.others_broken += sum(1 for other in interrupted if not other.crasher)
            self._ends_s.setdefault(crashing_attempt.culprit, []).append(now_s)
        for entry in sorted({other.entry for other in interrupted}):
            present = [other.traits for other in interrupted if other.entry == entry]
            self._report_end(life, entry, {trait for traits in present for trait in traits})
        for attempt in interrupted:
            self._retry(attempt)

    def _retry(self, attempt: _Attempt) -> None:
        if attempt.sends < MAX_SENDS:
            known = max(len(self._table.suspected_lives(trait)) for trait in attempt.traits)
            waits_for_verdict = self._memory is CrashMemory.SUSPECTS and known >= LIVES_TO_DELAY
            wait_ms = VERDICT_DELAY_S * 1000 if waits_for_verdict else 0.3
            self._clock.call_after_ms(wait_ms, lambda: self._send(attempt))
        elif not attempt.is_last_attempt:
            self._clock.call_after_ms(
                RETRY_DELAY_S * 1000,
                lambda: self._arrive(attempt.traits, crasher=attempt.crasher, is_last_attempt=True),
            )

    def _report_end(self, life: str, entry: int, fingerprints: set[bytes]) -> None:
        now_s = self._clock.now_s
        if self._memory is CrashMemory.COUNT:
            self._after_delay(DETECTION_DELAY_S, lambda: self._count_end(fingerprints))
        elif self._memory is CrashMemory.SUSPECTS:
            ran = {
                fingerprint
                for fingerprint in fingerprints
                if not self._recent_successes[entry].contains(fingerprint, now_s)
            }
            end = ServerEnd(life=life, ran=ran, happened_s=now_s)
            self._after_delay(
                DETECTION_DELAY_S,
                lambda: self._after_delay(ONE_WAY_S, lambda: self._merge_end(end)),
            )

    def _count_end(self, fingerprints: set[bytes]) -> None:
        for fingerprint in fingerprints:
            self._counts[fingerprint] = self._counts.get(fingerprint, 0) + 1
            if self._counts[fingerprint] >= QUARANTINE_COUNT:
                self._quarantine(fingerprint)

    def _merge_end(self, end: ServerEnd) -> None:
        if self._table.merge_end(end):
            for fingerprint in end.ran:
                if any(
                    successes.contains(fingerprint, self._clock.now_s)
                    for successes in self._recent_successes
                ):
                    self._after_delay(
                        ONE_WAY_S,
                        lambda fingerprint=fingerprint: self._clear(  # type: ignore[misc]
                            fingerprint
                        ),
                    )
            self._clock.call_after_ms((SETTLE_S + 0.005) * 1000, self._update_quarantine)

    def _update_quarantine(self) -> None:
        for verdict in self._table.update_quarantine():
            self._quarantine(verdict.fingerprint)

    def _quarantine(self, fingerprint: bytes) -> None:
        if fingerprint in self._quarantined_from_s:
            return
        self._quarantined_from_s[fingerprint] = self._clock.now_s + self._random.uniform(*ONE_WAY_S)
        if fingerprint not in self._crashing:
            self.figures.others_held += 1
        self._clock.call_at(
            self._quarantined_from_s[fingerprint], lambda: self._break_off(fingerprint)
        )

    def _break_off(self, fingerprint: bytes) -> None:
        """Interrupt attempts of a quarantined request, or those of a part that have not begun."""
        spares_begun = kind_of(fingerprint) is FingerprintKind.PART
        if self._memory is CrashMemory.SUSPECTS:
            for engine in self._engines:
                engine.running = {
                    other: None
                    for other in engine.running
                    if fingerprint not in other.traits or (spares_begun and other.begun)
                }

    def _after_delay(self, delay_s: tuple[float, float], work: Callable[[], None]) -> None:
        self._clock.call_after_ms(self._random.uniform(*delay_s) * 1000, work)


def _part(number: int) -> bytes:
    return number.to_bytes(FINGERPRINT_BYTES - len(PART_TAG), "big") + PART_TAG


def run_pattern(name: str, memory: CrashMemory, *, seeds: int) -> dict[str, float]:
    """Run a pattern with several seeds.

    Returns
    -------
    dict
        Mean figures, and of the engines that one request or part ended also the number that 95 of
        100 runs do not exceed, and the most.
    """
    runs = [
        CrashSimulation(pattern=PATTERNS[name], memory=memory, seed=seed).run()
        for seed in range(seeds)
    ]
    figures = {
        figure: round(sum(getattr(run, figure) for run in runs) / seeds, 2)
        for figure in CrashFigures.__struct_fields__
    }
    worst = sorted(run.worst_lost for run in runs)
    figures["mean_lost"] = figures.pop("worst_lost")
    figures["lost_in_95"] = worst[math.ceil(0.95 * seeds) - 1]
    figures["worst_lost"] = worst[-1]
    return figures


__all__ = ["CrashSimulation", "run_pattern"]
