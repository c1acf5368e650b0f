"""Entries that repeat requests in virtual time while they restart and control is cut or lost.

``python -m tests.decide.repeat_fleet --seeds 1000`` prints the figures of more runs than CI plays.
"""

from __future__ import annotations

import argparse
import itertools
import json
import random
from bisect import bisect_right
from collections.abc import Callable

from leadhollow.decide.retry_budget import RepeatCause, RetryBudget
from leadhollow.membership.entry_count import EntryCount
from leadhollow.settings.node import Bounds

SERVICE = "s"
STEP_S = 0.05
LENGTH_S = 45.0
SPELLS_S = (0.5, 3.0, 9.0, 20.0)
DELAYS_S = (0.0, 0.05, 0.5)
SIZES = ((3, 100.0), (9, 106.0), (40, 230.0), (98, 454.0))
"""Number of entries, and the fixed number of repeats that all of them may send."""

MakeBudget = Callable[..., RetryBudget]


class Entry:
    """One entry of a fleet; a restart forgets all that it knew."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.random = random.Random(f"{fleet.seed} {number}")
        self.rate_per_s = fleet.rate_per_s * self.random.choice([0.2, 1.0, 1.0, 2.0])
        self.minority = self.random.random() < 0.33
        self.starts_s = self.random.uniform(0.0, 0.3)
        self.start()

    def start(self) -> None:
        fleet = self.fleet
        self.count = EntryCount(clock=lambda: fleet.now_s)
        self.budget = fleet.make_budget(
            bounds=fleet.bounds, entries=self.count.cautious_maximum, clock=lambda: fleet.now_s
        )

    def restart(self, down_s: float) -> None:
        self.starts_s = self.fleet.now_s + down_s
        self.start()

    def step(self) -> None:
        """Take requests, and while servers refuse repeat as much as is permitted."""
        fleet = self.fleet
        running = fleet.now_s >= self.starts_s
        expected = self.rate_per_s * STEP_S
        for _ in range(int(expected) + (self.random.random() < expected % 1.0)):
            fleet.sent_s.append(fleet.now_s)
            if running:
                self.budget.record_request(SERVICE)
        if not running:
            self.start()
            return
        count, confirmed = self.told()
        self.count.record(count, confirmed=confirmed)
        while fleet.servers_refuse and self.budget.try_acquire(SERVICE, RepeatCause.FAILED):
            fleet.repeats_s.append(fleet.now_s + self.random.choice(DELAYS_S))

    def told(self) -> tuple[int, bool]:
        """Return the number of entries that the followed replica counts, and if it is confirmed."""
        fleet = self.fleet
        running = [entry for entry in fleet.entries if fleet.now_s >= entry.starts_s]
        if fleet.cut:
            running = [entry for entry in running if entry.minority == self.minority]
        known = min(len(running), 1 + int((fleet.now_s - fleet.control_started_s) * 100))
        return known, fleet.control_up and not (fleet.cut and self.minority)


class Fleet:
    """All entries, and what they and their callers sent.

    Parameters
    ----------
    rate_per_s
        Requests per second at an average entry; drawn by default.
    faults
        Whether entries restart, control is cut or lost, and servers refuse only in spells.
    """

    def __init__(
        self,
        *,
        seed: int,
        entries: int,
        slack: float,
        rate_per_s: float | None = None,
        faults: bool = True,
        make_budget: MakeBudget = RetryBudget,
    ) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.make_budget = make_budget
        self.bounds = Bounds(retry_ratio=0.2, retry_slack=slack, retry_window_s=10.0)
        self.rate_per_s = rate_per_s or self.random.choice([2.0, 5.0, 15.0])
        self.faults = faults
        self.servers_refuse = not faults
        self.spell_until_s = 0.0
        self.now_s = 0.0
        self.cut = False
        self.control_up = True
        self.control_started_s = 0.0
        self.sent_s: list[float] = []
        self.repeats_s: list[float] = []
        self.entries: list[Entry] = []
        self.entries = [Entry(self, number) for number in range(entries)]

    def run(self) -> None:
        while self.now_s < LENGTH_S:
            if self.faults:
                self._cause_faults()
            self._step()
        self.repeats_s.sort()

    def run_restarting(self, *, every_s: float) -> None:
        """Run with entries that restart one after the other."""
        order = itertools.cycle(self.entries)
        restart_s = LENGTH_S / 2
        while self.now_s < LENGTH_S:
            while self.now_s >= restart_s:
                restart_s += every_s / len(self.entries)
                next(order).restart(down_s=0.0)
            self._step()
        self.repeats_s.sort()

    def _step(self) -> None:
        self.now_s += STEP_S
        for entry in self.entries:
            entry.step()

    def _cause_faults(self) -> None:
        if self.now_s >= self.spell_until_s:
            self.servers_refuse = not self.servers_refuse
            self.spell_until_s = self.now_s + self.random.choice(SPELLS_S)
        chance = self.random.random()
        if chance < 0.01:
            share = self.random.choice([0.1, 0.5, 1.0])
            down_s = self.random.choice([0.3, 1.0, 3.0])
            for entry in self.entries:
                if self.random.random() < share:
                    entry.restart(down_s)
        elif chance < 0.02:
            self.random.choice(self.entries).restart(0.3)
        elif chance < 0.025:
            self.cut = not self.cut
        elif chance < 0.03:
            self.control_up = not self.control_up
            self.control_started_s = self.now_s

    def worst_excess(self) -> float:
        """Return by how many the repeats of any window exceed what is allowed in it."""
        window_s = self.bounds.retry_window_s
        return max(
            (
                count_between(self.repeats_s, end_s - window_s, end_s) - self.allowed(end_s)
                for end_s in self.repeats_s
            ),
            default=0.0,
        )

    def allowed(self, end_s: float) -> float:
        """Return how many repeats may arrive in the window that ends at a time."""
        window_s = self.bounds.retry_window_s
        requests = max(
            count_between(self.sent_s, end_s - (1 + shift) * window_s, end_s - shift * window_s)
            for shift in (0.0, 0.5, 1.0)
        )
        return self.bounds.retry_ratio * requests + self.bounds.retry_slack

    def used(self) -> float:
        """Return the share of what is allowed that the window ending last used."""
        end_s, window_s = self.now_s, self.bounds.retry_window_s
        return count_between(self.repeats_s, end_s - window_s, end_s) / self.allowed(end_s)


def count_between(times_s: list[float], after_s: float, until_s: float) -> int:
    """Count the moments after one time and until another."""
    return bisect_right(times_s, until_s) - bisect_right(times_s, after_s)


def play(seed: int, *, faults: bool = True, make_budget: MakeBudget = RetryBudget) -> Fleet:
    """Play one run; its size follows from the seed."""
    entries, slack = SIZES[seed % len(SIZES)]
    fleet = Fleet(seed=seed, entries=entries, slack=slack, faults=faults, make_budget=make_budget)
    fleet.run()
    return fleet


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=100)
    seeds = parser.parse_args().seeds
    broken = [seed for seed in range(seeds) if play(seed).worst_excess() > 0]
    used = [round(play(seed, faults=False).used(), 3) for seed in range(8)]
    print(json.dumps({"seeds": seeds, "broken": broken, "used_without_faults": used}))


if __name__ == "__main__":
    main()

__all__ = ["Fleet", "play"]
