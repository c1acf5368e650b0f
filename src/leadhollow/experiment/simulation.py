"""Simulation of callers, entries and engines in virtual time.

Entries run the product's own `EngineQueue`. The rest is emulated as far as it affects the decisions
of the queue: engines work in passes, entries see each other's use with a lag, and callers retry
once after a refusal.
"""

from __future__ import annotations

import random

from leadhollow.decide.engine_queue import (
    DECISION_DEADLINE_SHARE,
    PUMP_INTERVAL_S,
    EngineQueue,
)
from leadhollow.decide.engine_request import HOLD_SHARE, EngineRequest, Placement, QueuePriority
from leadhollow.decide.policy import QueuePolicy
from leadhollow.decide.server import Server
from leadhollow.decide.waiter import Waiter
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
RETRY_WAIT_SHARE = 1 / 3  # longest wait before a retry, as a share of the time left
MAX_SENDS = 6
RESUME_WAIT_S = 0.3  # time in which a refused request is placed on another engine
DRAIN_S = 8.0  # run time after the last arrival; longer than every deadline


class Simulation:
    """One run of a scenario.

    Parameters
    ----------
    seed
        Seed of the callers and of random decisions; the callers of a seed are the same under every
        policy.
    """

    __slots__ = (
        "_backoffs",
        "_random",
        "_relay",
        "_service",
        "_urgencies",
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
        self._backoffs = EmulatedBackoffs(
            clock=self.clock, policy=policy, backoff_s=scenario.rest_s, seed=seed
        )
        self._service = ServiceRecord(name=SERVICE, engine=scenario.engine)
        self._urgencies = len({kind.urgency for kind in scenario.kinds})
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
            for index in range(domain.engines):
                address = f"{domain.name}-{index}"
                domains[address] = domain.name
                self.engines[address] = EmulatedEngine(
                    spec=scenario.engine, call_after_ms=self.clock.call_after_ms
                )
        for domain in scenario.domains:
            for _ in range(domain.entries):
                self._add_entry(domain.name, domains, policy, seed + len(self.entries))

    def run(self) -> None:
        """Run all callers until their requests have ended."""
        scenario = self.scenario
        for caller in self.callers:
            self.clock.call_at(caller.arrival_s, lambda caller=caller: self._arrive(caller))  # type: ignore[misc]
        for change in scenario.changes:
            if change.engines_out is not None:
                share = change.engines_out
                self.clock.call_at(change.at_s, lambda share=share: self._set_unavailable(share))  # type: ignore[misc]
            if change.engines_resting is not None:
                resting = change.engines_resting
                self.clock.call_at(change.at_s, lambda share=resting: self._set_refusing(share))  # type: ignore[misc]
        self._pump_queues()
        self.clock.run_until(scenario.length_s + DRAIN_S)

    def _pump_queues(self) -> None:
        for entry in self.entries:
            if entry.queue.waiting:
                entry.queue.pump()
                entry.queue.pump_held()
        if self.clock.now_s < self.scenario.length_s + DRAIN_S:
            self.clock.call_after_ms(PUMP_INTERVAL_S * MS_PER_S, self._pump_queues)

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

    def _set_unavailable(self, share: float) -> None:
        """Stop a share of each domain's engines and start the others."""
        for domain in self.scenario.domains:
            out_count = round(domain.engines * share)
            for index in range(domain.engines):
                address = f"{domain.name}-{index}"
                engine = self.engines[address]
                serving = index >= out_count
                state = InstanceState.READY if serving else InstanceState.DRAINING
                for entry in self.entries:
                    entry.view.by_address[address].instance.state = state
                    entry.view.by_address[address].update_peer_use(NO_USE, self.clock.now_s)
                if not serving and engine.serving:
                    engine.stop()
                engine.serving = serving

    def _set_refusing(self, share: float) -> None:
        """Make a share of each domain's engines refuse new requests, and no others."""
        self._backoffs.refusing = {
            f"{domain.name}-{index}"
            for domain in self.scenario.domains
            for index in range(round(domain.engines * share))
        }

    def _arrive(self, caller: Caller) -> None:
        entry = self._random.choice(
            [entry for entry in self.entries if entry.domain == caller.domain]
        )
        caller.attempts += 1
        now_s = self.clock.now_s
        objective_s = caller.kind.objective_ms / MS_PER_S
        deadline_s = caller.arrival_s + caller.kind.deadline_ms / MS_PER_S
        decide_by_s = now_s + objective_s * DECISION_DEADLINE_SHARE
        is_retry = caller.attempts > 1
        request = EngineRequest(
            service=self._service,
            model=MODEL,
            prompt_tokens=caller.prompt_tokens,
            output_tokens=float(caller.events * self.scenario.engine.stride_steps),
            objective_s=objective_s,
            on_time_until_s=now_s + objective_s,
            decide_by_s=decide_by_s,
            hold_until_s=decide_by_s
            + (HOLD_SHARE * (deadline_s - decide_by_s) if is_retry else 0.0),
            queue_priority=QueuePriority.CAME_BACK if is_retry else QueuePriority.NEW,
            organisation="",
            request_id="",
            excluded=set(),
            last_attempt=False,
            urgency=caller.kind.urgency,
            urgencies=self._urgencies,
        )
        self._submit(entry, caller, request)

    def _submit(self, entry: EmulatedEntry, caller: Caller, request: EngineRequest) -> None:
        waiter = entry.queue.submit(request)
        if waiter.ended:
            self._on_placed(entry, caller, waiter)
            return
        waiter.on_end = lambda: self._on_placed(entry, caller, waiter)
        self._schedule_deadline(entry, waiter)

    def _schedule_deadline(self, entry: EmulatedEntry, waiter: Waiter) -> None:
        def check() -> None:
            if waiter.ended:
                return
            entry.queue.on_deadline(waiter)
            if not waiter.ended:
                self._schedule_deadline(entry, waiter)

        self.clock.call_at(waiter.deadline_s, check)

    def _on_placed(self, entry: EmulatedEntry, caller: Caller, waiter: Waiter) -> None:
        placement = waiter.placement
        if placement is None:
            self._on_refused(entry, caller, waiter)
            return
        address = placement.server.instance.address
        if address in self._backoffs.refusing:
            index = self.entries.index(entry)
            caller.sent_in_backoff += self._backoffs.in_backoff(index, address)
            round_trip_ms = 2 * self.scenario.way_ms
            self.clock.call_after_ms(
                round_trip_ms, lambda: self._on_backend_refusal(entry, caller, waiter, placement)
            )
            return
        engine = self.engines[address]
        task = EngineTask(
            prompt_tokens=caller.prompt_tokens,
            events=caller.events,
            priority=placement.engine_priority or 0,
            on_first_event=lambda: self.clock.call_after_ms(
                self.scenario.way_ms, lambda: self._on_first_event(caller, placement)
            ),
            on_end=lambda complete: self.clock.call_after_ms(
                self.scenario.way_ms, lambda: self._on_end(entry, caller, placement, complete)
            ),
        )
        self.clock.call_after_ms(self.scenario.way_ms, lambda: engine.submit(task))

    def _on_backend_refusal(
        self, entry: EmulatedEntry, caller: Caller, waiter: Waiter, placement: Placement
    ) -> None:
        """Record the back-off that an engine asked for, and resubmit the request."""
        address = placement.server.instance.address
        index = self.entries.index(entry)
        self._backoffs.record_backoff(index, placement.server)
        self._relay.publish_backoff(entry, address, self._backoffs.record_peer_backoff)
        entry.queue.release(placement)
        request = waiter.request
        request.excluded.add(address)
        request.queue_priority = QueuePriority.RESUMED
        request.decide_by_s = request.hold_until_s = self.clock.now_s + RESUME_WAIT_S
        caller.resends += 1
        if len(request.excluded) >= MAX_SENDS:
            self._on_refused(entry, caller, waiter)
            return
        self._submit(entry, caller, request)

    def _on_refused(self, entry: EmulatedEntry, caller: Caller, waiter: Waiter) -> None:
        if caller.attempts > 1:
            caller.retry_refused = True
            caller.done = True
            return
        now_s = self.clock.now_s
        remaining_s = caller.arrival_s + caller.kind.deadline_ms / MS_PER_S - now_s
        wait_s = min(entry.queue.retry_after_s(waiter.request), RETRY_WAIT_SHARE * remaining_s)
        self.clock.call_at(now_s + wait_s, lambda: self._arrive(caller))

    def _on_first_event(self, caller: Caller, placement: Placement) -> None:
        now_s = self.clock.now_s
        placement.server.record_first_event(placement.call)
        self._backoffs.record_success(placement.server, placement.call)
        latency_ms = (now_s - placement.call.placed_s) * MS_PER_S
        placement.server.record_lateness(latency_ms - placement.call.predicted_ms, now_s)
        caller.latency_s = now_s - caller.arrival_s

    def _on_end(
        self, entry: EmulatedEntry, caller: Caller, placement: Placement, complete: bool
    ) -> None:
        entry.queue.release(placement)
        caller.done = complete
        if not complete:
            caller.latency_s = None


__all__ = ["Simulation"]
