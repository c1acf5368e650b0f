"""Callers, entries and engines of one run, in virtual time.

Entries run the product's own `EngineQueue`; everything around it is emulated as far as its
decisions see it: engines by the pass model, views of other entries that lag, callers that come
back once after a refusal.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Sequence

from leadhollow.decide.engine_queue import DECIDE_SHARE, PUMP_INTERVAL_S, EngineQueue, Waiter
from leadhollow.decide.policy import QueuePolicy
from leadhollow.decide.pressure import Decisions
from leadhollow.decide.server import NO_USE, Server
from leadhollow.decide.wish import HOLD_SHARE, EngineWish, Placement, Standing
from leadhollow.experiment.engine import EmulatedEngine, EngineTask
from leadhollow.experiment.scenario import MS_PER_S, RequestKind, Scenario
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion
from leadhollow.membership.uses import Use
from leadhollow.routing.model import ServiceRecord

SERVICE = "models"
MODEL = "m"
RETURN_SHARE = 1 / 3  # of the time that is left; callers wait no longer than that
GATHER_MS = 14.0  # changes within it travel together, in two steps
SETTLE_S = 8.0  # after the last arrival; every deadline has passed by then


class Clock:
    """Events in the order of virtual time."""

    __slots__ = ("_events", "_number", "now_s")

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, when_s: float, work: Callable[[], None]) -> None:
        """Call a function at a time."""
        self._number += 1
        heapq.heappush(self._events, (max(when_s, self.now_s), self._number, work))

    def after_ms(self, delay_ms: float, work: Callable[[], None]) -> None:
        """Call a function after some milliseconds."""
        self.at(self.now_s + delay_ms / MS_PER_S, work)

    def run(self, until_s: float) -> None:
        """Let everything happen up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, work = heapq.heappop(self._events)
            work()


class OneVersion:
    """Weights that never change."""

    def oldest_allowed(self, model: str) -> int:
        """Allow every version."""
        return 0

    def newest(self, model: str) -> int:
        """Give the only version."""
        return 1

    def begin_by_s(self, model: str, version: int) -> float:
        """Set no bound."""
        return math.inf


class View:
    """Engines as one entry sees them."""

    __slots__ = ("_listeners", "by_address")

    def __init__(self) -> None:
        self.by_address: dict[str, Server] = {}
        self._listeners: list[Callable[[], None]] = []

    def servers(self, service: str) -> Sequence[Server]:
        """Give the engines that take requests."""
        return [
            found
            for found in self.by_address.values()
            if found.instance.state is InstanceState.READY
        ]

    def hears_others(self) -> bool:
        """Tell that other entries are heard."""
        return True

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function at each change."""
        self._listeners.append(listener)

    def changed(self) -> None:
        """Tell that something changed."""
        for listener in self._listeners:
            listener()


class Entry:
    """One entry: the product's queue before its own view of the engines."""

    __slots__ = ("domain", "queue", "view")

    def __init__(self, *, domain: str, view: View, queue: EngineQueue) -> None:
        self.domain = domain
        self.view = view
        self.queue = queue


class Caller:
    """One request of a caller, with its later attempt.

    Attributes
    ----------
    outcome_s
        Time from its first attempt to the first event; None while there is none.
    """

    __slots__ = (
        "attempts",
        "domain",
        "done",
        "events",
        "first_s",
        "kind",
        "outcome_s",
        "prompt_tokens",
        "refused_again",
    )

    def __init__(
        self, *, kind: RequestKind, domain: str, first_s: float, prompt_tokens: int, events: int
    ) -> None:
        self.kind = kind
        self.domain = domain
        self.first_s = first_s
        self.prompt_tokens = prompt_tokens
        self.events = events
        self.attempts = 0
        self.outcome_s: float | None = None
        self.done = False
        self.refused_again = False


class World:
    """One run of a scenario.

    Parameters
    ----------
    seed
        Of callers and of the random parts of decisions; the callers of a seed are the same under
        every policy.
    """

    __slots__ = (
        "_dirty",
        "_random",
        "_service",
        "_shares_pressure",
        "callers",
        "clock",
        "engines",
        "entries",
        "scenario",
    )

    def __init__(self, *, scenario: Scenario, policy: QueuePolicy, seed: int) -> None:
        self.scenario = scenario
        self._shares_pressure = policy.shares_pressure
        self._dirty: set[str] = set()
        self.clock = Clock()
        self._random = random.Random(seed)
        self._service = ServiceRecord(name=SERVICE, engine=scenario.engine)
        self.engines: dict[str, EmulatedEngine] = {}
        self.entries: list[Entry] = []
        self.callers = _callers(scenario, seed)
        domains = {}
        for domain in scenario.domains:
            for place in range(domain.engines):
                address = f"{domain.name}-{place}"
                domains[address] = domain.name
                self.engines[address] = EmulatedEngine(
                    spec=scenario.engine, after=self.clock.after_ms
                )
        for domain in scenario.domains:
            for _ in range(domain.entries):
                self._add_entry(domain.name, domains, policy, seed + len(self.entries))

    def run(self) -> None:
        """Let all callers come, and wait for their answers."""
        scenario = self.scenario
        for caller in self.callers:
            self.clock.at(caller.first_s, lambda caller=caller: self._arrive(caller))  # type: ignore[misc]
        for change in scenario.changes:
            if change.engines_out is not None:
                share = change.engines_out
                self.clock.at(change.at_s, lambda share=share: self._set_out(share))  # type: ignore[misc]
        self._tick()
        self.clock.run(scenario.length_s + SETTLE_S)

    def _tick(self) -> None:
        for entry in self.entries:
            if entry.queue.waiting:
                entry.queue.pump()
                entry.queue.pump_held()
        if self.clock.now_s < self.scenario.length_s + SETTLE_S:
            self.clock.after_ms(PUMP_INTERVAL_S * MS_PER_S, self._tick)

    def _add_entry(
        self, name: str, domains: dict[str, str], policy: QueuePolicy, seed: int
    ) -> None:
        view = View()
        for address, domain in domains.items():
            view.by_address[address] = Server(
                instance=Instance(
                    instance=address,
                    service=SERVICE,
                    address=address,
                    failure_domain=domain,
                    sequence=1,
                    state=InstanceState.READY,
                    slots=self.scenario.engine.slots,
                    served=(
                        ServedVersion(
                            model=MODEL,
                            version=1,
                            first_layer=0,
                            end_layer=self.scenario.engine.layers,
                        ),
                    ),
                    heard_s=0.0,
                ),
                on_use=self._tell,
            )
        queue = EngineQueue(
            board=view,
            versions=OneVersion(),
            failure_domain=name,
            seed=seed,
            clock=lambda: self.clock.now_s,
            policy=policy,
        )
        self.entries.append(Entry(domain=name, view=view, queue=queue))

    def _tell(self, address: str) -> None:
        """Let all entries know, a little later, what others have at an engine."""
        if not self._dirty:
            self.clock.after_ms(GATHER_MS, self._send)
        self._dirty.add(address)

    def _send(self) -> None:
        """Pass on what changed, all together, as it is now."""
        changed = {}
        for address in self._dirty:
            uses = [entry.view.by_address[address].use() for entry in self.entries]
            changed[address] = (
                uses,
                sum(use.requests for use in uses),
                sum(use.unread_tokens for use in uses),
            )
        self._dirty.clear()
        told = [self._decisions_without(entry) for entry in self.entries]
        self.clock.after_ms(
            self.scenario.view_lag_ms - GATHER_MS, lambda: self._hear(changed, told)
        )

    def _hear(
        self, changed: dict[str, tuple[list[Use], int, int]], told: list[dict[str, Decisions]]
    ) -> None:
        for place, entry in enumerate(self.entries):
            for address, (uses, requests, unread) in changed.items():
                own = uses[place]
                others = Use(
                    requests=requests - own.requests, unread_tokens=unread - own.unread_tokens
                )
                entry.view.by_address[address].take_told(others, self.clock.now_s)
            if self._shares_pressure:
                entry.queue.take_decisions(told[place])
            if entry.queue.waiting:
                entry.view.changed()

    def _decisions_without(self, left_out: Entry) -> dict[str, Decisions]:
        """Sum up what the other entries decided lately."""
        total = Decisions()
        for entry in self.entries:
            found = entry.queue.decisions().get(SERVICE)
            if entry is not left_out and found is not None:
                total.add(found)
        return {SERVICE: total}

    def _set_out(self, share: float) -> None:
        """Take part of each domain's engines out, or bring all back."""
        for domain in self.scenario.domains:
            out = round(domain.engines * share)
            for place in range(domain.engines):
                address = f"{domain.name}-{place}"
                engine = self.engines[address]
                serving = place >= out
                state = InstanceState.READY if serving else InstanceState.DRAINING
                for entry in self.entries:
                    entry.view.by_address[address].instance.state = state
                    entry.view.by_address[address].take_told(NO_USE, self.clock.now_s)
                if not serving and engine.serving:
                    engine.stop()
                engine.serving = serving

    def _arrive(self, caller: Caller) -> None:
        entry = self._random.choice(
            [entry for entry in self.entries if entry.domain == caller.domain]
        )
        caller.attempts += 1
        now_s = self.clock.now_s
        objective_s = caller.kind.objective_ms / MS_PER_S
        deadline_s = caller.first_s + caller.kind.deadline_ms / MS_PER_S
        decide_s = now_s + objective_s * DECIDE_SHARE
        again = caller.attempts > 1
        wish = EngineWish(
            service=self._service,
            model=MODEL,
            prompt_tokens=caller.prompt_tokens,
            output_tokens=float(caller.events * self.scenario.engine.stride_steps),
            objective_s=objective_s,
            on_time_s=now_s + objective_s,
            decide_s=decide_s,
            hold_s=decide_s + (HOLD_SHARE * (deadline_s - decide_s) if again else 0.0),
            standing=Standing.CAME_BACK if again else Standing.NEW,
            organisation="",
            request_id="",
            excluded=set(),
            last_attempt=False,
        )
        waiter = entry.queue.submit(wish)
        if waiter.ended:
            self._placed(entry, caller, waiter)
            return
        waiter.on_end = lambda: self._placed(entry, caller, waiter)
        self._watch(entry, waiter)

    def _watch(self, entry: Entry, waiter: Waiter) -> None:
        def look() -> None:
            if waiter.ended:
                return
            entry.queue.time_passed(waiter)
            if not waiter.ended:
                self._watch(entry, waiter)

        self.clock.at(waiter.until_s, look)

    def _placed(self, entry: Entry, caller: Caller, waiter: Waiter) -> None:
        placement = waiter.placement
        if placement is None:
            self._refused(entry, caller, waiter)
            return
        engine = self.engines[placement.server.instance.address]
        task = EngineTask(
            prompt_tokens=caller.prompt_tokens,
            events=caller.events,
            on_first=lambda: self.clock.after_ms(
                self.scenario.way_ms, lambda: self._first(caller, placement)
            ),
            on_end=lambda whole: self.clock.after_ms(
                self.scenario.way_ms, lambda: self._ended(entry, caller, placement, whole)
            ),
        )
        self.clock.after_ms(self.scenario.way_ms, lambda: engine.take(task))

    def _refused(self, entry: Entry, caller: Caller, waiter: Waiter) -> None:
        if caller.attempts > 1:
            caller.refused_again = True
            caller.done = True
            return
        now_s = self.clock.now_s
        left_s = caller.first_s + caller.kind.deadline_ms / MS_PER_S - now_s
        wait_s = min(entry.queue.retry_after_s(waiter.wish), RETURN_SHARE * left_s)
        self.clock.at(now_s + wait_s, lambda: self._arrive(caller))

    def _first(self, caller: Caller, placement: Placement) -> None:
        now_s = self.clock.now_s
        placement.server.begun(placement.call)
        took_ms = (now_s - placement.call.placed_s) * MS_PER_S
        placement.server.note_first_event(took_ms - placement.call.predicted_ms, now_s)
        caller.outcome_s = now_s - caller.first_s

    def _ended(self, entry: Entry, caller: Caller, placement: Placement, whole: bool) -> None:
        entry.queue.release(placement)
        caller.done = whole
        if not whole:
            caller.outcome_s = None


def _callers(scenario: Scenario, seed: int) -> list[Caller]:
    """Draw who comes when; independent of what becomes of them."""
    source = random.Random(f"callers {seed}")
    loads = [change for change in scenario.changes if change.load is not None]
    most = max([1.0, *(change.load or 0.0 for change in loads)])
    domains = [domain.name for domain in scenario.domains]
    shares = [domain.share for domain in scenario.domains]
    found = []
    for kind in scenario.kinds:
        now_s = 0.0
        while kind.per_s > 0:
            now_s += source.expovariate(kind.per_s * most)
            if now_s >= scenario.length_s:
                break
            load = 1.0
            for change in loads:
                if change.at_s <= now_s:
                    load = change.load or 0.0
            caller = Caller(
                kind=kind,
                domain=source.choices(domains, weights=shares)[0],
                first_s=now_s,
                prompt_tokens=_size(source, kind.prompt_tokens, kind.spread),
                events=_size(source, kind.answer_events, kind.spread),
            )
            if source.random() < load / most:
                found.append(caller)
    return found


def _size(source: random.Random, mean: float, spread: float) -> int:
    """Draw a size, at most three times the mean."""
    drawn = source.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return max(1, round(min(drawn, 3 * mean)))


__all__ = ["Caller", "World"]
