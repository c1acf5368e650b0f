"""``python -m tests.at_size --entries 40 --seeds 20``: many processes, many streams, by hand."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
from pathlib import Path

from tests.at_size.report import total
from tests.at_size.run import RESTARTS, Plan, play
from tests.at_size.world import Size


def main() -> int:
    """Play all seeds, one after the other; the exit code tells whether no stream was cut."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", type=int, default=7)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--stagers", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=180.0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--rate", type=float, default=60.0, help="streams begun a second")
    parser.add_argument("--busy", type=int, default=12, help="busy processes beside")
    for name in ("holds", "logs", "restarts"):
        parser.add_argument(f"--{name}", action=argparse.BooleanOptionalAction, default=True)
    parser.add_argument("--source", default="", help="source of the processes, if not this one")
    parser.add_argument("--keep", default="", help="folder for logs and figures")
    options = parser.parse_args()
    if options.source:
        os.environ["PYTHONPATH"] = options.source  # of the processes that are started, not of this
    plan = Plan(
        size=Size(entries=options.entries, controls=options.controls, stagers=options.stagers),
        seconds=options.seconds,
        rate_per_s=options.rate,
        busy=options.busy,
        holds=options.holds,
        logs=options.logs,
        restarts=RESTARTS if options.restarts else (),
    )
    for number in (signal.SIGINT, signal.SIGTERM):  # whoever starts this may have them ignored
        signal.signal(number, signal.default_int_handler)
    seeds = range(options.first, options.first + options.seeds)
    rows = [_play(seed, plan, options.keep) for seed in seeds]
    print(json.dumps({"total": total(rows), "seeds": rows}, indent=1))
    return 1 if any(_faulty(row) for row in rows) else 0


def _faulty(row: dict[str, object]) -> bool:
    return bool(row["traces"] or row["violations"] or row["past_grace"])


def _play(seed: int, plan: Plan, keep: str) -> dict[str, object]:
    folder = Path(tempfile.mkdtemp(prefix=f"at-size-{seed}-"))
    try:
        row = asyncio.run(play(seed=seed, folder=folder, plan=plan))
        shown = {name: value for name, value in row.items() if name != "traces"}
        print(json.dumps(shown), file=sys.stderr, flush=True)
        if keep:
            _keep(folder, Path(keep) / f"seed-{seed}", row)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return row


def _keep(folder: Path, place: Path, row: dict[str, object]) -> None:
    """Keep the figures, and where something was wrong the logs."""
    place.mkdir(parents=True, exist_ok=True)
    (place / "figures.json").write_text(json.dumps(row, indent=1))
    if _faulty(row):
        for log in sorted(folder.glob("*/log")) + sorted(folder.glob("*/lines")):
            if log.is_file():
                shutil.copy(log, place / f"{log.parent.name}.{log.name}")


if __name__ == "__main__":
    sys.exit(main())
