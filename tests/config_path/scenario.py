"""Steps of a run, and their execution."""

from __future__ import annotations

import random
from collections.abc import Sequence

from hypothesis import strategies as st

from tests.config_path.record import DOCUMENT_FAULTS, IN_FORCE_S, Document
from tests.config_path.site import CONTROLS, ENTRIES, SNAPSHOT_ENTRIES, Site

Step = tuple[object, ...]

STORM_GAP_S = 0.06
DOWNTIME_S = 0.3
RECOVERY_TIMEOUT_S = 30.0  # elections, joining and catching up
ACKNOWLEDGE_TIMEOUT_S = 4.0
HOSTS = (*CONTROLS, *ENTRIES)

StepChoices = tuple[tuple[str, tuple[Sequence[object], ...]], ...]

STEPS: StepChoices = (
    ("change", ((1, 2, 3), (False, True))),
    ("storm", ((2, 4, 6),)),
    ("race", ()),
    ("again", (range(6),)),
    ("other content", ()),
    ("invalid", (DOCUMENT_FAULTS,)),
    ("read", (CONTROLS,)),
    ("cut", (HOSTS, (*CONTROLS, ""), (False, True))),
    ("heal", ()),
    ("reset", (HOSTS,)),
    ("restart", (HOSTS, (False, True))),
    ("restart all", ((False, True),)),
    ("wipe", (CONTROLS,)),
    ("after acknowledgement", (("power", "wipe", "cut"),)),
    ("behind", ((False, True),)),
    ("split leader", ()),
    ("lose answers", ((0.0, 0.7),)),
    ("wait", ((0.02, 0.3, 1.5, 3.0),)),
)
"""Names of the steps and the choices for each argument."""

SUSPENDED_STEPS = (
    *STEPS,
    ("suspend", (HOSTS, (0.3, 2.0, 6.0))),
    ("suspend", (CONTROLS, (1.0, 3.0, 8.0))),
    ("suspend leader", ((0.7, 2.0, 6.0), (False, True))),
    ("power of all others", (CONTROLS,)),
)
"""As above, with suspended hosts, and with a lost disk while all other hosts lose power."""

MAX_STEPS = 24  # of a run

steps = st.one_of(
    *(
        st.tuples(st.just(name), *(st.sampled_from(list(choices)) for choices in arguments))
        for name, arguments in STEPS
    )
)

runs = st.tuples(st.integers(0, 2**16), st.lists(steps, min_size=4, max_size=MAX_STEPS))


def draw_run(
    number: int, *, suspends: bool = False, further: StepChoices = ()
) -> tuple[int, list[Step]]:
    """Draw a run by its number.

    Parameters
    ----------
    further
        Further steps and the choices for each argument; they do not change runs without them.
    """
    rng = random.Random(number)
    choices = (*(SUSPENDED_STEPS if suspends else STEPS), *further)
    run_steps: list[Step] = []
    for _ in range(rng.randint(4, MAX_STEPS)):
        name, arguments = rng.choice(choices)
        run_steps.append((name, *(rng.choice(list(values)) for values in arguments)))
    return number, run_steps


class Scenario:
    """One run of the emulated system."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.documents: list[Document] = []  # valid ones, in the order sent
        self.prefixes: dict[str, int] = {"/first/": 1_000}
        self.number = 0
        self._routes_added = 0

    def start(self) -> None:
        self.site.wait(1.5)
        self.change(1, removes=False)
        self.site.wait(1.0)

    def execute(self, step: Step) -> None:
        name, *arguments = step
        getattr(self, f"do_{str(name).replace(' ', '_')}")(*arguments)
        self.site.wait(0.05)

    # operators

    def change(self, added: int, *, removes: bool, to: str | None = None) -> None:
        """Send the next table: some routes are added, one may be removed."""
        prefixes = dict(self.prefixes)
        if removes and len(prefixes) > 1:
            prefixes.pop(next(name for name in prefixes if name != "/first/"))
        for _ in range(added):
            self._routes_added += 1
            prefixes[f"/{self._routes_added}/"] = 1_000 + self._routes_added
        prefixes["/first/"] = 1_000 + self._routes_added
        self.number += self.site.random.randint(1, 3)
        self._send(prefixes, to=to)
        self.prefixes = prefixes

    def _send(self, prefixes: dict[str, int], *, to: str | None = None) -> None:
        document = Document(number=self.number, prefixes=prefixes)
        self.documents.append(document)
        self.site.send_document(document, to=to)

    def do_change(self, added: int, removes: bool) -> None:
        self.change(added, removes=removes)

    def do_storm(self, count: int) -> None:
        for _ in range(count):
            self.change(1, removes=True)
            self.site.wait(STORM_GAP_S)

    def do_race(self) -> None:
        first, second = self.site.random.sample(CONTROLS, 2)
        self.change(1, removes=False, to=first)
        other = {**self.prefixes, "/race/": 1_000 + self._routes_added}
        self._send(other, to=second)

    def do_again(self, place: int) -> None:
        if self.documents:
            self.site.send_document(self.documents[-1 - place % len(self.documents)])

    def do_other_content(self) -> None:
        if self.documents:
            self._send({**self.prefixes, "/other/": 77})

    def do_invalid(self, fault: str) -> None:
        prefixes = {**self.prefixes, "/invalid/": 5}
        self.site.send_document(Document(number=self.number + 1, prefixes=prefixes, fault=fault))

    def do_read(self, host: str) -> None:
        self.site.run(self.site.read(host))

    def do_lose_answers(self, share: float) -> None:
        self.site.history.lost_response_share = share

    # faults

    def do_cut(self, host: str, second: str, one_way: bool) -> None:
        self.site.network.partition({host, second}, set(HOSTS), one_way=one_way)

    def do_heal(self) -> None:
        self.site.network.heal()

    def do_reset(self, host: str) -> None:
        self.site.network.reset(host)

    def do_restart(self, host: str, power: bool) -> None:
        self.site.run(self.site.kill(host, power=power))
        self.site.wait(DOWNTIME_S)
        self.start_host(host)

    def do_restart_all(self, power: bool) -> None:
        for host in HOSTS:
            self.site.run(self.site.kill(host, power=power))
        self.site.wait(DOWNTIME_S)
        for host in HOSTS:
            self.start_host(host)

    def do_restart_behind(self, host: str, entries_run: bool) -> None:
        """Kill all hosts and start one replica first that has missed changes, on its own.

        Parameters
        ----------
        entries_run
            Whether entries keep running, so that they are ahead of the replica.
        """
        self.do_storm(SNAPSHOT_ENTRIES + 2)
        self.site.wait(1.0)
        if not self.site.replicas_current():
            return
        self.site.run(self.site.kill(host))
        self.site.wait(1.5)
        self.do_storm(SNAPSHOT_ENTRIES // 2)
        self.site.wait(1.5)
        for other in CONTROLS if entries_run else HOSTS:
            self.site.run(self.site.kill(other))
        self.start_host(host)
        for entry in ENTRIES:
            self.start_host(entry)
        self.site.wait(2.0)
        for other in CONTROLS:
            self.start_host(other)
        self.site.wait(1.0)

    def do_wipe(self, host: str) -> None:
        """Lose a disk, but no second one before the first replica has recovered."""
        if not self.site.replicas_current():
            return
        self.site.run(self.site.kill(host, power=True))
        self.site.disks.wipe(host)
        self.site.wait(DOWNTIME_S)
        self.start_host(host)

    def do_after_acknowledgement(self, what: str) -> None:
        """Cause a fault at the leader at the moment it acknowledges a change."""
        leader = self.site.leader()
        if leader is None:
            return
        whole = self.site.replicas_current()
        self.change(1, removes=False, to=leader)
        for _ in range(500):
            if self.site.history.newest_acknowledged() >= self.number:
                break
            self.site.wait(0.001)
        if what == "cut":
            self.site.network.partition({leader}, set(CONTROLS))
            return
        self.site.run(self.site.kill(leader, power=True))
        if what == "wipe" and whole:
            self.site.disks.wipe(leader)
        self.site.wait(2 * DOWNTIME_S)
        self.start_host(leader)

    def do_behind(self, wipes: bool) -> None:
        """Let one replica miss changes, then kill the leader, and maybe wipe the third disk."""
        leader = self.site.leader()
        if leader is None or not self.site.replicas_current():
            return
        behind, third = self.site.random.sample([host for host in CONTROLS if host != leader], 2)
        self.site.network.partition({behind}, set(CONTROLS))
        for _ in range(SNAPSHOT_ENTRIES + 2):
            self.change(1, removes=True, to=leader)
            self.site.wait(STORM_GAP_S)
        self.site.wait(0.3)
        self.site.run(self.site.kill(leader))
        if wipes:
            self.site.run(self.site.kill(third, power=True))
            self.site.disks.wipe(third)
            self.start_host(third)
        self.site.network.heal()
        self.site.wait(3 * DOWNTIME_S)
        self.start_host(leader)

    def do_split_leader(self) -> None:
        """Partition the leader from the others and change the table on both sides.

        The leader's entry is never committed; its operator gives up without a response.
        """
        leader = self.site.leader()
        if leader is None:
            return
        other = next(host for host in CONTROLS if host != leader)
        self.site.network.partition({leader}, set(CONTROLS))
        self.number += 1
        lost = Document(number=self.number, prefixes={**self.prefixes, "/lost/": 1})
        self.site.send_document(lost, to=leader, tries=1)
        self.site.wait(1.5)
        self._send({**self.prefixes, "/kept/": 2}, to=other)
        self.site.wait(1.0)
        self.site.network.heal()

    def do_suspend(self, host: str, span_s: float) -> None:
        self.site.suspend(host, span_s)

    def do_suspend_leader(self, span_s: float, after_change: bool) -> None:
        """Suspend the leader, possibly between its write and its response."""
        leader = self.site.leader()
        if leader is None:
            return
        if after_change:
            self.change(1, removes=False, to=leader)
            self.site.wait(self.site.random.choice((0.001, 0.002, 0.003, 0.005, 0.01)))
        self.site.suspend(leader, span_s)
        self.site.wait(1.2)
        self.do_read(self.site.random.choice(CONTROLS))

    def do_power_of_all_others(self, lost: str) -> None:
        """Lose one disk and the power of all hosts at the moment of an acknowledgement."""
        leader = self.site.leader()
        if leader is None or not self.site.replicas_current():
            return
        self.change(1, removes=False, to=leader)
        for _ in range(500):
            if self.site.history.newest_acknowledged() >= self.number:
                break
            self.site.wait(0.001)
        for host in HOSTS:
            self.site.run(self.site.kill(host, power=True))
        self.site.disks.wipe(lost)
        self.site.wait(DOWNTIME_S)
        for host in HOSTS:
            self.start_host(host)

    def do_wait(self, span_s: float) -> None:
        self.site.wait(span_s)

    def start_host(self, host: str) -> None:
        if host not in self.site.processes:
            self.site.run(self.site.start(host))

    def finish(self) -> None:
        """End all faults, and check that the system recovers."""
        site = self.site
        site.settle()
        waited_s = 0.0
        while not site.replicas_current() and waited_s < RECOVERY_TIMEOUT_S:
            site.wait(0.5)
            waited_s += 0.5
        if not site.replicas_current():
            site.history.report_violation("not all replicas have recovered")
        for host in CONTROLS:
            site.run(site.read(host))
        self.change(1, removes=False)
        site.wait(ACKNOWLEDGE_TIMEOUT_S)
        if site.history.newest_acknowledged() != self.number:
            site.history.report_violation(f"{self.number} was not acknowledged without faults")
        site.wait(IN_FORCE_S)
        site.sample_entries()
        site.history.check_in_force(ENTRIES)
        for host in CONTROLS:
            site.run(site.read(host))


def play(seed: int, run_steps: Sequence[Step], *, suspends: bool = False) -> list[str]:
    """Run steps and return the violations."""
    with Site(seed=seed, suspends=suspends) as site:
        scenario = Scenario(site)
        scenario.start()
        for step in run_steps:
            scenario.execute(step)
            if site.history.violations:
                return site.history.violations
        scenario.finish()
        return site.history.violations


__all__ = ["SUSPENDED_STEPS", "Scenario", "Step", "StepChoices", "draw_run", "play", "runs"]
