"""Runs the model with many seeds, or shows which planted faults it finds."""

from __future__ import annotations

import argparse
import sys
import traceback
from contextlib import ExitStack
from functools import partial
from multiprocessing import Pool

from absl import logging as absl_logging

from tests.config_path.early_floor import early_floor
from tests.config_path.evacuations import EVACUATION_STEPS, HELD_BACK_STEPS, play_evacuations
from tests.config_path.mutants import CLOCK_MUTANTS, FLOOR_MUTANTS, MUTANTS
from tests.config_path.scenario import draw_run, play
from tests.config_path.small_requests import small_requests

ALL_MUTANTS = {**MUTANTS, **CLOCK_MUTANTS, **FLOOR_MUTANTS}


def run_one(
    number: int,
    *,
    suspends: bool = False,
    evacuations: bool = False,
    small: bool = False,
    floor: bool = False,
) -> tuple[int, list[str]]:
    """Run one seed; an error of the model counts as a violation."""
    absl_logging.set_verbosity(absl_logging.FATAL)
    try:
        with ExitStack() as stack:
            if floor:
                stack.enter_context(early_floor())
            if small:
                stack.enter_context(small_requests())
            if evacuations:
                steps = HELD_BACK_STEPS if suspends else EVACUATION_STEPS
                run = draw_run(number, suspends=suspends, further=steps)
                return number, play_evacuations(*run, suspends=suspends)
            return number, play(*draw_run(number, suspends=suspends), suspends=suspends)
    except Exception:
        return number, [traceback.format_exc(limit=3)]


def find(name: str, most: int) -> tuple[str, int | None, str]:
    """Run seeds with a planted fault until one shows a violation."""
    for number in range(most):
        with ALL_MUTANTS[name]():
            _, broken = run_one(number, suspends=name in CLOCK_MUTANTS, floor=name in FLOOR_MUTANTS)
        if broken:
            return name, number + 1, broken[0].strip().splitlines()[-1]
    return name, None, ""


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--examples", type=int, default=1_000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--mutants", action="store_true")
    parser.add_argument("--suspends", action="store_true")
    parser.add_argument("--evacuations", action="store_true")
    parser.add_argument("--small-requests", action="store_true")
    parser.add_argument("--early-floor", action="store_true")
    given = parser.parse_args()
    with Pool(given.jobs) as pool:
        if given.mutants:
            work = [pool.apply_async(find, (name, given.examples)) for name in ALL_MUTANTS]
            found = [each.get() for each in work]
            for name, examples, shown in found:
                print(f"{name}: {examples or 'not found'}  {shown}")
            return 0 if all(examples for _, examples, _ in found) else 1
        failed = 0
        numbers = range(given.first, given.first + given.examples)
        for number, broken in pool.imap_unordered(
            partial(
                run_one,
                suspends=given.suspends,
                evacuations=given.evacuations,
                small=given.small_requests,
                floor=given.early_floor,
            ),
            numbers,
            chunksize=4,
        ):
            if broken:
                failed += 1
                print(f"run {number}: {broken}", flush=True)
    print(f"{given.examples - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
