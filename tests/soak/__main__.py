"""``python -m tests.soak --seeds 50``: many seeds by hand; what failed is kept with its logs."""

from __future__ import annotations

import argparse
import asyncio
import collections
import shutil
import sys
import tempfile
from collections.abc import Coroutine
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from tests.soak.departures import soak_departures
from tests.soak.odd_play import soak_odd
from tests.soak.repeats import soak_repeats
from tests.soak.run import Verdict, soak
from tests.soak.stream_play import soak_streams


def play(seed: int, options: argparse.Namespace) -> Verdict:
    """Play one seed in a process of its own."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    verdict: Verdict = asyncio.run(_soak(seed, folder, options))
    if verdict.violations and options.keep:
        kept = Path(options.keep) / f"seed-{seed}"
        shutil.copytree(folder, kept, dirs_exist_ok=True)
        (kept / "violations").write_text("\n".join(verdict.violations))
    shutil.rmtree(folder, ignore_errors=True)
    return verdict


def _soak(seed: int, folder: Path, options: argparse.Namespace) -> Coroutine[None, None, Verdict]:
    if options.departures:
        return soak_departures(seed=seed, folder=folder)
    if options.repeats_s:
        return soak_repeats(seed=seed, folder=folder, seconds=options.repeats_s)
    if options.odd_s:
        return soak_odd(seed=seed, folder=folder, seconds=options.odd_s)
    if options.streams_s:
        return soak_streams(
            seed=seed, folder=folder, seconds=options.streams_s, parts=options.parts
        )
    return soak(
        seed=seed,
        folder=folder,
        faults=options.faults,
        stages=options.stages,
        evacuates=options.evacuates,
        crowds=options.crowds,
    )


def main() -> int:
    """Play all seeds; the exit code tells whether every promise held."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--faults", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--keep", default="", help="folder for the logs of failed seeds")
    parser.add_argument(
        "--streams",
        type=float,
        default=0,
        metavar="S",
        dest="streams_s",
        help="play the soak of streams instead, for so many seconds a seed",
    )
    parser.add_argument(
        "--repeats",
        type=float,
        default=0,
        metavar="S",
        dest="repeats_s",
        help="let engines refuse and entries restart instead, for so many seconds a seed",
    )
    parser.add_argument(
        "--odd",
        type=float,
        default=0,
        metavar="S",
        dest="odd_s",
        help="let servers send odd answers instead, for so many seconds a seed",
    )
    parser.add_argument(
        "--stages", action="store_true", help="damage staged pieces and delay load orders besides"
    )
    parser.add_argument(
        "--parts",
        action="store_true",
        help="with --streams: let a part of some prompts crash the engines that answer it",
    )
    parser.add_argument(
        "--evacuations",
        action="store_true",
        dest="evacuates",
        help="evacuate and restore failure domains besides",
    )
    parser.add_argument(
        "--crowds", action="store_true", help="let callers that do not behave come besides"
    )
    parser.add_argument(
        "--departures",
        action="store_true",
        help="kill replicas as they acknowledge that an engine leaves instead",
    )
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    failed = 0
    lost: collections.Counter[str] = collections.Counter()
    with ProcessPoolExecutor(options.jobs) as pool:
        rows = pool.map(play, seeds, [options] * len(seeds))
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
