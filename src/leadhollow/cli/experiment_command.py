"""``leadhollow experiment``: compares policies under the same load, simulated in virtual time."""

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
from leadhollow.experiment import crash_patterns, crashes, limit_patterns, limits
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.runner import Comparison, compare
from leadhollow.experiment.scenario import Scenario, read_scenario
from leadhollow.failure import Failure

DEFAULT_SEEDS = 20
DEFAULT_JOBS = 2


class ExperimentRunCommand(Command):
    """Simulates a load pattern under two policies."""

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
        """Run the simulations and print each figure with its confidence interval."""
        scenario = _scenario(self.argument("scenario"))
        policies = [_policy(name, self.option(name)) for name in ("policy", "against")]
        counts = [_positive_number(name, self.option(name)) for name in ("seeds", "jobs")]
        for read in (scenario, *policies, *counts):
            if isinstance(read, Err):
                return print_failure(read.unwrap_err())
        seeds, jobs = (count.unwrap() for count in counts)
        comparison = compare(
            scenario.unwrap(),
            policies[0].unwrap(),
            policies[1].unwrap(),
            seeds=seeds,
            jobs=jobs,
            on_progress=lambda done: _show_progress(done, seeds),
        )
        if self.option("json"):
            print_json(comparison)
        else:
            _print_comparison(comparison)
        return 0


class _WaysCommand(Command):
    """Base class of the commands that simulate every pattern in several variants.

    Attributes
    ----------
    way
        Name of the variants in table headings and JSON keys.
    headline
        Explanation of the figures, printed above the table.
    """

    way = ""
    headline = ""
    options = [  # noqa: RUF012
        option("seeds", None, "Seeds to play.", flag=False, default=str(DEFAULT_SEEDS)),
        option("pattern", None, "The only pattern to play.", flag=False, default=""),
        option("json", None, "Print one object on one line.", flag=True),
    ]

    def patterns(self) -> list[str]:
        """Return the names of all patterns."""
        raise NotImplementedError

    def simulate(self, pattern: str, seeds: int) -> dict[str, dict[str, float]]:
        """Run all simulations of a pattern and return their figures by variant."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run the simulations and print a row for each pattern and variant."""
        parsed_seeds = _positive_number("seeds", self.option("seeds"))
        if parsed_seeds.is_err():
            return print_failure(parsed_seeds.unwrap_err())
        seeds = parsed_seeds.unwrap()
        chosen = self.option("pattern")
        if chosen and chosen not in self.patterns():
            detail = f"no pattern {chosen!r}; known are {'; '.join(self.patterns())}"
            return print_failure(Failure(code=Code.COMMAND_USAGE, detail=detail))
        figures_by_variant = {
            (pattern, variant): figures
            for pattern in ([chosen] if chosen else self.patterns())
            for variant, figures in self.simulate(pattern, seeds).items()
        }
        if self.option("json"):
            print_json(
                [
                    {"pattern": key[0], self.way: key[1], **figures_by_variant[key]}
                    for key in figures_by_variant
                ]
            )
            return 0
        print_text(f"{seeds} seeds; {self.headline}")
        figures = list(next(iter(figures_by_variant.values())))
        rows = [
            (*key, *(found[figure] for figure in figures))
            for key, found in figures_by_variant.items()
        ]
        print_table(("pattern", self.way, *figures), rows)
        return 0


class ExperimentCrashesCommand(_WaysCommand):
    """Simulates requests that crash engines."""

    name = "experiment crashes"
    description = "Play requests that end their engines, with and without a memory of the fleet."
    way = "memory"
    headline = (
        "means of a run, and the engines that one request or part ended in 95 of 100, and most"
    )

    def patterns(self) -> list[str]:
        """Return the names of all patterns."""
        return list(crash_patterns.PATTERNS)

    def simulate(self, pattern: str, seeds: int) -> dict[str, dict[str, float]]:
        """Simulate a pattern with each kind of memory."""
        return {
            memory.value: crashes.run_pattern(pattern, memory, seeds=seeds)
            for memory in crash_patterns.CrashMemory
        }


class ExperimentLimitsCommand(_WaysCommand):
    """Simulates servers that limit their request rate."""

    name = "experiment limits"
    description = "Play servers that name limits, with several ways of keeping these."
    way = "way"
    headline = "means of a run, and the worst excess over the aim and over the rule"

    def patterns(self) -> list[str]:
        """Return the names of all patterns."""
        return list(limit_patterns.PATTERNS)

    def simulate(self, pattern: str, seeds: int) -> dict[str, dict[str, float]]:
        """Simulate a pattern with each way to keep the limits."""
        return {
            way.value: limits.run_pattern(pattern, way, seeds=seeds)
            for way in limit_patterns.LimitMethod
        }


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


def _positive_number(name: str, text: str) -> Result[int, Failure]:
    if not text.isdigit() or int(text) < 1:
        detail = f"--{name}: expected a whole number above 0, found {text!r}"
        return Err(Failure(code=Code.COMMAND_USAGE, detail=detail))
    return Ok(int(text))


def _show_progress(done: int, seeds: int) -> None:
    if sys.stderr.isatty():
        sys.stderr.write(f"\r{done} of {seeds} seeds" + ("\n" if done == seeds else ""))
        sys.stderr.flush()


def _print_comparison(comparison: Comparison) -> None:
    print_text(
        f"{comparison.scenario}, {comparison.seeds} seeds; no placement can exceed a worth of "
        f"{comparison.bound:.4f}"
    )
    rows = [
        (
            name,
            f"{comparison.policy[name]:.4f}",
            f"{comparison.against[name]:.4f}",
            f"{found.mean:+.4f}",
            f"{found.half_width:.4f}",
        )
        for name, found in comparison.difference.items()
    ]
    print_table(("figure", "policy", "against", "difference", "+-95%"), rows)


__all__ = ["ExperimentCrashesCommand", "ExperimentLimitsCommand", "ExperimentRunCommand"]
