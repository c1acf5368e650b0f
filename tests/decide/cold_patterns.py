"""Patterns in which servers become cold, run with several seeds.

``python -m tests.decide.cold_patterns SEEDS [PATTERN ...]`` prints their figures: with that many
seeds for 36 entries, and a quarter of them for 3 and 98.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from leadhollow.decide.share_allocator import LEASE_S
from tests.decide.cold_fleet import Fleet, make_instance

ENTRIES = (3, 36, 98)
LATE_S = (0.0, 3.0)  # delay of an announcement that is late
COLD_S = 6.0
ALL = 18


def announce_cold(fleet: Fleet, servers: int, *, late: bool = False) -> None:
    for number in range(servers):
        delays = {"delay_s": LATE_S} if late else {}
        fleet.announce(make_instance(number, cold_until_s=fleet.now_s + COLD_S), **delays)


def one(fleet: Fleet) -> int:
    announce_cold(fleet, 1)
    fleet.run(COLD_S)
    return 1


def domain(fleet: Fleet) -> int:
    announce_cold(fleet, ALL // 3)
    fleet.run(COLD_S)
    return ALL // 3


def every(fleet: Fleet) -> int:
    announce_cold(fleet, ALL)
    fleet.run(COLD_S)
    return ALL


def burst(fleet: Fleet) -> int:
    """Demand that stops and returns everywhere at once, when tokens may have been saved."""
    fleet.demand_per_s, demand_per_s = 0.3, fleet.demand_per_s
    announce_cold(fleet, 2)
    fleet.run(2.0)
    fleet.demand_per_s = 10 * demand_per_s
    fleet.run(COLD_S - 2.0)
    return 2


def half_cut(fleet: Fleet) -> int:
    announce_cold(fleet, 6)
    fleet.run(1.0)
    for entry in fleet.entries[::2]:
        entry.cut = True
    fleet.run(COLD_S - 1.0)
    return 6


def burst_half_cut(fleet: Fleet) -> int:
    """Half of the entries are cut off, and demand stops and returns everywhere at once."""
    announce_cold(fleet, 2)
    fleet.run(1.0)
    for entry in fleet.entries[::2]:
        entry.cut = True
    for _ in range(2):
        fleet.demand_per_s, demand_per_s = 0.3, fleet.demand_per_s
        fleet.run(1.5)
        fleet.demand_per_s = 10 * demand_per_s
        fleet.run(1.0)
        fleet.demand_per_s = demand_per_s
    return 2


def no_leader(fleet: Fleet) -> int:
    announce_cold(fleet, 6)
    fleet.run(1.0)
    fleet.elect(from_s=fleet.now_s + 1.5 + LEASE_S)
    fleet.run(COLD_S - 1.0)
    return 6


def start_again(fleet: Fleet) -> int:
    """All power was lost: no leader at first, and all servers are new to everybody."""
    fleet.elect(from_s=fleet.now_s + 1.0 + LEASE_S)
    announce_cold(fleet, ALL)
    fleet.run(COLD_S)
    return ALL


def come_and_go(fleet: Fleet) -> int:
    announce_cold(fleet, 6)
    instances = [make_instance(number, cold_until_s=COLD_S) for number in range(6)]
    for _ in range(int(COLD_S / 0.5)):
        fleet.run(0.5)
        for entry in fleet.random.sample(fleet.entries, max(1, len(fleet.entries) // 6)):
            entry.start()
            for instance in instances:
                fleet.after(
                    fleet.random.uniform(0.0, 0.2),
                    lambda view=entry.view, instance=instance: view.table.merge(instance),
                )
    return 6


def late_word(fleet: Fleet) -> int:
    announce_cold(fleet, 6, late=True)
    fleet.run(COLD_S)
    return 6


def restored(fleet: Fleet) -> int:
    """A failure domain is restored, each entry hears of it at another time and nothing is said."""
    for number in range(6):
        fleet.announce(make_instance(number))
    for view in [fleet.leader] + [entry.view for entry in fleet.entries]:
        view.domains.set_evacuated({"a"})
    fleet.run(0.1)
    for view in [fleet.leader] + [entry.view for entry in fleet.entries]:
        fleet.after(
            fleet.random.uniform(0.0, 2.0), lambda view=view: view.domains.set_evacuated(())
        )
    fleet.run(COLD_S)
    return 2


PATTERNS: dict[str, Callable[[Fleet], int]] = {
    "one server": one,
    "one domain": domain,
    "all servers": every,
    "burst after idling": burst,
    "half cut off": half_cut,
    "half cut off, burst": burst_half_cut,
    "no leader": no_leader,
    "all start again": start_again,
    "entries come and go": come_and_go,
    "late word": late_word,
    "domain restored": restored,
}


def run(name: str, *, seed: int, **options: float) -> tuple[Fleet, int]:
    """Run a pattern; return the fleet and the number of cold servers."""
    fleet = Fleet(seed=seed, **options)
    for entry in fleet.entries:  # entries know their demand from before
        entry.arrivals_s.extend([0.0] * int(10 * fleet.demand_per_s))
    return fleet, PATTERNS[name](fleet)


def main(seeds: int, *names: str) -> None:
    for name in names or PATTERNS:
        for entries in ENTRIES:
            over, worst, used = 0, 0, []
            count = seeds if entries == 36 else -(-seeds // 4)
            for seed in range(count):
                options = {"entries": entries, "demand_per_s": 360.0 / entries}
                fleet, servers = run(name, seed=seed, **options)
                most = fleet.most_in_a_second()
                over += most > fleet.allowed
                worst = max(worst, most)
                used.append(fleet.used(from_s=1.0, to_s=min(COLD_S, fleet.now_s), servers=servers))
            print(
                f"{name:22} entries {entries:3} seeds {count}: over {over}, worst {worst}, "
                f"allowed {fleet.allowed:g}, used {sum(used) / len(used):.2f}, "
                f"least {min(used):.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main(int(sys.argv[1]), *sys.argv[2:])
