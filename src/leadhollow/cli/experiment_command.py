"""``leadhollow experiment``: policies and memories under the same callers, in virtual time."""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok, Result

from leadhollow.cli.output import print_failure, print_json, print_table, print_text
from leadhollow.codes import Code
from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment import limits
from leadhollow.experiment.crashes import PATTERNS, Figures, Memory, play
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.runner import Comparison, compare
from leadhollow.experiment.scenario import Scenario, read_scenario
from leadhollow.failure import Failure

DEFAULT_SEEDS = 20
DEFAULT_JOBS = 2


class ExperimentRunCommand(Command):
    """Plays a load pattern under two policies."""

    name = "experiment run"
    description = "Play a load pattern in virtual time under two policies, paired by seed."
    arguments = [argument("scenario", "Name of a pattern, or a scenario file.")]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("policy", None, "Choices that differ, as JSON.", flag=False, default="{}"),
        option("against", None, "Those of the other policy.", flag=False, default="{}"),
        option("seeds", None, "Seeds to play.", flag=False, default=str(DEFAULT_SEEDS)),
        option("jobs", None, "Processes to use.", flag=False, default=str(DEFAULT_JOBS)),
        option("json", None, "Print one object on one line.", flag=True),
    ]

    def handle(self) -> int:
        """Play, and print each figure with its interval."""
        scenario = _scenario(self.argument("scenario"))
        policies = [_policy(name, self.option(name)) for name in ("policy", "against")]
        counts = [_count(name, self.option(name)) for name in ("seeds", "jobs")]
        for read in (scenario, *policies, *counts):
            if isinstance(read, Err):
                return print_failure(read.unwrap_err())
        seeds, jobs = (count.unwrap() for count in counts)
        compared = compare(
            scenario.unwrap(),
            policies[0].unwrap(),
            policies[1].unwrap(),
            seeds=seeds,
            jobs=jobs,
            on_progress=lambda done: _show_progress(done, seeds),
        )
        if self.option("json"):
            print_json(compared)
        else:
            _print(compared)
        return 0


class ExperimentCrashesCommand(Command):
    """Plays requests that end engines."""

    name = "experiment crashes"
    description = "Play requests that end their engines, with and without a memory of the fleet."
    options = [  # noqa: RUF012
        option("seeds", None, "Seeds to play.", flag=False, default=str(DEFAULT_SEEDS)),
        option("json", None, "Print one object on one line.", flag=True),
    ]

    def handle(self) -> int:
        """Play each pattern with each memory, and print the means."""
        counted = _count("seeds", self.option("seeds"))
        if counted.is_err():
            return print_failure(counted.unwrap_err())
        seeds = counted.unwrap()
        played = {
            (pattern, memory.value): play(pattern, memory, seeds=seeds)
            for pattern in PATTERNS
            for memory in Memory
        }
        if self.option("json"):
            print_json([{"pattern": key[0], "memory": key[1], **played[key]} for key in played])
            return 0
        print_text(f"{seeds} seeds; means of a run, and the most engines that one request ended")
        figures = list(Figures.__struct_fields__)
        rows = [(*key, *(found[figure] for figure in figures)) for key, found in played.items()]
        print_table(("pattern", "memory", *figures), rows)
        return 0


class ExperimentLimitsCommand(Command):
    """Plays servers that limit the requests they take."""

    name = "experiment limits"
    description = "Play servers that name limits, with several ways of keeping these."
    options = [  # noqa: RUF012
        option("seeds", None, "Seeds to play.", flag=False, default=str(DEFAULT_SEEDS)),
        option("json", None, "Print one object on one line.", flag=True),
    ]

    def handle(self) -> int:
        """Play each pattern in each way, and print means and worst figures."""
        counted = _count("seeds", self.option("seeds"))
        if counted.is_err():
            return print_failure(counted.unwrap_err())
        played = {
            (pattern, way.value): limits.play(pattern, way, seeds=counted.unwrap())
            for pattern in limits.PATTERNS
            for way in limits.Way
        }
        if self.option("json"):
            print_json([{"pattern": key[0], "way": key[1], **played[key]} for key in played])
            return 0
        figures = list(next(iter(played.values())))
        rows = [(*key, *(found[figure] for figure in figures)) for key, found in played.items()]
        print_table(("pattern", "limit kept by", *figures), rows)
        return 0


def _scenario(name: str) -> Result[Scenario, Failure]:
    found = patterns().get(name)
    if found is not None:
        return Ok(found)
    if not Path(name).exists():
        known = ", ".join(sorted(patterns()))
        return Err(Failure(code=Code.COMMAND_USAGE, detail=f"no scenario {name}; named: {known}"))
    return read_scenario(Path(name))


def _policy(name: str, text: str) -> Result[QueuePolicy, Failure]:
    try:
        return Ok(msgspec.json.decode(text, type=QueuePolicy))
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.COMMAND_USAGE, detail=f"--{name}: {error}"))


def _count(name: str, text: str) -> Result[int, Failure]:
    if not text.isdigit() or int(text) < 1:
        detail = f"--{name}: expected a whole number above 0, found {text!r}"
        return Err(Failure(code=Code.COMMAND_USAGE, detail=detail))
    return Ok(int(text))


def _show_progress(done: int, seeds: int) -> None:
    if sys.stderr.isatty():
        sys.stderr.write(f"\r{done} of {seeds} seeds" + ("\n" if done == seeds else ""))
        sys.stderr.flush()


def _print(compared: Comparison) -> None:
    print_text(
        f"{compared.scenario}, {compared.seeds} seeds; no placement can exceed a worth of "
        f"{compared.bound:.4f}"
    )
    rows = [
        (
            name,
            f"{compared.policy[name]:.4f}",
            f"{compared.against[name]:.4f}",
            f"{found.mean:+.4f}",
            f"{found.half_width:.4f}",
        )
        for name, found in compared.difference.items()
    ]
    print_table(("figure", "policy", "against", "difference", "+-95%"), rows)


__all__ = ["ExperimentCrashesCommand", "ExperimentLimitsCommand", "ExperimentRunCommand"]
