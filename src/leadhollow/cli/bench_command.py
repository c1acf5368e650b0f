"""``leadhollow bench``: benchmarks, each printed as one JSON object."""

from __future__ import annotations

from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from result import Result

from leadhollow.cli.loop import run_async
from leadhollow.cli.output import print_failure, print_json, print_text
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import LogFormat, configure_command_logs
from leadhollow.state.records import Policy

POLICIES = {"time": "least-time", "origin": "fewest-origin-bytes"}


def json_option() -> Option:
    """Return the option that prints the result as one line of JSON."""
    return option("json", None, "Print one object on one line.", flag=True)


def number_option(name: str, text: str, default: int) -> Option:
    """Return an option that takes a positive whole number."""
    return option(name, None, text, flag=False, default=str(default))


class BenchCommand(Command):
    """Base class of the benchmark commands, which print one object."""

    options = [json_option()]  # noqa: RUF012

    def measure(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        """Return the coroutine that measures.

        Raises
        ------
        ValueError
            The value of an option is malformed.
        """
        raise NotImplementedError

    def handle(self) -> int:
        """Run the benchmark and print its result."""
        configure_command_logs(log_format=LogFormat.TEXT, level="error")
        try:
            measurement = self.measure()
        except ValueError as error:
            return print_failure(Failure(code=Code.COMMAND_USAGE, detail=str(error)))
        measured = run_async(measurement)
        if measured.is_err():
            return print_failure(measured.unwrap_err())
        if self.option("json"):
            print_json(measured.unwrap())
        else:
            text = msgspec.json.format(msgspec.json.encode(measured.unwrap()), indent=2)
            print_text(text.decode())
        return 0

    def number(self, name: str) -> int:
        """Return the value of a whole-number option.

        Raises
        ------
        ValueError
            The value is not a whole number above 0.
        """
        text = self.option(name)
        if not text.isdigit() or int(text) < 1:
            message = f"--{name}: expected a whole number above 0, found {text!r}"
            raise ValueError(message)
        return int(text)


class BenchControlCommand(BenchCommand):
    """Measures the resource use of the control plane."""

    name = "bench control"
    description = "Measure processor time, bytes and memory of each role, and edits in force."

    def measure(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        """Return the coroutine that measures."""
        from leadhollow.bench.control import run_control

        return run_control()


class BenchDistributionCommand(BenchCommand):
    """Measures the distribution of weights to all replicas."""

    name = "bench distribution"
    description = "Measure time and origin bytes until a model runs on every replica."
    options = [  # noqa: RUF012
        number_option("replicas", "Backend roles.", 24),
        number_option("model-mib", "Size of the model in MiB.", 32),
        number_option("link-mib-per-s", "Speed of a VM's link; the origin's is twice that.", 8),
        number_option("chunk-kib", "Size of a chunk in KiB.", 256),
        option("policy", None, "time or origin.", flag=False, default="origin"),
        option("sweep", None, "Numbers of replicas by comma: run each, smaller.", flag=False),
        option("plot", None, "Draw the sweep into this SVG file.", flag=False),
        option("live", None, "Measure live requests beside a rollout instead.", flag=True),
        option("faults", None, "Distribute under a fault for each of so many seeds.", flag=False),
        json_option(),
    ]

    def measure(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        """Return the coroutine of the benchmark that the options select."""
        if self.option("live"):
            from leadhollow.bench.distribution_live import run_live

            return run_live()
        if self.option("faults") is not None:
            from leadhollow.bench.distribution_faults import run_faults

            return run_faults(self.number("faults"))
        if self.option("sweep") is not None:
            return self._sweep()
        if self.option("plot") is not None:
            message = "--plot draws a sweep: give --sweep too"
            raise ValueError(message)
        return self._distribute()

    def _policy(self) -> Policy:
        if self.option("policy") not in POLICIES:
            message = f"--policy: expected time or origin, found {self.option('policy')!r}"
            raise ValueError(message)
        return Policy(POLICIES[self.option("policy")])

    def _sweep(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        from leadhollow.bench.distribution_sweep import run_sweep

        parts = self.option("sweep").split(",")
        if not all(part.isdigit() and int(part) > 0 for part in parts):
            message = f"--sweep: expected numbers by comma, found {self.option('sweep')!r}"
            raise ValueError(message)
        counts = tuple(int(part) for part in parts)
        plot = self.option("plot")
        return run_sweep(counts, policy=self._policy(), plot=None if plot is None else Path(plot))

    def _distribute(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        from leadhollow.bench.distribution import run_distribution

        return run_distribution(
            replicas=self.number("replicas"),
            model_mib=self.number("model-mib"),
            policy=self._policy(),
            link_mib_per_s=self.number("link-mib-per-s"),
            chunk_kib=self.number("chunk-kib"),
        )


class BenchRequestsCommand(BenchCommand):
    """Measures whether responses to callers stay correct under faults."""

    name = "bench requests"
    description = "Run every fault under load and compare what was told with what was run."

    def measure(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        """Return the coroutine that measures."""
        from leadhollow.bench.requests import run_requests

        return run_requests()


class BenchFairnessCommand(BenchCommand):
    """Measures how a burst of requests is shared between groups."""

    name = "bench fairness"
    description = "Measure shares, utilisation and neighbours' latency in a burst."

    def measure(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        """Return the coroutine that measures."""
        from leadhollow.bench.fairness import run_fairness

        return run_fairness()


class BenchRecoveryCommand(BenchCommand):
    """Measures the recovery of the replicated state after faults."""

    name = "bench recovery"
    description = "Kill, freeze, cut and wipe state replicas under edits, and judge the history."
    options = [  # noqa: RUF012
        number_option("seeds", "Runs; each seed chooses times and victims.", 20),
        json_option(),
    ]

    def measure(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        """Return the coroutine that measures."""
        from leadhollow.bench.recovery import run_recovery

        return run_recovery(self.number("seeds"))


class BenchTableCommand(BenchCommand):
    """Measures the cost of a change of the route table."""

    name = "bench table"
    description = "Measure a change of one route in tables of 100, 1,500 and 10,000."

    def measure(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        """Return the coroutine that measures."""
        from leadhollow.bench.table_costs import run_table_costs

        return run_table_costs()


class BenchCatchUpCommand(BenchCommand):
    """Measures how replicas that lose their disks catch up."""

    name = "bench catch-up"
    description = "Change a large route table often, and let two replicas lose their disks in turn."
    options = [  # noqa: RUF012
        number_option("routes", "Routes of the table.", 7_240),
        number_option("changes", "Changes before the first loss.", 1_000),
        json_option(),
    ]

    def measure(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        """Return the coroutine that measures."""
        from leadhollow.bench.catch_up import run_catch_up

        return run_catch_up(routes=self.number("routes"), changes=self.number("changes"))


class BenchPathCommand(BenchCommand):
    """Measures the cost of one request at an entry."""

    name = "bench path"
    description = "Measure a request by stage, with 3 to 102 engines and 10 to 1,500 routes."

    def measure(self) -> Coroutine[Any, Any, Result[Any, Failure]]:
        """Return the coroutine that measures."""
        from leadhollow.bench.request_path import run_request_path

        return run_request_path()


__all__ = [
    "BenchCatchUpCommand",
    "BenchCommand",
    "BenchControlCommand",
    "BenchDistributionCommand",
    "BenchPathCommand",
    "BenchFairnessCommand",
    "BenchRecoveryCommand",
    "BenchRequestsCommand",
    "BenchTableCommand",
]
