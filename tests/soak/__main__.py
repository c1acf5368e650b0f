"""``python -m tests.soak --seeds 50``: many seeds by hand; what failed is kept with its logs."""

from __future__ import annotations

import argparse
import asyncio
import collections
import shutil
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from tests.soak.run import Verdict, soak


def play(seed: int, faults: int, keep: str) -> Verdict:
    """Play one seed in a process of its own."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    verdict: Verdict = asyncio.run(soak(seed=seed, folder=folder, faults=faults))
    if verdict.violations and keep:
        shutil.copytree(folder, Path(keep) / f"seed-{seed}", dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    return verdict


def main() -> int:
    """Play all seeds; the exit code tells whether every promise held."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--faults", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--keep", default="", help="folder for the logs of failed seeds")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    failed = 0
    lost: collections.Counter[str] = collections.Counter()
    with ProcessPoolExecutor(options.jobs) as pool:
        count = len(seeds)
        rows = pool.map(play, seeds, [options.faults] * count, [options.keep] * count)
        for row in rows:
            failed += bool(row.violations)
            lost.update(row.columns)
            faults = ", ".join(row.faults)
            print(f"seed {row.seed}: {row.served} of {row.asked} served; {faults}", flush=True)
            for violation in row.violations[:10]:
                print(f"  {violation}", flush=True)
    print(", ".join(f"{name}: {count}" for name, count in lost.items()), flush=True)
    print(f"{len(seeds) - failed} seeds held every promise, {failed} did not", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
