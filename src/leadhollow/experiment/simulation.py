"""Callers, entries and engines of one run, in virtual time.

Entries run the product's own `EngineQueue`; everything around it is emulated as far as its
decisions see it: engines by the pass model, views of other entries that lag, callers that come
back once after a refusal.
"""

from __future__ import annotations

import random

from leadhollow.decide.engine_queue import (
    DECISION_DEADLINE_SHARE,
    PUMP_INTERVAL_S,
    EngineQueue,
    Waiter,
)
from leadhollow.decide.engine_request import HOLD_SHARE, EngineRequest, Placement, QueuePriority
from leadhollow.decide.policy import QueuePolicy
from leadhollow.decide.server import Server
from leadhollow.experiment.callers import Caller, draw_callers
from leadhollow.experiment.emulated_backoffs import EmulatedBackoffs
from leadhollow.experiment.emulated_engine import EmulatedEngine, EngineTask
from leadhollow.experiment.emulated_entry import SERVICE, EmulatedEntry
from leadhollow.experiment.emulated_relay import EmulatedRelay
from leadhollow.experiment.scenario import MS_PER_S, Scenario
from leadhollow.experiment.server_view import ServerView, SingleVersion
from leadhollow.experiment.virtual_clock import VirtualClock
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion
from leadhollow.membership.uses import NO_USE
from leadhollow.routing.model import ServiceRecord

MODEL = "m"
RETURN_SHARE = 1 / 3  # of the time that is left; callers wait no longer than that
MOST_SENDS = 6
RESUME_WAIT_S = 0.3  # how long a request that was turned away looks for another engine
SETTLE_S = 8.0  # after the last arrival; every deadline has passed by then


class Simulation:
    """One run of a scenario.

    Parameters
    ----------
    seed
        Of callers and of the random parts of decisions; the callers of a seed are the same under
        every policy.
    """

    __slots__ = (
        "_random",
        "_relay",
        "_rests",
        "_service",
        "callers",
        "clock",
        "engines",
        "entries",
        "scenario",
    )

    def __init__(self, *, scenario: Scenario, policy: QueuePolicy, seed: int) -> None:
        self.scenario = scenario
        self.clock = VirtualClock()
        self._random = random.Random(seed)
        self._rests = EmulatedBackoffs(
            clock=self.clock, policy=policy, backoff_s=scenario.rest_s, seed=seed
        )
        self._service = ServiceRecord(name=SERVICE, engine=scenario.engine)
        self.engines: dict[str, EmulatedEngine] = {}
        self.entries: list[EmulatedEntry] = []
        self._relay = EmulatedRelay(
            clock=self.clock,
            scenario=scenario,
            entries=self.entries,
            shares_pressure=policy.shares_pressure,
        )
        self.callers = draw_callers(scenario, seed)
        domains = {}
        for domain in scenario.domains:
            for place in range(domain.engines):
                address = f"{domain.name}-{place}"
                domains[address] = domain.name
                self.engines[address] = EmulatedEngine(
                    spec=scenario.engine, call_after_ms=self.clock.after_ms
                )
        for domain in scenario.domains:
            for _ in range(domain.entries):
                self._add_entry(domain.name, domains, policy, seed + len(self.entries))

    def run(self) -> None:
        """Let all callers come, and wait for their answers."""
        scenario = self.scenario
        for caller in self.callers:
            self.clock.at(caller.arrival_s, lambda caller=caller: self._arrive(caller))  # type: ignore[misc]
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
        view = ServerView()
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
                on_use=self._relay.record_change,
            )
        queue = EngineQueue(
            directory=view,
            versions=SingleVersion(),
            failure_domain=name,
            seed=seed,
            clock=lambda: self.clock.now_s,
            policy=policy,
        )
        self.entries.append(EmulatedEntry(domain=name, view=view, queue=queue))

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
                    entry.view.by_address[address].update_peer_use(NO_USE, self.clock.now_s)
                if not serving and engine.serving:
                    engine.stop()
                engine.serving = serving

    def _set_resting(self, share: float) -> None:
        """Let part of each domain's engines turn away what is new, and no others."""
        self._rests.refusing = {
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
        deadline_s = caller.arrival_s + caller.kind.deadline_ms / MS_PER_S
        decide_s = now_s + objective_s * DECISION_DEADLINE_SHARE
        again = caller.attempts > 1
        wish = EngineRequest(
            service=self._service,
            model=MODEL,
            prompt_tokens=caller.prompt_tokens,
            output_tokens=float(caller.events * self.scenario.engine.stride_steps),
            objective_s=objective_s,
            on_time_until_s=now_s + objective_s,
            decide_by_s=decide_s,
            hold_until_s=decide_s + (HOLD_SHARE * (deadline_s - decide_s) if again else 0.0),
            queue_priority=QueuePriority.CAME_BACK if again else QueuePriority.NEW,
            organisation="",
            request_id="",
            excluded=set(),
            last_attempt=False,
        )
        self._submit(entry, caller, wish)

    def _submit(self, entry: EmulatedEntry, caller: Caller, wish: EngineRequest) -> None:
        waiter = entry.queue.submit(wish)
        if waiter.ended:
            self._placed(entry, caller, waiter)
            return
        waiter.on_end = lambda: self._placed(entry, caller, waiter)
        self._watch(entry, waiter)

    def _watch(self, entry: EmulatedEntry, waiter: Waiter) -> None:
        def look() -> None:
            if waiter.ended:
                return
            entry.queue.on_deadline(waiter)
            if not waiter.ended:
                self._watch(entry, waiter)

        self.clock.at(waiter.deadline_s, look)

    def _placed(self, entry: EmulatedEntry, caller: Caller, waiter: Waiter) -> None:
        placement = waiter.placement
        if placement is None:
            self._refused(entry, caller, waiter)
            return
        address = placement.server.instance.address
        if address in self._rests.refusing:
            place = self.entries.index(entry)
            caller.sent_in_backoff += self._rests.in_backoff(place, address)
            away_ms = 2 * self.scenario.way_ms
            self.clock.after_ms(
                away_ms, lambda: self._turned_away(entry, caller, waiter, placement)
            )
            return
        engine = self.engines[address]
        task = EngineTask(
            prompt_tokens=caller.prompt_tokens,
            events=caller.events,
            on_first_event=lambda: self.clock.after_ms(
                self.scenario.way_ms, lambda: self._first(caller, placement)
            ),
            on_end=lambda whole: self.clock.after_ms(
                self.scenario.way_ms, lambda: self._ended(entry, caller, placement, whole)
            ),
        )
        self.clock.after_ms(self.scenario.way_ms, lambda: engine.submit(task))

    def _turned_away(
        self, entry: EmulatedEntry, caller: Caller, waiter: Waiter, placement: Placement
    ) -> None:
        """Let an entry read that an engine wants rest, and try another one."""
        address = placement.server.instance.address
        place = self.entries.index(entry)
        self._rests.record_backoff(place, placement.server)
        self._relay.publish_backoff(entry, address, self._rests.record_peer_backoff)
        entry.queue.release(placement)
        wish = waiter.request
        wish.excluded.add(address)
        wish.queue_priority = QueuePriority.RESUMED
        wish.decide_by_s = wish.hold_until_s = self.clock.now_s + RESUME_WAIT_S
        caller.resends += 1
        if len(wish.excluded) >= MOST_SENDS:
            self._refused(entry, caller, waiter)
            return
        self._submit(entry, caller, wish)

    def _refused(self, entry: EmulatedEntry, caller: Caller, waiter: Waiter) -> None:
        if caller.attempts > 1:
            caller.retry_refused = True
            caller.done = True
            return
        now_s = self.clock.now_s
        left_s = caller.arrival_s + caller.kind.deadline_ms / MS_PER_S - now_s
        wait_s = min(entry.queue.retry_after_s(waiter.request), RETURN_SHARE * left_s)
        self.clock.at(now_s + wait_s, lambda: self._arrive(caller))

    def _first(self, caller: Caller, placement: Placement) -> None:
        now_s = self.clock.now_s
        placement.server.record_first_event(placement.call)
        self._rests.record_success(placement.server, placement.call)
        took_ms = (now_s - placement.call.placed_s) * MS_PER_S
        placement.server.record_lateness(took_ms - placement.call.predicted_ms, now_s)
        caller.latency_s = now_s - caller.arrival_s

    def _ended(
        self, entry: EmulatedEntry, caller: Caller, placement: Placement, whole: bool
    ) -> None:
        entry.queue.release(placement)
        caller.done = whole
        if not whole:
            caller.latency_s = None


__all__ = ["Simulation"]
