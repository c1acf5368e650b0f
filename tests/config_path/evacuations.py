"""Operators' orders to evacuate and restore failure domains, in runs of the emulated system."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from leadhollow.control.replica_service import ReplicaService
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.node.entry_role import EntryDispatcher
from leadhollow.state.evacuations import evacuations
from tests.config_path.scenario import HOSTS, Scenario, Step, StepChoices
from tests.config_path.site import CONTROLS, DOMAINS, ENTRIES, Site

SAMPLE_S = 0.02
GIVE_UP_S = 1.5  # until the operator of an order that is tried once has no response

EVACUATION_STEPS: StepChoices = (
    *((("evacuate", (DOMAINS, (True, False))),) * 4),
    ("evacuate before fault", (DOMAINS, (True, False), ("power", "wipe", "cut", "power of all"))),
    ("split orders", (DOMAINS, (True, False))),
    ("orders to all", ((True, False),)),
)

HELD_BACK_STEPS: StepChoices = (
    *EVACUATION_STEPS,
    *((("hold back an order", (DOMAINS, (True, False), (1.6, 3.0))),) * 2),
)
"""As above, for runs with suspended hosts: a replica carries an order out after a suspension."""


class EvacuationHistory:
    """Orders for one failure domain, whose operators send one after the other.

    Attributes
    ----------
    possible
        States that the failure domain may be in: that of the last acknowledged order, and those of
        the orders sent since.
    """

    def __init__(self) -> None:
        self.possible = {False}
        self.acknowledged = 0
        self.operator = asyncio.Lock()

    def note_sent(self, evacuated: bool) -> None:
        self.possible.add(evacuated)

    def note_acknowledged(self, evacuated: bool) -> None:
        self.possible = {evacuated}
        self.acknowledged += 1


class EvacuationScenario(Scenario):
    """One run with orders to evacuate and restore failure domains among its steps."""

    def __init__(self, site: Site) -> None:
        super().__init__(site)
        self.domains = {domain: EvacuationHistory() for domain in DOMAINS}

    def start(self) -> None:
        super().start()
        self.site.spawn(self._sample())

    async def _sample(self) -> None:
        while True:
            self._check_leader()
            await asyncio.sleep(SAMPLE_S)

    def _check_leader(self) -> None:
        """Check that the state of the leader follows from the orders."""
        for host in self.site.leaders():
            service = self.site.processes[host].kernel.get("replica", ReplicaService)
            current = evacuations(service.replica.machine.catalog)
            self._check(f"the leader {host}", {found.domain for found in current})

    def _check(self, where: str, current: set[str] | frozenset[str]) -> None:
        for domain, history in self.domains.items():
            if (domain in current) not in history.possible:
                what = "lost or restored" if True in history.possible else "revived"
                self.site.history.report_violation(
                    f"{where}: the evacuation of {domain} was {what}"
                )

    def order(
        self,
        domain: str,
        evacuated: bool,
        *,
        to: str | None = None,
        tries: int = 6,
        cancels: bool = True,
    ) -> None:
        """Let an operator send an order until it is acknowledged, or give up."""
        self.site.spawn(self._order(domain, evacuated, to, tries, cancels))

    async def _order(
        self, domain: str, evacuated: bool, to: str | None, tries: int, cancels: bool
    ) -> None:
        method, history = "POST" if evacuated else "DELETE", self.domains[domain]
        async with history.operator:
            history.note_sent(evacuated)
            for turn in range(tries):
                random = self.site.random
                host = to if to is not None and turn == 0 else random.choice(CONTROLS)
                target = f"/-/evacuations/{domain}"
                status = await self.site.request_status(
                    host, method, b"", target=target, cancels=cancels
                )
                if status == 200:
                    history.note_acknowledged(evacuated)
                    return
                if 400 <= status < 500:
                    self.site.history.report_violation(f"{method} {target} was refused: {status}")
                await asyncio.sleep(0.05 * 2**turn)

    def do_evacuate(self, domain: str, evacuated: bool) -> None:
        self.order(domain, evacuated)

    def do_orders_to_all(self, evacuated: bool) -> None:
        for domain in DOMAINS:
            self.order(domain, evacuated)

    def do_split_orders(self, domain: str, evacuated: bool) -> None:
        """Partition the leader; give it an order, give up, and give the opposite to another."""
        leader = self.site.leader()
        if leader is None:
            return
        other = next(host for host in CONTROLS if host != leader)
        self.site.network.partition({leader}, set(CONTROLS))
        self.order(domain, evacuated, to=leader, tries=1)
        self.site.wait(GIVE_UP_S)
        self.order(domain, not evacuated, to=other)
        self.site.wait(1.0)
        self.site.network.heal()

    def do_hold_back_an_order(self, domain: str, evacuated: bool, span_s: float) -> None:
        """Suspend a replica that has received an order, until the opposite is acknowledged."""
        leader = self.site.leader()
        if leader is None or self.domains[domain].operator.locked():
            return
        held = next(host for host in CONTROLS if host != leader)
        self.site.network.partition({held}, set(CONTROLS))
        self.order(domain, evacuated, to=held, tries=1, cancels=False)
        self.site.wait(0.3)
        self.site.suspend(held, span_s)
        self.site.network.heal()
        self.site.wait(GIVE_UP_S - 0.3)
        self.order(domain, not evacuated, to=leader)
        self.site.wait(span_s)

    def do_evacuate_before_fault(self, domain: str, evacuated: bool, what: str) -> None:
        """Cause a fault at the moment at which the leader acknowledges an order."""
        leader = self.site.leader()
        if leader is None:
            return
        whole, history = self.site.replicas_current(), self.domains[domain]
        before = history.acknowledged
        self.order(domain, evacuated, to=leader)
        for _ in range(500):
            if history.acknowledged > before:
                break
            self.site.wait(0.001)
        if what == "cut":
            self.site.network.partition({leader}, set(CONTROLS))
            return
        for host in HOSTS if what == "power of all" else (leader,):
            self.site.run(self.site.kill(host, power=True))
        if what == "wipe" and whole:
            self.site.disks.wipe(leader)
        self.site.wait(0.6)
        for host in HOSTS:
            self.start_host(host)

    def finish(self) -> None:
        super().finish()
        for number, domain in enumerate(DOMAINS):
            self.order(domain, number % 2 == 0)
        self.site.wait(3.0)
        for domain, history in self.domains.items():
            if len(history.possible) > 1:
                self.site.history.report_violation(f"no order for {domain} was acknowledged")
        self.site.wait(SAMPLE_S)
        for host in ENTRIES:
            kernel = self.site.processes[host].kernel
            if not kernel.get("feed", ControlFeed).ready.is_set():
                self.site.history.report_violation(f"{host} has no confirmed view")
            dispatcher = kernel.get("dispatching", EntryDispatcher)
            self._check(host, dispatcher.domains.evacuated)


def play_evacuations(seed: int, run_steps: Sequence[Step], *, suspends: bool = False) -> list[str]:
    """Run steps and return the violations."""
    with Site(seed=seed, suspends=suspends) as site:
        scenario = EvacuationScenario(site)
        scenario.start()
        for step in run_steps:
            scenario.execute(step)
            if site.history.violations:
                return site.history.violations
        scenario.finish()
        return site.history.violations


__all__ = ["EVACUATION_STEPS", "HELD_BACK_STEPS", "play_evacuations"]
