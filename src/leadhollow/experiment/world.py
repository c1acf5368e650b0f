"""Callers, entries and engines of one run, in virtual time.

Entries run the product's own `EngineQueue`; everything around it is emulated as far as its
decisions see it: engines by the pass model, views of other entries that lag, callers that come
back once after a refusal.
"""

from __future__ import annotations

import random

from leadhollow.decide.engine_queue import DECIDE_SHARE, PUMP_INTERVAL_S, EngineQueue, Waiter
from leadhollow.decide.policy import QueuePolicy
from leadhollow.decide.pressure import Decisions
from leadhollow.decide.server import Server
from leadhollow.decide.wish import HOLD_SHARE, EngineWish, Placement, Standing
from leadhollow.experiment.callers import Caller, draw_callers
from leadhollow.experiment.clock import Clock
from leadhollow.experiment.engine import EmulatedEngine, EngineTask
from leadhollow.experiment.rests import EmulatedRests
from leadhollow.experiment.scenario import MS_PER_S, Scenario
from leadhollow.experiment.view import OneVersion, View
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion
from leadhollow.membership.uses import NO_USE, Use
from leadhollow.routing.model import ServiceRecord

SERVICE = "models"
MODEL = "m"
RETURN_SHARE = 1 / 3  # of the time that is left; callers wait no longer than that
GATHER_MS = 14.0  # changes within it travel together, in two steps
MOST_SENDS = 6
RESUME_WAIT_S = 0.3  # how long a request that was turned away looks for another engine
SETTLE_S = 8.0  # after the last arrival; every deadline has passed by then


class Entry:
    """One entry: the product's queue before its own view of the engines."""

    __slots__ = ("domain", "queue", "view")

    def __init__(self, *, domain: str, view: View, queue: EngineQueue) -> None:
        self.domain = domain
        self.view = view
        self.queue = queue


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
        "_rests",
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
        self._rests = EmulatedRests(
            clock=self.clock, policy=policy, rest_s=scenario.rest_s, seed=seed
        )
        self._service = ServiceRecord(name=SERVICE, engine=scenario.engine)
        self.engines: dict[str, EmulatedEngine] = {}
        self.entries: list[Entry] = []
        self.callers = draw_callers(scenario, seed)
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
            if change.engines_resting is not None:
                resting = change.engines_resting
                self.clock.at(change.at_s, lambda share=resting: self._set_resting(share))  # type: ignore[misc]
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
        told = self._decisions_of_others()
        near_ms = self.scenario.view_lag_ms
        far_ms = self.scenario.far_view_lag_ms or near_ms
        if far_ms == near_ms:
            self._hear_after(near_ms, changed, told, inside=None)
            return
        self._hear_after(near_ms, changed, told, inside=True)
        self._hear_after(far_ms, changed, told, inside=False)

    def _hear_after(
        self,
        lag_ms: float,
        changed: dict[str, tuple[list[Use], int, int]],
        told: list[dict[str, Decisions]],
        *,
        inside: bool | None,
    ) -> None:
        """Let entries hear of engines inside or outside their failure domain; None for both."""
        self.clock.after_ms(lag_ms - GATHER_MS, lambda: self._hear(changed, told, inside))

    def _hear(
        self,
        changed: dict[str, tuple[list[Use], int, int]],
        told: list[dict[str, Decisions]],
        inside: bool | None,
    ) -> None:
        for place, entry in enumerate(self.entries):
            for address, (uses, requests, unread) in changed.items():
                server = entry.view.by_address[address]
                if inside is not None and inside != (
                    server.instance.failure_domain == entry.domain
                ):
                    continue
                own = uses[place]
                others = Use(
                    requests=requests - own.requests, unread_tokens=unread - own.unread_tokens
                )
                server.take_told(others, self.clock.now_s)
            if self._shares_pressure:
                entry.queue.take_decisions(told[place])
            if entry.queue.waiting:
                entry.view.changed()

    def _decisions_of_others(self) -> list[dict[str, Decisions]]:
        """Give what all others decided lately, for each entry: the sum without its own part."""
        found = [entry.queue.decisions().get(SERVICE, Decisions()) for entry in self.entries]
        made = sum(own.made for own in found)
        refused = sum(own.refused for own in found)
        return [
            {SERVICE: Decisions(made=made - own.made, refused=refused - own.refused)}
            for own in found
        ]

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

    def _set_resting(self, share: float) -> None:
        """Let part of each domain's engines turn away what is new, and no others."""
        self._rests.turning_away = {
            f"{domain.name}-{place}"
            for domain in self.scenario.domains
            for place in range(round(domain.engines * share))
        }

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
        self._submit(entry, caller, wish)

    def _submit(self, entry: Entry, caller: Caller, wish: EngineWish) -> None:
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
        address = placement.server.instance.address
        if address in self._rests.turning_away:
            place = self.entries.index(entry)
            caller.sent_in_rest += self._rests.in_rest(place, address)
            away_ms = 2 * self.scenario.way_ms
            self.clock.after_ms(
                away_ms, lambda: self._turned_away(entry, caller, waiter, placement)
            )
            return
        engine = self.engines[address]
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

    def _turned_away(
        self, entry: Entry, caller: Caller, waiter: Waiter, placement: Placement
    ) -> None:
        """Let an entry read that an engine wants rest, and try another one."""
        address = placement.server.instance.address
        place = self.entries.index(entry)
        self._rests.ask(place, placement.server)
        for other in self.entries:
            if other is not entry:
                server = other.view.by_address[address]
                near = server.instance.failure_domain == other.domain
                lag_ms = self.scenario.view_lag_ms
                lag_ms = lag_ms if near else self.scenario.far_view_lag_ms or lag_ms
                self.clock.after_ms(lag_ms, lambda server=server: self._rests.tell(server))  # type: ignore[misc]
        entry.queue.release(placement)
        wish = waiter.wish
        wish.excluded.add(address)
        wish.standing = Standing.RESUMED
        wish.decide_s = wish.hold_s = self.clock.now_s + RESUME_WAIT_S
        caller.repeats += 1
        if len(wish.excluded) >= MOST_SENDS:
            self._refused(entry, caller, waiter)
            return
        self._submit(entry, caller, wish)

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
        self._rests.answered(placement.server)
        took_ms = (now_s - placement.call.placed_s) * MS_PER_S
        placement.server.note_first_event(took_ms - placement.call.predicted_ms, now_s)
        caller.outcome_s = now_s - caller.first_s

    def _ended(self, entry: Entry, caller: Caller, placement: Placement, whole: bool) -> None:
        entry.queue.release(placement)
        caller.done = whole
        if not whole:
            caller.outcome_s = None


__all__ = ["World"]
