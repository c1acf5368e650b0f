"""Random runs of an installer beside an engine whose stage, answers and clock cannot be trusted.

`python -m tests.staging.stage_laboratory --seeds 10000` plays more than the tests do.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from collections import Counter

from absl import logging as absl_logging

from tests.staging.engine_model import (
    ORDER_TIMEOUT_S,
    PIECE_COUNT,
    InstallerSite,
    Load,
    play,
    stand_still,
)

EVENTS_END_S = 14.0  # loop time after the start; nothing goes wrong later
LENGTH_S = 34.0
STAND_STILL_SHARE = 0.012  # of the calls to the engine
LATE_ORDER_SHARE = 0.45
LATE_WRITE_SHARE = 0.02


class Outcome:
    """What one run showed.

    Attributes
    ----------
    wrong_loads
        Loads with a piece that was missing, of another version or damaged for too long.
    wrong_weights_used
        Those whose weights requests might meet.
    installed
        Whether the engine ended with the newest version, and requests might go there.
    """

    __slots__ = ("installed", "late_orders", "loads", "wrong_loads", "wrong_weights_used")

    def __init__(self, *, site: InstallerSite, newest: int, late_orders: int) -> None:
        self.loads = len(site.engine.loads)
        self.wrong_loads: list[Load] = site.wrong_loads
        self.wrong_weights_used: list[Load] = site.wrong_weights_used
        self.installed = site.serving == [newest] and not site.monitor.published_switching
        self.late_orders = late_orders


def run_seed(seed: int) -> Outcome:
    """Play one run."""
    outcomes: list[Outcome] = []

    async def work() -> None:
        outcomes.append(await _run(random.Random(seed)))

    play(work)
    return outcomes[0]


async def _run(rng: random.Random) -> Outcome:
    site = InstallerSite(serving=rng.choice((None, 1)), fetch_s=rng.uniform(0.2, 3.0))
    engine, loop = site.engine, asyncio.get_running_loop()
    began_s = loop.time()
    engine.busy_with_requests_until_s = began_s + rng.choice((0.0, rng.uniform(0.0, 15.0)))
    newest = _name_versions(rng, site)
    for _ in range(rng.randrange(12)):
        index = rng.randrange(PIECE_COUNT)
        engine.at(
            began_s + rng.uniform(0.0, EVENTS_END_S), lambda index=index: engine.damage(index)
        )
    for _ in range(rng.choice((0, 0, 1, 2))):
        down_s, power_lost = rng.uniform(0.05, 2.0), rng.random() < 0.4
        engine.at(
            began_s + rng.uniform(0.0, EVENTS_END_S),
            lambda down_s=down_s, power_lost=power_lost: engine.crash(
                down_s=down_s, power_lost=power_lost
            ),
        )
    late_orders = 0

    def before_call(name: str) -> None:
        nonlocal late_orders
        if loop.time() - began_s > EVENTS_END_S:
            return
        if name == "connect" and rng.random() < LATE_ORDER_SHARE:
            late_orders += 1
            lateness_s = rng.choice((None, rng.uniform(ORDER_TIMEOUT_S, 8.0)))
            engine.accept_after_s = [rng.choice((rng.uniform(0.0, ORDER_TIMEOUT_S), lateness_s))]
        if name == "write" and rng.random() < LATE_WRITE_SHARE:
            engine.next_write_after_s = rng.uniform(2.0, 6.0)
        if rng.random() < STAND_STILL_SHARE:
            stand_still(rng.uniform(0.1, 5.0))

    engine.before_call = before_call
    await site.run(LENGTH_S)
    return Outcome(site=site, newest=newest, late_orders=late_orders)


def _name_versions(rng: random.Random, site: InstallerSite) -> int:
    """Name two to five versions, 0.5 to 3 s apart; return the newest number."""
    loop = asyncio.get_running_loop()
    at_s, number = rng.uniform(0.0, 1.0), 2
    for number in range(2, rng.randrange(4, 8)):
        loop.call_later(at_s, site.name, number)
        at_s += rng.uniform(0.5, 3.0)
    return number


def main() -> None:
    """Play seeds and print what they showed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args()
    absl_logging.set_verbosity(absl_logging.FATAL)
    counts: Counter[str] = Counter()
    for seed in range(options.first, options.first + options.seeds):
        outcome = run_seed(seed)
        counts["runs"] += 1
        counts["loads"] += outcome.loads
        counts["late orders"] += outcome.late_orders
        counts["wrong loads"] += len(outcome.wrong_loads)
        counts["of these with a piece that is missing or of another version"] += sum(
            any("damaged" not in fault for fault in load.faults) for load in outcome.wrong_loads
        )
        counts["wrong weights used"] += len(outcome.wrong_weights_used)
        counts["not installed"] += not outcome.installed
        if outcome.wrong_weights_used or not outcome.installed:
            print(f"seed {seed}: used {outcome.wrong_weights_used}, installed {outcome.installed}")
    print(dict(counts))


if __name__ == "__main__":
    main()
